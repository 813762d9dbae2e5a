#include "azurewell/shell/upstream_attempt.h"

#include "azurewell/http/clock.h"

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

/// Limit of a non-streaming response, which is buffered until complete.
constexpr qsizetype maxBufferedResponseBytes = 8 << 20;
/// Limit of the library's buffer for a response that is not being read.
constexpr qint64 readBufferBytes = 64 << 10;

/// Uses a new connection for a call that must not run twice: the upstream may be closing a reused
/// connection, and the call could be lost with its outcome needlessly unknown. Requests with
/// different peer verify names do not share connections; over plain HTTP the name has no other
/// effect.
void useOwnConnection(QNetworkRequest &request, const RequestId &id)
{
    request.setPeerVerifyName(QString::fromStdString(id.value));
    request.setAttribute(QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute, 1);
    request.setRawHeader("Connection", "close");
}

/// Builds the upstream request. Only the headers set here are forwarded, never the caller's key.
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

/// Whether \a error only reflects the status of a completely received response. The codes in
/// between are connection errors: 205 is a request that could not be resent, 399 a protocol
/// failure.
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
                                 AttemptCallbacks reportTo)
    : pool(connections)
    , id(dispatch.request)
    , adapter(request.arrived.adapter.value)
    , isStream(request.isStream)
    , mayRunTwice(dispatch.mayRunTwice)
    , hasAnswerStarted(hasBegun)
    , resumeFrom(dispatch.resumeFrom)
    , idleTimeout(limit)
    , idleDeadline(monotonicNow() + limit)
    , callbacks(std::move(reportTo))
{
    this->events.choices = request.choices;
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
    this->reply->abort(); // closes the connection to the engine
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
    this->idleDeadline = monotonicNow() + this->idleTimeout;
    this->readBytes(); // readyRead is emitted only once per batch of bytes
}

/// Whether the response belongs to this request. An engine may mix up responses, or a reused
/// connection may carry a response to an older request; a caller would then read another customer's
/// text. Engines always return the request ID; plain services may omit it.
bool UpstreamAttempt::isResponseToThisRequest() const
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
    if (this->status != 0 && !this->isResponseToThisRequest()) {
        this->pool.retire(this->reply); // later responses on this connection cannot be trusted
        this->end(AttemptOutcome::Mismatch);
        return;
    }
    // Without this confirmation the engine restarts at the first token, and the caller would
    // receive the beginning twice.
    const QByteArray resumedFrom = this->reply->rawHeader("X-Resumed-From");
    if (this->status == 200 && this->resumeFrom.count > 0
        && resumedFrom.toLongLong() != this->resumeFrom.count)
        this->end(AttemptOutcome::NotResumable);
}

void UpstreamAttempt::readBytes()
{
    if (this->isEnded || this->isReadingPaused)
        return;
    this->idleDeadline = monotonicNow() + this->idleTimeout;
    this->readHead();
    if (this->isEnded)
        return;
    const QByteArray bytes = this->reply->readAll();
    if (this->isStream && this->status == 200) {
        this->readStream(bytes);
        return;
    }
    this->body += bytes;
    if (this->body.size() > maxBufferedResponseBytes)
        this->end(AttemptOutcome::Failed);
}

bool UpstreamAttempt::isResponseOfAdapter(const QByteArray &text) const
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
    const Result<CompleteEvents> whole = extractEvents(this->events, bytes);
    if (!whole) {
        this->end(AttemptOutcome::Failed);
        return;
    }
    if (whole.value().bytes.isEmpty())
        return;
    // A response of another adapter is rejected like one with another request ID.
    if (!this->isAdapterChecked && whole.value().tokens.count > 0) {
        this->isAdapterChecked = true;
        if (!this->isResponseOfAdapter(firstData(whole.value().bytes))) {
            this->end(AttemptOutcome::Mismatch);
            return;
        }
    }
    this->callbacks.onEvents(whole.value());
}

AttemptOutcome UpstreamAttempt::outcomeOfResponse()
{
    const bool isEngine = !this->adapter.empty();
    const bool isRefusal = this->status == 503 || this->status == 429;
    // An engine's 404 means that it no longer has the adapter loaded, for example after a restart;
    // the host has already checked that the customer owns that adapter.
    if ((isRefusal && this->mayRunTwice) || (isEngine && this->status == 404))
        return AttemptOutcome::Refused;
    if (this->hasAnswerStarted || (isEngine && this->status >= 500))
        return AttemptOutcome::Failed;
    if (isEngine && this->status == 200 && !this->isResponseOfAdapter(this->body))
        return AttemptOutcome::Mismatch;
    this->generated = completionTokens(this->body);
    return AttemptOutcome::Done;
}

bool UpstreamAttempt::isCompleteResponse() const
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
    this->end(this->isCompleteResponse() ? this->outcomeOfResponse() : AttemptOutcome::Failed);
}

void UpstreamAttempt::end(AttemptOutcome outcome)
{
    this->isEnded = true;
    this->callbacks.onEnded(outcome);
}

} // namespace azurewell
