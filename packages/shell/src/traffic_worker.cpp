#include "azurewell/shell/traffic_worker.h"

#include "azurewell/http/listen_socket.h"
#include "azurewell/logging/log.h"
#include "azurewell/shell/http_text.h"

namespace azurewell {

namespace {

/// How often deadlines are checked and the progress of streams is reported. One event for each
/// token would cost the control thread 5,400 events a second on each of 390 hosts at 2.1 million
/// tokens a second in all; a report in 50 ms is one for all streams of a thread.
constexpr int checkMillis = 50;
/// A check that comes this late means that the process was stopped. What came meanwhile is read
/// before anybody is found silent: a filing's answer may wait in the kernel's buffer.
constexpr Span lateWake = fromSeconds(0.5);
constexpr Span wakePatience = fromSeconds(0.5);
/// Bytes of a stream that may wait for its caller; more are left at the upstream.
constexpr qint64 mostUnsentBytes = 256 << 10;
/// Reading goes on when no more than this many wait.
constexpr qint64 fewUnsentBytes = 64 << 10;
/// How long a leaving process waits for callers that read their answers slowly.
constexpr Span finishPatience = fromSeconds(30);
/// Requests on connections that were accepted last are still read, and refused as not run.
constexpr Span latecomerPatience = fromSeconds(0.2);

/// The answer for repeats of the call, where it is short enough.
HeldAnswer heldAnswerOf(const UpstreamAttempt &attempt)
{
    if (attempt.body.size() > static_cast<qsizetype>(longestHeldAnswer))
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
            this->settings, [this](ResultCode code) { this->report(RefusedEarly{ code }); }, this);
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

/// A connection that is closed while its caller sends the next request loses that request without
/// an answer; a caller that was told to leave sends it elsewhere.
QByteArray TrafficWorker::connectionHeader() const
{
    return this->isDraining ? "Connection: close\r\n" : "";
}

void TrafficWorker::finish(std::function<void()> finished)
{
    // Callers that the kernel has accepted already would be reset with the port.
    while (this->server->waitForNewConnection(0)) {}
    this->server->close();
    this->onFinished = std::move(finished);
    this->finishNotBefore = monotonicNow() + latecomerPatience;
    this->finishDeadline = monotonicNow() + finishPatience;
}

/// Whether every answer has left this process: a socket destroyed with bytes in its buffer would
/// cut the end off an answer.
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
    if (!guard || !guard->isAnswering()) {
        if (guard)
            guard->refuse(Error{ ResultCode::MalformedRequest, {} });
        return true;
    }
    const RequestId id{ this->idPrefix + std::to_string(this->nextSequence++) };
    Result<CallerRequest> read = readCallerRequest(request, id,
                                                   monotonicNow() + this->settings.requestPatience);
    if (!read) {
        // An earlier request with this number may have run.
        const bool isNumbered = !request.value("x-call-number").isEmpty();
        this->refuseEarly(socket, read.error(), id,
                          isNumbered ? RunState::Unknown : RunState::NotRun);
        return true;
    }
    Exchange &exchange = this->exchanges[id];
    exchange.request = std::move(read.value());
    exchange.socket = socket;
    // The socket deletes itself when the caller goes; QPointer and this signal keep us from
    // touching it.
    exchange.connections[0] = QObject::connect(socket, &QTcpSocket::disconnected, this,
                                               [this, id] { this->callerLeft(id); });
    exchange.connections[1] = QObject::connect(socket, &QTcpSocket::bytesWritten, this,
                                               [this, id] { this->callerHasRead(id); });
    this->report(Event{ exchange.request.arrived });
    return true;
}

void TrafficWorker::missingHandler(const QHttpServerRequest &, QTcpSocket *socket)
{
    this->refuseEarly(socket, Error{ ResultCode::UnknownPath, {} }, RequestId{});
}

void TrafficWorker::refuseEarly(QTcpSocket *socket, const Error &error, const RequestId &id,
                                RunState runState)
{
    this->report(RefusedEarly{ error.code });
    socket->write(refusalAnswer(Refuse{ id, error.code, runState, {}, error.detail }));
    if (CallerGuard *guard = GuardedTcpServer::guardOf(socket))
        guard->answerDone();
}

void TrafficWorker::carryOut(const TrafficOrder &order)
{
    if (const Refuse *refusal = std::get_if<Refuse>(&order))
        this->refuse(*refusal);
    else if (const Dispatch *toSend = std::get_if<Dispatch>(&order))
        this->dispatch(*toSend);
    else if (const CancelAttempt *toCancel = std::get_if<CancelAttempt>(&order))
        this->cancel(*toCancel);
    else if (const AnswerHeld *held = std::get_if<AnswerHeld>(&order))
        this->answerHeld(*held);
    else if (const AnswerNumbers *numbers = std::get_if<AnswerNumbers>(&order))
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
        exchange.socket->write(hasBegun ? chunkOf(refusalEvent(refusal)) + chunkOf({})
                                        : refusalAnswer(refusal));
    }
    this->endExchange(refusal.request);
}

