#include "azurewell/shell/traffic_worker.h"

#include "azurewell/http/listen_socket.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/logging/log.h"
#include "azurewell/shell/http_text.h"

namespace azurewell {

namespace {

/// Interval of deadline checks and stream progress reports. One event per token would cost the
/// control thread 5,400 events per second on each of 390 hosts at 2.1 million tokens per second in
/// total; a report every 50 ms covers all streams of a thread.
constexpr int checkMillis = 50;
/// A check that is this late means that the process was suspended. Deadlines are then not checked
/// for suspendGracePeriod, as responses may still be unread in the kernel's buffers.
constexpr Span lateCheckThreshold = fromSeconds(0.5);
constexpr Span suspendGracePeriod = fromSeconds(0.5);
/// Reading from the upstream is paused above this many unsent bytes of a stream.
constexpr qint64 maxUnsentBytes = 256 << 10;
/// Reading resumes at or below this many unsent bytes.
constexpr qint64 resumeUnsentBytes = 64 << 10;
/// All responses that are held are added up once for so many bytes.
constexpr std::size_t bufferedBytesBetweenSums = 64ULL << 10;
/// How long a stopping process waits for callers that read their responses slowly.
constexpr Span finishTimeout = fromSeconds(30);
/// How long requests on the last accepted connections are still read, and refused as not run.
constexpr Span lateConnectionTimeout = fromSeconds(0.2);

/// Returns the response stored for repeats of the call; empty if it is too long.
HeldAnswer heldAnswerOf(const UpstreamAttempt &attempt)
{
    if (attempt.body.size() > static_cast<qsizetype>(maxHeldAnswerBytes))
        return {};
    return HeldAnswer{ attempt.status, attempt.contentType.toStdString(),
                       attempt.body.toStdString() };
}

} // namespace

TrafficWorker::TrafficWorker(const Settings &hostSettings, std::uint32_t number, Report reportTo)
    : settings(hostSettings)
    , idPrefix(hostSettings.self.id.value + "-"
               + std::to_string(hostSettings.self.incarnation.value) + "-" + std::to_string(number)
               + "-")
    , report(std::move(reportTo))
    , deadlineTimer(this)
{
}

TrafficWorker::~TrafficWorker() = default;

Result<std::uint16_t> TrafficWorker::start()
{
    Result<UniqueFd> socket = openListenSocket(this->settings.callers);
    if (!socket)
        return socket.error();
    this->server = new GuardedTcpServer(
            this->settings, [this](ResultCode code) { this->report(LocalRefusal{ code }); }, this);
    if (!this->server->setSocketDescriptor(socket.value().get()))
        return Error{ ResultCode::SettingsInvalid,
                      "callers: " + this->server->errorString().toStdString() };
    socket.value().release();
    this->bind(this->server);
    QObject::connect(&this->deadlineTimer, &QTimer::timeout, this,
                     [this] { this->checkDeadlines(); });
    this->nextCheck = monotonicNow();
    this->deadlineTimer.start(checkMillis);
    return this->server->serverPort();
}

void TrafficWorker::drain()
{
    this->isDraining = true;
}

/// Returns "Connection: close" while draining, so that the caller sends its next request elsewhere:
/// a request sent while the connection is being closed would be lost without a response.
QByteArray TrafficWorker::connectionHeader() const
{
    return this->isDraining ? "Connection: close\r\n" : "";
}

void TrafficWorker::finish(std::function<void()> finished)
{
    // Closing the port would reset connections that the kernel has already accepted.
    while (this->server->waitForNewConnection(0)) {}
    this->server->close();
    this->onFinished = std::move(finished);
    this->finishNotBefore = monotonicNow() + lateConnectionTimeout;
    this->finishDeadline = monotonicNow() + finishTimeout;
}

/// Whether every response has been passed to the kernel or the deadline has passed: destroying a
/// socket with unsent bytes would truncate a response.
bool TrafficWorker::isFinished(Instant now) const
{
    if (now >= this->finishDeadline)
        return true;
    return now >= this->finishNotBefore && this->exchanges.empty()
            && !this->server->hasUnsentBytes();
}

bool TrafficWorker::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    CallerGuard *guard = GuardedTcpServer::guardOf(socket);
    if (!guard || !guard->isAwaitingResponse()) {
        if (guard)
            guard->refuse(Error{ ResultCode::MalformedRequest, {} });
        return true;
    }
    const RequestId id{ this->idPrefix + std::to_string(this->nextSequence++) };
    Result<CallerRequest> read = readCallerRequest(
            request, id, monotonicNow() + this->settings.defaultRequestTimeout);
    if (!read) {
        // An earlier request with the same call number may have run.
        const bool isNumbered = !request.value("x-call-number").isEmpty();
        this->refuseLocally(socket, read.error(), id,
                            isNumbered ? RunState::Unknown : RunState::NotRun);
        return true;
    }
    Exchange &exchange = this->exchanges[id];
    exchange.request = std::move(read.value());
    exchange.socket = socket;
    // The socket deletes itself on disconnect; QPointer and this signal prevent access to it
    // afterwards.
    exchange.connections[0] = QObject::connect(socket, &QTcpSocket::disconnected, this,
                                               [this, id] { this->callerDisconnected(id); });
    exchange.connections[1] = QObject::connect(socket, &QTcpSocket::bytesWritten, this,
                                               [this, id] { this->callerBytesWritten(id); });
    this->report(Event{ exchange.request.arrived });
    return true;
}

