#include "azurewell/shell/upstream_attempt.h"

#include "azurewell/http/clock.h"

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

/// An answer that is no stream is held whole until it is complete; a longer one is refused.
constexpr qsizetype longestWholeAnswer = 8 << 20;
/// What the library may hold of an answer that is not being read.
constexpr qint64 readBufferBytes = 64 << 10;

/// A call that must not run twice gets no connection that was used before: its upstream may be
/// closing that just then, and the call would be lost on the way, its outcome unknown for nothing.
/// The library takes requests with different names to verify for different servers; over plain HTTP
/// the name means nothing else.
void useOwnConnection(QNetworkRequest &request, const RequestId &id)
{
    request.setPeerVerifyName(QString::fromStdString(id.value));
    request.setAttribute(QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute, 1);
    request.setRawHeader("Connection", "close");
}

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
    if (!dispatch.mayRunTwice)
        useOwnConnection(request, dispatch.request);
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

/// Whether \a error only tells the status of an answer that came whole. The numbers between these
/// tell faults of the connection: 205 is a request that could not be sent again, 399 a broken
/// answer.
bool isStatusError(QNetworkReply::NetworkError error)
{
    const bool isClientError = error >= QNetworkReply::ContentAccessDenied
            && error <= QNetworkReply::UnknownContentError
            && error != QNetworkReply::ContentReSendError;
    return isClientError || error >= QNetworkReply::InternalServerError;
}

} // namespace

UpstreamAttempt::UpstreamAttempt(UpstreamPool &connections, const CallerRequest &request,
                                 const Dispatch &dispatch, bool hasBegun, Span limit,
                                 AttemptSinks reportTo)
    : pool(connections)
    , id(dispatch.request)
    , adapter(request.arrived.adapter.value)
    , isStream(request.isStream)
    , mayRunTwice(dispatch.mayRunTwice)
    , hasAnswerBegun(hasBegun)
    , resumeFrom(dispatch.resumeFrom)
    , idleLimit(limit)
    , idleDeadline(monotonicNow() + limit)
    , sinks(std::move(reportTo))
{
    const QByteArray address = QByteArray::fromStdString(dispatch.address);
    this->reply = this->pool.send(request.method, address, requestFor(request, dispatch),
                                  request.body);
    this->reply->setReadBufferSize(readBufferBytes);
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
    if (!this->isEnded && !this->isReadingPaused && now >= this->idleDeadline)
        this->end(AttemptOutcome::Silent);
}

void UpstreamAttempt::pause()
{
    this->isReadingPaused = true;
}

void UpstreamAttempt::resume()
{
    this->isReadingPaused = false;
    this->idleDeadline = monotonicNow() + this->idleLimit;
    this->readBytes(); // the library tells of bytes only once
}

/// An engine that mixes up its answers, or an answer to an older request on a reused connection:
/// without this check a caller would read another customer's text. Engines always name the request;
/// plain services may leave that out.
bool UpstreamAttempt::isAnswerToThis() const
{
    const QByteArray answered = this->reply->rawHeader("X-Request-Id");
    if (answered.isEmpty())
        return this->adapter.empty() || this->status != 200;
    return answered == QByteArray::fromStdString(this->id.value);
}

void UpstreamAttempt::readHead()
{
    if (this->isHeadChecked)
        return;
    this->isHeadChecked = true;
    this->status = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    this->contentType = this->reply->header(QNetworkRequest::ContentTypeHeader).toByteArray();
    if (this->status != 0 && !this->isAnswerToThis()) {
        this->pool.retire(this->reply); // what else comes on that connection cannot be trusted
        this->end(AttemptOutcome::Mismatch);
        return;
    }
    // An engine that does not say that it goes on from there begins at the first token again, and
    // the caller would read the beginning twice.
    const QByteArray resumedFrom = this->reply->rawHeader("X-Resumed-From");
    if (this->status == 200 && this->resumeFrom.count > 0
        && resumedFrom.toLongLong() != this->resumeFrom.count)
        this->end(AttemptOutcome::NotResumable);
}

void UpstreamAttempt::readBytes()
{
    if (this->isEnded || this->isReadingPaused)
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

bool UpstreamAttempt::isFromAdapter(const QByteArray &text) const
{
    const nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (!json.is_object())
        return false;
    const auto model = json.find("model");
    return model != json.end() && model->is_string()
            && model->get_ref<const std::string &>() == this->adapter;
}

void UpstreamAttempt::readStream(const QByteArray &bytes)
{
    const Result<WholeEvents> whole = takeEvents(this->events, bytes);
    if (!whole) {
        this->end(AttemptOutcome::Failed);
        return;
    }
    if (whole.value().bytes.isEmpty())
        return;
    // Right id, wrong adapter: the answer is as little the caller's as one with a wrong id.
    if (!this->isModelChecked && whole.value().tokens.count > 0) {
        this->isModelChecked = true;
        if (!this->isFromAdapter(firstData(whole.value().bytes))) {
            this->end(AttemptOutcome::Mismatch);
            return;
        }
    }
    this->sinks.streamed(whole.value());
}

AttemptOutcome UpstreamAttempt::outcomeOfWhole()
{
    const bool isEngine = !this->adapter.empty();
    const bool isRefusal = this->status == 503 || this->status == 429;
    // An engine's 404 means that it has lost the adapter, as it does by a restart; the host has
    // checked already that the customer has that adapter.
    if ((isRefusal && this->mayRunTwice) || (isEngine && this->status == 404))
        return AttemptOutcome::Refused;
    if (this->hasAnswerBegun || (isEngine && this->status >= 500))
        return AttemptOutcome::Failed;
    if (isEngine && this->status == 200 && !this->isFromAdapter(this->body))
        return AttemptOutcome::Mismatch;
    this->generated = completionTokens(this->body);
    return AttemptOutcome::Done;
}

bool UpstreamAttempt::isWholeAnswer() const
{
    const QNetworkReply::NetworkError error = this->reply->error();
    return this->status != 0 && (error == QNetworkReply::NoError || isStatusError(error));
}

void UpstreamAttempt::finished()
{
    if (this->isEnded)
        return;
    this->isReadingPaused = false;
    this->readHead();
    if (!this->isEnded && this->reply->bytesAvailable() > 0)
        this->readBytes();
    if (this->isEnded)
        return;
    if (this->reply->error() == QNetworkReply::ConnectionRefusedError) {
        this->end(AttemptOutcome::NotSent);
        return;
    }
    if (this->isStream && this->status == 200) {
        const bool isWhole = this->events.isDone && this->reply->error() == QNetworkReply::NoError;
        this->end(isWhole ? AttemptOutcome::Done : AttemptOutcome::Failed);
        return;
    }
    this->end(this->isWholeAnswer() ? this->outcomeOfWhole() : AttemptOutcome::Failed);
}

void UpstreamAttempt::end(AttemptOutcome outcome)
{
    this->isEnded = true;
    this->sinks.ended(outcome);
}

} // namespace azurewell