void TrafficWorker::dispatch(const Dispatch &order)
{
    const auto found = this->exchanges.find(order.request);
    if (found == this->exchanges.end()) {
        // The caller left while the order was on its way. A numbered call still waits for its end.
        this->report(Event{ AttemptEnded{
                order.request, order.attempt, AttemptOutcome::NotSent, {}, false, {} } });
        return;
    }
    Exchange &exchange = found->second;
    exchange.attemptNumber = order.attempt;
    // Checked at the last moment: the order may have waited while this process was stopped.
    if (monotonicNow() >= order.notAfter) {
        this->report(Event{ AttemptEnded{ order.request,
                                          order.attempt,
                                          AttemptOutcome::NotSent,
                                          exchange.delivered,
                                          exchange.isHeadSent,
                                          {} } });
        return;
    }
    const RequestId id = order.request;
    AttemptSinks sinks;
    sinks.streamed = [this, id](const WholeEvents &events) {
        this->passOn(id, events);
    };
    sinks.ended = [this, id](AttemptOutcome outcome) {
        this->attemptEnded(id, outcome);
    };
    exchange.attempt = std::make_unique<UpstreamAttempt>(
            this->pool, exchange.request, order, exchange.isHeadSent, this->settings.upstreamIdle,
            std::move(sinks));
}

void TrafficWorker::cancel(const CancelAttempt &order)
{
    const auto found = this->exchanges.find(order.request);
    if (found == this->exchanges.end() || !found->second.attempt)
        return;
    Exchange &exchange = found->second;
    exchange.attempt.reset();
    this->report(
            Event{ AttemptEnded{ order.request, exchange.attemptNumber, AttemptOutcome::Cancelled,
                                 exchange.delivered, exchange.isHeadSent } });
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

void TrafficWorker::answerHeld(const AnswerHeld &order)
{
    const HeldAnswer &held = order.answer;
    const QByteArray body = QByteArray::fromStdString(held.body);
    this->answer(order.request,
                 answerHead(held.status, QByteArray::fromStdString(held.contentType), body.size(),
                            order.request, "X-Azurewell-Repeated: true\r\n")
                         + body);
}

void TrafficWorker::answerNumbers(const AnswerNumbers &order)
{
    QByteArray body;
    for (const CallNumber &number : order.numbers)
        body += (body.isEmpty() ? "\"" : ",\"") + QByteArray::fromStdString(number.value) + '"';
    body = "{\"call_numbers\":[" + body + "]}\n";
    this->answer(order.request,
                 answerHead(200, "application/json", body.size(), order.request) + body);
}

void TrafficWorker::passOn(const RequestId &id, const WholeEvents &events)
{
    Exchange &exchange = this->exchanges.at(id);
    if (!exchange.socket)
        return;
    if (!exchange.isHeadSent)
        exchange.socket->write(chunkedHead("text/event-stream", id, this->connectionHeader()));
    exchange.isHeadSent = true;
    exchange.socket->write(chunkOf(events.bytes));
    exchange.delivered += events.tokens;
    if (exchange.socket->bytesToWrite() > mostUnsentBytes) {
        exchange.attempt->pause();
        exchange.readerDeadline = monotonicNow() + this->settings.readerPatience;
    }
}

void TrafficWorker::callerHasRead(const RequestId &id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || !found->second.attempt || !found->second.socket)
        return;
    const bool isPaused = found->second.attempt->isPaused();
    if (isPaused && found->second.socket->bytesToWrite() <= fewUnsentBytes)
        found->second.attempt->resume();
}