void TrafficWorker::missingHandler(const QHttpServerRequest &, QTcpSocket *socket)
{
    this->refuseLocally(socket, Error{ ResultCode::UnknownPath, {} }, RequestId{});
}

void TrafficWorker::refuseLocally(QTcpSocket *socket, const Error &error, const RequestId &id,
                                  RunState runState)
{
    this->report(LocalRefusal{ error.code });
    socket->write(refusalAnswer(Refuse{ id, error.code, runState, {}, error.detail }));
    if (CallerGuard *guard = GuardedTcpServer::guardOf(socket))
        guard->responseSent();
}

void TrafficWorker::executeOrder(const TrafficOrder &order)
{
    if (const Refuse *refusal = std::get_if<Refuse>(&order))
        this->refuse(*refusal);
    else if (const Dispatch *toSend = std::get_if<Dispatch>(&order))
        this->dispatch(*toSend);
    else if (const CancelAttempt *toCancel = std::get_if<CancelAttempt>(&order))
        this->cancel(*toCancel);
    else if (const AnswerFromStore *held = std::get_if<AnswerFromStore>(&order))
        this->answerHeld(*held);
    else if (const AnswerCallNumbers *numbers = std::get_if<AnswerCallNumbers>(&order))
        this->answerNumbers(*numbers);
}

void TrafficWorker::refuse(const Refuse &refusal)
{
    const auto found = this->exchanges.find(refusal.request);
    if (found == this->exchanges.end())
        return;
    Exchange &exchange = found->second;
    writeLog(LogLevel::Info, "request_refused",
             { { "request", refusal.request.value },
               { "code", std::string(infoOf(refusal.code).name) },
               { "run_state", std::string(nameOf(refusal.runState)) } });
    if (exchange.socket) {
        const bool hasBegun = exchange.isHeadSent;
        exchange.socket->write(hasBegun ? encodeChunk(refusalEvent(refusal)) + encodeChunk({})
                                        : refusalAnswer(refusal));
    }
    this->endExchange(refusal.request);
}

void TrafficWorker::dispatch(const Dispatch &order)
{
    const auto found = this->exchanges.find(order.request);
    if (found == this->exchanges.end()) {
        // The caller disconnected while the message was queued. A numbered call still needs its
        // outcome.
        this->report(Event{ AttemptEnded{
                order.request, order.attempt, AttemptOutcome::NotSent, {}, false, false, {} } });
        return;
    }
    Exchange &exchange = found->second;
    exchange.attemptNumber = order.attempt;
    exchange.resumedFrom = order.resumeFrom;
    // Checked just before sending: the message may have been queued while the process was
    // suspended.
    if (monotonicNow() >= order.notAfter) {
        this->report(Event{ AttemptEnded{ order.request,
                                          order.attempt,
                                          AttemptOutcome::NotSent,
                                          exchange.delivered,
                                          exchange.isHeadSent,
                                          false,
                                          {} } });
        return;
    }
    const RequestId id = order.request;
    AttemptCallbacks callbacks;
    callbacks.onEvents = [this, id](const CompleteEvents &events) {
        this->forwardEvents(id, events);
    };
    callbacks.onEnded = [this, id](AttemptOutcome outcome) {
        this->attemptEnded(id, outcome);
    };
    callbacks.onBuffered = [this](std::size_t bytes) {
        this->limitBuffered(bytes);
    };
    exchange.attempt = std::make_unique<UpstreamAttempt>(
            this->connections, exchange.request, order, exchange.isHeadSent,
            this->settings.upstreamIdleTimeout, std::move(callbacks));
}

void TrafficWorker::cancel(const CancelAttempt &order)
{
    const auto found = this->exchanges.find(order.request);
    if (found == this->exchanges.end() || !found->second.attempt)
        return;
    Exchange &exchange = found->second;
    const bool isComplete = hasLastToken(exchange);
    this->logAttemptEnd(exchange, AttemptOutcome::Cancelled);
    exchange.attempt.reset();
    if (isComplete)
        this->endStream(exchange);
    this->report(Event{ AttemptEnded{ order.request,
                                      exchange.attemptNumber,
                                      AttemptOutcome::Cancelled,
                                      exchange.delivered,
                                      exchange.isHeadSent,
                                      isComplete,
                                      {} } });
    if (isComplete)
        this->endExchange(order.request);
}

