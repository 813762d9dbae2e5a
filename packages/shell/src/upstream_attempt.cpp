#include "azurewell/shell/upstream_attempt.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QTimer>

#include <nlohmann/json.hpp>

namespace azurewell {

namespace {

/// Limit of a non-streaming response, which is buffered until complete.
constexpr qsizetype maxBufferedResponseBytes = 8 << 20;
/// TCP sends a lost SYN again after 1 s.
constexpr Span connectTimeout = std::chrono::seconds(2);

/// The request to the upstream. Only the headers set here are forwarded, never the caller's key.
std::string requestFor(const CallerRequest &caller, const Dispatch &dispatch)
{
    std::vector<HttpHeader> headers{
        { "Host", dispatch.address },
        { "X-Request-Id", dispatch.request.value },
        { "Accept", caller.isStream ? "text/event-stream" : "application/json" },
    };
    if (!caller.contentType.isEmpty())
        headers.push_back({ "Content-Type", caller.contentType.toStdString() });
    if (!caller.callNumber.isEmpty())
        headers.push_back({ "X-Call-Number", caller.callNumber.toStdString() });
    if (!dispatch.mayRunTwice)
        headers.push_back({ "Connection", "close" });
    if (dispatch.resumeFrom.count > 0)
        headers.push_back({ "X-Resume-From", std::to_string(dispatch.resumeFrom.count) });
    const bool hasBody = caller.method != "GET" && caller.method != "HEAD";
    const std::string_view body(caller.body.constData(),
                                static_cast<std::size_t>(caller.body.size()));
    return requestBytes(caller.method.toStdString(), caller.path.toStdString(), headers,
                        hasBody ? body : std::string_view(), hasBody);
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

UpstreamAttempt::UpstreamAttempt(UpstreamConnections &shared, const CallerRequest &request,
                                 const Dispatch &dispatch, bool hasBegun, Span limit,
                                 AttemptCallbacks reportTo)
    : connections(shared)
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
    const Result<Endpoint> to = parseEndpoint(dispatch.address);
    if (!to) {
        this->isExchangeOver = true;
        QTimer::singleShot(0, this, [this] { this->finish(ExchangeFailure::NotSent); });
        return;
    }
    // A call that must not run twice takes a new connection: the upstream may be closing one that
    // is reused, and the call could be lost with its outcome needlessly unknown.
    const ConnectionChoice choice = this->mayRunTwice ? ConnectionChoice::Any
                                                      : ConnectionChoice::New;
    this->exchange = this->connections.start(to.value(), requestFor(request, dispatch),
                                             request.method == "HEAD", this->handlers(),
                                             monotonicNow(), connectTimeout, choice);
}

UpstreamAttempt::~UpstreamAttempt()
{
    this->closeConnection();
}

ExchangeHandlers UpstreamAttempt::handlers()
{
    ExchangeHandlers given;
    given.onHead = [this](const ResponseHead &head) {
        this->readHead(head);
    };
    given.onBody = [this](const std::string &bytes) {
        this->readBytes(QByteArray::fromStdString(bytes));
    };
    given.onComplete = [this] {
        this->isExchangeOver = true;
        this->finish(std::nullopt);
    };
    given.onFailure = [this](ExchangeFailure failure) {
        this->isExchangeOver = true;
        this->finish(failure);
    };
    given.matchesRequest = [](const ResponseHead &) {
        return true; // readHead() ends the attempt if the response is to another request.
    };
    return given;
}

/// Closes the connection to the upstream, unless the exchange has ended.
void UpstreamAttempt::closeConnection()
{
    if (!std::exchange(this->isExchangeOver, true))
        this->connections.cancel(this->exchange);
}

void UpstreamAttempt::checkDeadline(Instant now)
{
    if (!this->isEnded && !this->isReadingPaused && now >= this->idleDeadline)
        this->end(AttemptOutcome::Silent);
}

void UpstreamAttempt::pause()
{
    this->isReadingPaused = true;
    if (!this->isExchangeOver)
        this->connections.pauseReading(this->exchange, true);
}

void UpstreamAttempt::resume()
{
    this->isReadingPaused = false;
    this->idleDeadline = monotonicNow() + this->idleTimeout;
    if (!this->isExchangeOver)
        this->connections.pauseReading(this->exchange, false);
}

/// Whether the response belongs to this request. An engine may mix up responses, or a reused
/// connection may carry a response to an older request; a caller would then read another customer's
/// text. Engines always return the request ID; plain services may omit it.
bool UpstreamAttempt::isResponseToThisRequest(const ResponseHead &head) const
{
    const std::string_view answered = headerValue(head.headers, "X-Request-Id");
    if (answered.empty())
        return this->adapter.empty() || this->status != 200;
    return answered == this->id.value;
}

void UpstreamAttempt::readHead(const ResponseHead &head)
{
    if (this->isEnded)
        return;
    this->status = head.status;
    this->contentType = QByteArray::fromStdString(
            std::string(headerValue(head.headers, "Content-Type")));
    if (!this->isResponseToThisRequest(head)) {
        this->end(AttemptOutcome::Mismatch);
        return;
    }
    // No coding was asked for, and the caller would not be told of it.
    if (headerCount(head.headers, "Content-Encoding") > 0) {
        this->end(AttemptOutcome::Failed);
        return;
    }
    // Without this confirmation the engine restarts at the first token, and the caller would
    // receive the beginning twice.
    const std::string_view resumedFrom = headerValue(head.headers, "X-Resumed-From");
    if (this->status == 200 && this->resumeFrom.count > 0
        && resumedFrom != std::to_string(this->resumeFrom.count))
        this->end(AttemptOutcome::NotResumable);
}

void UpstreamAttempt::readBytes(const QByteArray &bytes)
{
    if (this->isEnded)
        return;
    this->idleDeadline = monotonicNow() + this->idleTimeout;
    if (this->isStream && this->status == 200) {
        this->readStream(bytes);
        return;
    }
    this->body += bytes;
    if (this->body.size() > maxBufferedResponseBytes)
        this->end(AttemptOutcome::Failed);
    else
        this->callbacks.onBuffered(static_cast<std::size_t>(bytes.size()));
}

void UpstreamAttempt::endOversized()
{
    if (!this->isEnded)
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

/// The exchange has ended, without a whole response if there is a \a failure.
void UpstreamAttempt::finish(std::optional<ExchangeFailure> failure)
{
    if (this->isEnded)
        return;
    this->isReadingPaused = false;
    if (failure == ExchangeFailure::NotSent) {
        this->end(AttemptOutcome::NotSent);
        return;
    }
    const bool isStreamed = this->isStream && this->status == 200;
    if (failure || (isStreamed && !this->events.isDone)) {
        this->end(AttemptOutcome::Failed);
        return;
    }
    this->end(isStreamed ? AttemptOutcome::Done : this->outcomeOfResponse());
}

void UpstreamAttempt::end(AttemptOutcome outcome)
{
    this->isEnded = true;
    this->closeConnection();
    this->callbacks.onEnded(outcome);
}

} // namespace azurewell