void TrafficWorker::reportProgress()
{
    std::vector<AttemptProgress> made;
    for (auto &[id, exchange] : this->exchanges) {
        if (exchange.delivered <= exchange.reported)
            continue;
        exchange.reported = exchange.delivered;
        made.push_back(AttemptProgress{ id, exchange.attemptNumber, exchange.delivered });
    }
    if (!made.empty())
        this->report(std::move(made));
}

void TrafficWorker::attemptEnded(const RequestId &id, AttemptOutcome outcome)
{
    Exchange &exchange = this->exchanges.at(id);
    const std::uint32_t number = exchange.attemptNumber;
    if (outcome == AttemptOutcome::Done) {
        const bool isStream = exchange.request.isStream && exchange.attempt->status == 200;
        if (isStream)
            this->endStream(exchange);
        else
            this->answerWhole(exchange);
    }
    AttemptEnded ended{ id, number, outcome, exchange.delivered, exchange.isHeadSent, {} };
    if (outcome == AttemptOutcome::Done && !exchange.request.callNumber.isEmpty())
        ended.answer = heldAnswerOf(*exchange.attempt);
    this->report(Event{ std::move(ended) });
    // The attempt is the caller of this function; it must not be deleted under itself.
    exchange.attempt.release()->deleteLater();
    if (outcome == AttemptOutcome::Done)
        this->endExchange(id);
}

void TrafficWorker::endStream(Exchange &exchange)
{
    if (!exchange.socket)
        return;
    if (!exchange.isHeadSent)
        exchange.socket->write(chunkedHead("text/event-stream", exchange.request.arrived.request,
                                           this->connectionHeader()));
    exchange.socket->write(chunkOf("data: [DONE]\n\n") + chunkOf({}));
}

void TrafficWorker::answerWhole(Exchange &exchange)
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
        QObject::disconnect(connection); // by handle: QHttpServer has connections of its own here
    this->exchanges.erase(found);
    if (!socket)
        return;
    CallerGuard *guard = GuardedTcpServer::guardOf(socket);
    if (guard && this->isDraining)
        guard->closeWhenIdle();
    if (guard)
        guard->answerDone();
}

void TrafficWorker::callerLeft(const RequestId &id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    // A numbered call that was sent goes on without its caller, whose repeat gets the outcome.
    if (!found->second.request.callNumber.isEmpty() && found->second.attempt) {
        found->second.socket = nullptr;
        return;
    }
    // What the caller got counts against its rate also when it leaves before the next report.
    const Exchange &exchange = found->second;
    this->report(std::vector<AttemptProgress>{
            AttemptProgress{ id, exchange.attemptNumber, exchange.delivered } });
    this->exchanges.erase(found); // drops the attempt; the engine sees its connection close
    this->report(Event{ CallerLeft{ id } });
}

/// A caller that leaves its stream unread holds a slot that others wait for. To the core it has
/// gone: slot and tokens are given back, and the engine is told to cancel.
void TrafficWorker::dropSlowReaders(Instant now)
{
    std::vector<QPointer<QTcpSocket>> slow;
    for (const auto &[id, exchange] : this->exchanges) {
        const bool isWaitedFor = exchange.attempt && exchange.attempt->isPaused();
        if (isWaitedFor && now >= exchange.readerDeadline)
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
    if (now >= this->nextCheck + lateWake)
        this->checksNotBefore = now + wakePatience;
    this->nextCheck = now + Span{ std::chrono::milliseconds(checkMillis) };
    if (now < this->checksNotBefore)
        return;
    this->server->checkDeadlines(now);
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