void TrafficWorker::answer(const RequestId &id, const QByteArray &bytes)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    if (found->second.socket)
        found->second.socket->write(bytes);
    this->endExchange(id);
}

void TrafficWorker::answerHeld(const AnswerFromStore &order)
{
    const HeldAnswer &held = order.answer;
    const QByteArray body = QByteArray::fromStdString(held.body);
    this->answer(order.request,
                 answerHead(held.status, QByteArray::fromStdString(held.contentType), body.size(),
                            order.request, "X-Azurewell-Repeated: true\r\n")
                         + body);
}

void TrafficWorker::answerNumbers(const AnswerCallNumbers &order)
{
    QByteArray body;
    for (const CallNumber &number : order.numbers)
        body += (body.isEmpty() ? "\"" : ",\"") + QByteArray::fromStdString(number.value) + '"';
    body = "{\"call_numbers\":[" + body + "]}\n";
    this->answer(order.request,
                 answerHead(200, "application/json", body.size(), order.request) + body);
}

void TrafficWorker::forwardEvents(const RequestId &id, const CompleteEvents &events)
{
    Exchange &exchange = this->exchanges.at(id);
    if (!exchange.socket)
        return;
    if (!exchange.isHeadSent)
        exchange.socket->write(chunkedHead("text/event-stream", id, this->connectionHeader()));
    exchange.isHeadSent = true;
    exchange.socket->write(encodeChunk(events.bytes));
    exchange.delivered += events.tokens;
    if (exchange.socket->bytesToWrite() > maxUnsentBytes) {
        exchange.attempt->pause();
        exchange.readerDeadline = monotonicNow() + this->settings.callerReadTimeout;
    }
}

/// Counts \a bytes that were added to a response. Over the bound of all responses that this thread
/// holds, the attempt with the longest one ends.
void TrafficWorker::limitBuffered(std::size_t bytes)
{
    this->bufferedSinceSum += bytes;
    if (this->bufferedSinceSum < bufferedBytesBetweenSums)
        return;
    this->bufferedSinceSum = 0;
    qsizetype held = 0;
    UpstreamAttempt *longest = nullptr;
    for (const auto &[id, exchange] : this->exchanges) {
        if (!exchange.attempt)
            continue;
        held += exchange.attempt->body.capacity();
        if (!longest || exchange.attempt->body.capacity() > longest->body.capacity())
            longest = exchange.attempt.get();
    }
    const std::size_t most = maxHeldBytesOfHost / this->settings.trafficThreads;
    if (longest && static_cast<std::size_t>(held) > most)
        longest->endOversized();
}

void TrafficWorker::callerBytesWritten(const RequestId &id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || !found->second.attempt || !found->second.socket)
        return;
    const bool isPaused = found->second.attempt->isPaused();
    if (isPaused && found->second.socket->bytesToWrite() <= resumeUnsentBytes)
        found->second.attempt->resume();
}

void TrafficWorker::reportProgress()
{
    std::vector<AttemptProgress> progressReports;
    for (auto &[id, exchange] : this->exchanges) {
        if (exchange.delivered <= exchange.reported)
            continue;
        exchange.reported = exchange.delivered;
        progressReports.push_back(
                AttemptProgress{ id, exchange.attemptNumber, exchange.delivered });
    }
    if (!progressReports.empty())
        this->report(std::move(progressReports));
}

void TrafficWorker::attemptEnded(const RequestId &id, AttemptOutcome outcome)
{
    Exchange &exchange = this->exchanges.at(id);
    const std::uint32_t number = exchange.attemptNumber;
    const bool isComplete = outcome == AttemptOutcome::Done || hasLastToken(exchange);
    if (isComplete) {
        const bool isStream = exchange.request.isStream && exchange.attempt->status == 200;
        if (isStream)
            this->endStream(exchange);
        else
            this->sendCompleteResponse(exchange);
    }
    if (outcome != AttemptOutcome::Done)
        this->logAttemptEnd(exchange, outcome);
    AttemptEnded ended{
        id, number, outcome, exchange.delivered, exchange.isHeadSent, isComplete, {}
    };
    if (outcome == AttemptOutcome::Done && !exchange.request.callNumber.isEmpty())
        ended.answer = heldAnswerOf(*exchange.attempt);
    this->report(Event{ std::move(ended) });
    // Called by the attempt, which therefore must not be deleted here.
    exchange.attempt.release()->deleteLater();
    if (isComplete)
        this->endExchange(id);
}

