#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"

#include <QtCore/QAbstractEventDispatcher>
#include <QtCore/QCoreApplication>

#include <algorithm>

namespace azurewell {

using namespace gateway;

namespace {

/// Time until the load balancer has noticed a stop: it needs two health checks, one second apart.
/// New connections that arrive until then are served.
constexpr Span loadBalancerDelay = std::chrono::milliseconds(3500);

/// The process exits by itself this long before the grace period ends.
constexpr Span exitMargin = std::chrono::milliseconds(250);

/// Requests for readiness and metrics need no body.
constexpr RequestLimits monitoringLimits{ 16 * 1024, 16ULL * 1024 };

} // namespace

Proxy::Proxy(ProxySettings given, const WireFormat &wireFormat)
    : settings(std::move(given))
    , format(wireFormat)
    , httpCalls(this->connections, wireFormat.isAnswerToCall)
    , maxConnections(connectionLimits(this->settings.maxDescriptors))
{
    this->callerMemory.limit = callerMemoryLimit(this->settings.machineBytes,
                                                 RequestLimits{}.bodyBytes);
}

Result<void> Proxy::start()
{
    Result<KnownCharts> charts = loadKnownCharts(this->settings.chartsDirectory);
    if (!charts)
        return charts.error();
    gateway::start(this->core, this->settings.self, std::move(charts.value()), monotonicNow());
    const auto onMessage = [this](const Gossip &message) {
        Actions actions;
        handle(this->core, message, monotonicNow(), actions);
        this->run(actions);
    };
    Result<std::unique_ptr<GossipSocket>> socket = GossipSocket::open(this->settings.self.address,
                                                                      onMessage);
    if (!socket)
        return socket.error();
    this->gossip = std::move(socket.value());
    Result<UniqueFd> callerSocket = openListenSocket(this->settings.callers);
    if (!callerSocket)
        return callerSocket.error();
    this->callers = std::make_unique<TcpAcceptor>(
            std::move(callerSocket.value()),
            [this](UniqueFd fd) { return this->accept(std::move(fd)); });
    Result<UniqueFd> peerSocket = openListenSocket(this->settings.self.address);
    if (!peerSocket)
        return peerSocket.error();
    this->peers = std::make_unique<TcpAcceptor>(std::move(peerSocket.value()), [this](UniqueFd fd) {
        this->acceptPeer(std::move(fd));
        return true;
    });
    Result<UniqueFd> readinessSocket = openListenSocket(this->settings.readiness);
    if (!readinessSocket)
        return readinessSocket.error();
    const auto onMonitoring = [this](UniqueFd fd) {
        this->acceptMonitoring(std::move(fd));
        return true;
    };
    this->readiness = std::make_unique<TcpAcceptor>(std::move(readinessSocket.value()),
                                                    onMonitoring);
    Result<UniqueFd> metricsSocket = openListenSocket(this->settings.metrics);
    if (!metricsSocket)
        return metricsSocket.error();
    this->metricsListener = std::make_unique<TcpAcceptor>(std::move(metricsSocket.value()),
                                                          onMonitoring);
    QObject::connect(QAbstractEventDispatcher::instance(), &QAbstractEventDispatcher::awake,
                     &this->ticker, [this] {
                         ++this->metrics.wakeUps;
                         this->openedInPass = 0;
                     });
    QObject::connect(&this->sliceTimer, &QTimer::timeout, [this] { this->serveUnread(); });
    QObject::connect(&this->ticker, &QTimer::timeout, [this] { this->tick(); });
    this->ticker.setTimerType(Qt::PreciseTimer);
    this->ticker.start(std::chrono::duration_cast<std::chrono::milliseconds>(tickInterval));
    return boost::outcome_v2::success();
}

void Proxy::run(Actions &actions)
{
    // Exchange handlers are never called from within start(), so the loops add no actions.
    for (const CancelAttempt &cancel : actions.cancels) {
        const auto found = this->open.find(cancel.request);
        if (found != this->open.end() && std::exchange(found->second.isAtUpstream, false))
            this->connections.cancel(found->second.exchange);
    }
    for (const Refuse &refusal : actions.refusals)
        this->refuse(refusal);
    for (const Dispatch &toSend : actions.dispatches)
        this->dispatch(toSend);
    for (const Endpoint &upstream : actions.closeIdle)
        this->connections.closeIdle(upstream);
    for (const Forward &toSend : actions.forwards)
        this->forward(toSend);
    for (const OrderEngine &toGive : actions.orders)
        this->order(toGive);
    for (const QueryReport &ask : actions.reports)
        this->requestReport(ask);
    for (const ProbeUpstream &toProbe : actions.probes)
        this->probe(toProbe);
    const Instant now = monotonicNow();
    for (const SendGossip &message : actions.gossip) {
        const std::size_t bytes = this->gossip->send(message, now);
        countSent(this->core.counters.sent, message.kind, message.isToOtherZone, bytes);
    }
    for (const LogEvent &note : actions.logEvents) {
        std::vector<LogField> fields;
        for (const auto &[key, value] : note.fields)
            fields.push_back({ key, value });
        writeLog(LogLevel::Info, note.event, fields);
    }
    actions = {};
}

void Proxy::tick()
{
    if (this->onTick)
        this->onTick();
    const Instant now = monotonicNow();
    this->core.isOverloaded = now < this->overloadedUntil;
    this->applyLimits();
    Actions actions;
    gateway::tick(this->core, now, actions);
    this->run(actions);
    this->httpCalls.cancelOverdue(now);
    this->probes.endOverdue(now);
    this->connections.closeExpired(now);
    this->watchPausedCallers();
    this->watchPausedUpstreams();
    this->closeTimedOutCallers(now);
    this->logUnservedCallers(now);
    flushLog();
    if (isStopping(this->core))
        this->continueStop(now);
}

void Proxy::stop()
{
    if (isStopping(this->core))
        return;
    writeLog(LogLevel::Info, "stop_asked",
             { { "open_requests", std::to_string(this->open.size()) } });
    Actions actions;
    beginStop(this->core, monotonicNow(), actions);
    this->run(actions);
}

void Proxy::continueStop(Instant now)
{
    const Span waited = now - this->core.stopAskedAt;
    if (waited < loadBalancerDelay)
        return;
    for (const auto &[id, session] : this->sessions)
        session->close(!session->hasBegun());
    const bool isLast = waited >= this->settings.self.stopGrace - exitMargin;
    const bool isSettled = this->open.empty() && this->unread.waiting.empty()
            && !this->isAnyAnswerUnsent() && waited >= loadBalancerDelay + loadBalancerDelay / 3;
    if (!isLast && !isSettled)
        return;
    writeLog(LogLevel::Info, "stopped", { { "open_requests", std::to_string(this->open.size()) } });
    Actions actions;
    endAllRequests(this->core, actions);
    this->run(actions);
    flushLog();
    QCoreApplication::quit();
}

/// Whether this host still holds bytes of an answer that its caller has not taken.
bool Proxy::isAnyAnswerUnsent() const
{
    return std::any_of(this->sessions.begin(), this->sessions.end(),
                       [](const auto &entry) { return entry.second->unsentBytes() > 0; });
}

void Proxy::acceptMonitoring(UniqueFd descriptor)
{
    // The oldest goes: a request for monitoring is answered as soon as it is read.
    if (this->monitoringSessions.size() >= this->maxConnections.monitoring)
        this->monitoringSessions.erase(this->monitoringSessions.begin());
    const SessionId id = this->nextSession++;
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, id] {
        this->answerMonitoring(id);
    };
    handlers.onBadRequest = [this, id](const Error &error) {
        const int status = infoOf(error.code).httpStatus;
        this->monitoringSessions.at(id)->answer(status, reasonPhrase(status), {}, {},
                                                monotonicNow());
    };
    handlers.onDisconnected = [] {
    };
    handlers.onDrained = [] {
    };
    std::unique_ptr<CallerConnection> &session = this->monitoringSessions[id];
    session = std::make_unique<CallerConnection>(std::move(descriptor), monitoringLimits,
                                                 std::move(handlers), monotonicNow());
    session->setAnsweredAtOnce();
}

void Proxy::answerMonitoring(SessionId id)
{
    CallerConnection &session = *this->monitoringSessions.at(id);
    const Instant now = monotonicNow();
    if (session.request().target.ends_with("/metrics")) {
        this->metrics.connectionFaults = TcpStream::faultCount();
        this->metrics.oversizedCallAnswers = this->httpCalls.oversizedAnswers();
        this->metrics.callerMemoryHeld = this->callerMemory.held;
        this->metrics.callerMemoryLimit = this->callerMemory.limit;
        this->metrics.callersUnread = this->unread.waiting.size();
        this->metrics.usualUnreadWait = this->unread.usualWait;
        session.answer(200, "OK", { { "Content-Type", "text/plain; version=0.0.4" } },
                       metricsText(this->core, this->metrics, this->connections.count(),
                                   this->sessions.size(), now),
                       now);
        return;
    }
    const int status = isReady(this->core) ? 200 : 503;
    session.answer(status, status == 200 ? "OK" : "Service Unavailable", {}, {}, now);
}

} // namespace azurewell
