#include "azurewell/shell/upstream_attempt.h"

#include "azurewell/shell/clock.h"

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

constexpr const char *eventEnd = "\n\n";
/// An answer that is no stream is held whole until it is complete; a longer one is refused.
constexpr qsizetype longestWholeAnswer = 8 << 20;

/// Only what is on this list reaches an upstream; the caller's key is not.
QNetworkRequest requestFor(const CallerRequest &caller, const Dispatch &dispatch)
{
    QNetworkRequest request(QUrl("http://" + QString::fromStdString(dispatch.address)
                                 + QString::fromUtf8(caller.path)));
    request.setRawHeader("X-Request-Id", QByteArray::fromStdString(dispatch.request.value));
    if (!caller.contentType.isEmpty())
        request.setRawHeader("Content-Type", caller.contentType);
    request.setRawHeader("Accept", caller.isStream ? "text/event-stream" : "application/json");
    if (!caller.callNumber.isEmpty())
        request.setRawHeader("X-Call-Number", caller.callNumber);
    if (dispatch.resumeFrom.count > 0)
        request.setRawHeader("X-Resume-From",
                             QByteArray::number(static_cast<qint64>(dispatch.resumeFrom.count)));
    return request;
}

Tokens completionTokens(const QByteArray &body)
{
    const nlohmann::json json = nlohmann::json::parse(body.begin(), body.end(), nullptr, false);
    const nlohmann::json::json_pointer path("/usage/completion_tokens");
    if (!json.is_object() || !json.contains(path) || !json[path].is_number_integer())
        return Tokens{};
    return Tokens{ json[path].get<std::int64_t>() };
}

} // namespace

UpstreamAttempt::UpstreamAttempt(UpstreamPool &pool, const CallerRequest &request,
                                 const Dispatch &dispatch, Span limit, AttemptSinks reportTo)
    : id(dispatch.request)
    , isStream(request.isStream)
    , isService(request.arrived.kind == RequestKind::ServiceCall)
    , mayRunTwice(dispatch.mayRunTwice)
    , idleLimit(limit)
    , idleDeadline(monotonicNow() + limit)
    , sinks(std::move(reportTo))
{
    const QByteArray address = QByteArray::fromStdString(dispatch.address);
    this->reply = pool.send(request.method, address, requestFor(request, dispatch), request.body);
    QObject::connect(this->reply, &QNetworkReply::readyRead, this, [this] { this->readBytes(); });
    QObject::connect(this->reply, &QNetworkReply::finished, this, [this] { this->finished(); });
}

UpstreamAttempt::~UpstreamAttempt()
{
    if (!this->reply)
        return;
    this->reply->disconnect(this);
    this->reply->abort(); // the engine sees its connection close
    this->reply->deleteLater();
}

void UpstreamAttempt::checkDeadline(Instant now)
{
    if (!this->isEnded && now >= this->idleDeadline)
        this->end(AttemptOutcome::Silent);
}

void UpstreamAttempt::readHead()
{
    if (this->isHeadChecked)
        return;
    this->isHeadChecked = true;
    this->status = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    this->contentType = this->reply->header(QNetworkRequest::ContentTypeHeader).toByteArray();
    // An engine that mixes up its answers, or an answer to an older request on a reused connection:
    // without this check a caller would read another customer's text.
    const QByteArray answered = this->reply->rawHeader("X-Request-Id");
    if (this->status != 0 && !answered.isEmpty()
        && answered != QByteArray::fromStdString(this->id.value))
        this->end(AttemptOutcome::Mismatch);
}

void UpstreamAttempt::readBytes()
{
    if (this->isEnded)
        return;
    this->idleDeadline = monotonicNow() + this->idleLimit;
    this->readHead();
    if (this->isEnded)
        return;
    const QByteArray bytes = this->reply->readAll();
    if (this->isStream && this->status == 200) {
        this->readStream(bytes);
        return;
    }
    this->body += bytes;
    if (this->body.size() > longestWholeAnswer)
        this->end(AttemptOutcome::Failed);
}

void UpstreamAttempt::readStream(const QByteArray &bytes)
{
    this->partialEvent += bytes;
    const qsizetype last = this->partialEvent.lastIndexOf(eventEnd);
    if (last < 0)
        return;
    QByteArray events = this->partialEvent.left(last + 2);
    this->partialEvent.remove(0, last + 2);
    const qsizetype done = events.indexOf("data: [DONE]");
    if (done >= 0) {
        this->isDoneSeen = true;
        events.truncate(done); // the host ends the caller's stream itself
    }
    if (!events.isEmpty())
        this->sinks.streamed(events, Tokens{ events.count("data: ") });
}

AttemptOutcome UpstreamAttempt::outcomeOfWhole()
{
    const bool isRefusal = this->status == 503 || this->status == 429;
    if (isRefusal && this->mayRunTwice)
        return AttemptOutcome::Refused;
    if (!this->isService && this->status >= 500)
        return AttemptOutcome::Failed;
    this->generated = completionTokens(this->body);
    return AttemptOutcome::Done;
}

void UpstreamAttempt::finished()
{
    if (this->isEnded)
        return;
    this->readHead();
    if (this->isEnded)
        return;
    if (this->reply->bytesAvailable() > 0)
        this->readBytes();
    if (this->isEnded)
        return;
    const QNetworkReply::NetworkError error = this->reply->error();
    if (error == QNetworkReply::ConnectionRefusedError) {
        this->end(AttemptOutcome::NotSent);
        return;
    }
    const bool isWholeAnswer = this->status != 0
            && (error == QNetworkReply::NoError || error >= QNetworkReply::ContentAccessDenied);
    if (!isWholeAnswer) {
        this->end(AttemptOutcome::Failed);
        return;
    }
    if (this->isStream && this->status == 200) {
        this->end(this->isDoneSeen ? AttemptOutcome::Done : AttemptOutcome::Failed);
        return;
    }
    this->end(this->outcomeOfWhole());
}

void UpstreamAttempt::end(AttemptOutcome outcome)
{
    this->isEnded = true;
    this->sinks.ended(outcome);
}

} // namespace azurewell