bool TrafficWorker::hasLastToken(const Exchange &exchange)
{
    if (!exchange.request.isStream || !exchange.isHeadSent)
        return false;
    const std::optional<Tokens> &limit = exchange.request.answerLimit;
    return exchange.attempt->hasAnswerEnd() || (limit && exchange.delivered >= *limit);
}

void TrafficWorker::logAttemptEnd(const Exchange &exchange, AttemptOutcome outcome) const
{
    writeLog(LogLevel::Info, "attempt_ended",
             { { "request", exchange.request.arrived.request.value },
               { "attempt", std::to_string(exchange.attemptNumber) },
               { "outcome", std::string(nameOf(outcome)) },
               { "resumed_from", std::to_string(exchange.resumedFrom.count) },
               { "delivered", std::to_string(exchange.delivered.count) },
               { "complete", hasLastToken(exchange) ? "true" : "false" } });
}

void TrafficWorker::endStream(Exchange &exchange)
{
    if (!exchange.socket)
        return;
    if (!exchange.isHeadSent)
        exchange.socket->write(chunkedHead("text/event-stream", exchange.request.arrived.request,
                                           this->connectionHeader()));
    exchange.socket->write(encodeChunk("data: [DONE]\n\n") + encodeChunk({}));
}

void TrafficWorker::sendCompleteResponse(Exchange &exchange)
{
    UpstreamAttempt &attempt = *exchange.attempt;
    exchange.delivered = attempt.generated;
    if (!exchange.socket)
        return;
    const QByteArray type = attempt.contentType.isEmpty() ? QByteArray("application/octet-stream")
                                                          : attempt.contentType;
    exchange.socket->write(answerHead(attempt.status, type, attempt.body.size(),
                                      exchange.request.arrived.request, this->connectionHeader())
                           + attempt.body);
}

void TrafficWorker::endExchange(const RequestId &id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    const QPointer<QTcpSocket> socket = found->second.socket;
    for (const QMetaObject::Connection &connection : found->second.connections)
        QObject::disconnect(connection); // by handle: QHttpServer has its own connections
    this->exchanges.erase(found);
    if (!socket)
        return;
    CallerGuard *guard = GuardedTcpServer::guardOf(socket);
    if (guard && this->isDraining)
        guard->closeWhenIdle();
    if (guard)
        guard->responseSent();
}

void TrafficWorker::callerDisconnected(const RequestId &id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    // A numbered call that was sent continues without its caller; a repeat gets the outcome.
    if (!found->second.request.callNumber.isEmpty() && found->second.attempt) {
        found->second.socket = nullptr;
        return;
    }
    // Delivered tokens count against the rate even if the caller disconnects before the next
    // report.
    const Exchange &exchange = found->second;
    this->report(std::vector<AttemptProgress>{
            AttemptProgress{ id, exchange.attemptNumber, exchange.delivered } });
    this->exchanges.erase(found); // aborts the attempt, which closes the connection to the engine
    this->report(Event{ CallerDisconnected{ id } });
}

/// Disconnects callers that do not read their stream, as they occupy a slot that others wait for.
/// The host state then releases slot and tokens and cancels the request at the engine.
void TrafficWorker::dropSlowReaders(Instant now)
{
    std::vector<QPointer<QTcpSocket>> slow;
    for (const auto &[id, exchange] : this->exchanges) {
        const bool isPaused = exchange.attempt && exchange.attempt->isPaused();
        if (isPaused && now >= exchange.readerDeadline)
            slow.push_back(exchange.socket);
    }
    for (const QPointer<QTcpSocket> &socket : slow) {
        if (socket)
            socket->abort();
    }
}

void TrafficWorker::checkDeadlines()
{
    const Instant now = monotonicNow();
    if (now >= this->nextCheck + lateCheckThreshold)
        this->checksNotBefore = now + suspendGracePeriod;
    this->nextCheck = now + Span{ std::chrono::milliseconds(checkMillis) };
    if (now < this->checksNotBefore)
        return;
    this->server->checkDeadlines(now);
    this->connections.closeExpired(now);
    this->dropSlowReaders(now);
    std::vector<UpstreamAttempt *> attempts;
    for (auto &[id, exchange] : this->exchanges) {
        if (exchange.attempt)
            attempts.push_back(exchange.attempt.get());
    }
    for (UpstreamAttempt *attempt : attempts)
        attempt->checkDeadline(now);
    this->reportProgress();
    if (!this->onFinished || now < this->finishNotBefore)
        return;
    this->server->closeIdle();
    if (this->isFinished(now))
        std::exchange(this->onFinished, nullptr)();
}

} // namespace azurewell
