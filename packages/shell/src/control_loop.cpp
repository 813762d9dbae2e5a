#include "azurewell/shell/control_loop.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"
#include "azurewell/shell/show_record.h"

#include <nlohmann/json.hpp>

namespace azurewell {

/// Executes one action.
struct ControlLoop::ActionExecutor
{
    ControlLoop &loop;

    void operator()(const Refuse &refusal) const
    {
        recordEnd(this->loop.metrics, refusal.request, monotonicNow());
        this->loop.sendToWorker(refusal.request, refusal);
        this->loop.workerByRequest.erase(refusal.request);
    }
    void operator()(const Dispatch &dispatch) const
    {
        if (dispatch.attempt == 1)
            recordDispatch(this->loop.metrics, dispatch.request, monotonicNow());
        this->loop.sendToWorker(dispatch.request, dispatch);
    }
    void operator()(const CancelAttempt &cancel) const
    {
        this->loop.sendToWorker(cancel.request, cancel);
        this->loop.engines.cancel(cancel);
    }
    /// The store holds the recorded answers of earlier calls.
    void operator()(const AnswerFromStore &answer) const
    {
        this->sendFinalResponse(answer.request, answer);
    }
    /// Call numbers identify non-idempotent calls.
    void operator()(const AnswerCallNumbers &answer) const
    {
        this->sendFinalResponse(answer.request, answer);
    }
    void sendFinalResponse(const RequestId &request, const TrafficOrder &order) const
    {
        recordEnd(this->loop.metrics, request, monotonicNow());
        this->loop.sendToWorker(request, order);
        this->loop.workerByRequest.erase(request);
    }
    void operator()(const SendPeer &message) const
    {
        this->loop.peers.send(message.to, message.address, message.body);
    }
    /// Sends an order to load or unload an adapter.
    void operator()(const OrderEngine &order) const
    {
        this->loop.engines.order(order);
    }
    void operator()(const QueryLoadReport &query) const
    {
        this->loop.engines.queryLoad(query);
    }
    /// A ticket is a numbered change of the configuration.
    void operator()(const TicketProcessed &ticket) const
    {
        const LogLevel level = ticket.isInForce ? LogLevel::Info : LogLevel::Error;
        writeLog(
                level, ticket.isInForce ? "ticket_in_force" : "ticket_refused",
                { { "ticket", std::to_string(ticket.number.value) }, { "detail", ticket.detail } });
    }
    void operator()(const ExitProcess &) const
    {
        this->loop.finishWorkers();
    }
};

ControlLoop::ControlLoop(Settings hostSettings, KnownCharts charts, std::function<void()> stopped)
    : settings(std::move(hostSettings))
    , state(makeHost(this->settings.self, std::move(charts)))
    , onStopped(std::move(stopped))
    , peers(this->settings, this->metrics.peerLinks,
            [this](const PeerMessage &message) {
                this->handleEvent(PeerMessageReceived{ message });
            })
    , platform(
              this->settings, [this] { return this->state.inForce.ticket; },
              [this](TicketNumber number) { return ticketReadDelay(this->state, number); },
              [this](const Event &event) { this->handleEvent(event); })
    , engines([this](const Event &event) { this->handleEvent(event); })
    , operations([this](const QString &path) { return this->handleOperationsRequest(path); })
{
    QObject::connect(&this->tickTimer, &QTimer::timeout, this,
                     [this] { this->handleEvent(Tick{}); });
}

ControlLoop::~ControlLoop()
{
    for (Worker &worker : this->workers) {
        worker.thread->quit();
        worker.thread->wait();
    }
}

Result<std::uint16_t> ControlLoop::startWorker(std::uint32_t number)
{
    Worker worker;
    worker.thread = std::make_unique<QThread>();
    worker.traffic = new TrafficWorker(this->settings, number,
                                       [this, number](TrafficReport message) {
                                           QMetaObject::invokeMethod(
                                                   this,
                                                   [this, number, message = std::move(message)] {
                                                       this->handleReport(number, message);
                                                   },
                                                   Qt::QueuedConnection);
                                       });
    worker.traffic->moveToThread(worker.thread.get());
    QObject::connect(worker.thread.get(), &QThread::finished, worker.traffic,
                     &QObject::deleteLater);
    worker.thread->start();
    Result<std::uint16_t> port = Error{};
    TrafficWorker *traffic = worker.traffic;
    QMetaObject::invokeMethod(
            traffic, [traffic, &port] { port = traffic->start(); }, Qt::BlockingQueuedConnection);
    this->workers.push_back(std::move(worker));
    return port;
}

Result<std::uint16_t> ControlLoop::start()
{
    Result<std::uint16_t> port = this->peers.listen();
    if (port)
        port = this->operations.start(this->settings.operations);
    for (std::uint32_t number = 0; port && number < this->settings.trafficThreads; ++number)
        port = this->startWorker(number);
    if (!port)
        return port;
    this->platform.start();
    this->tickTimer.start(static_cast<int>(toSeconds(tickInterval) * 1000));
    writeLog(LogLevel::Info, "started",
             { { "zone", this->settings.self.zone.value },
               { "incarnation", std::to_string(this->settings.self.incarnation.value) } });
    return port;
}

void ControlLoop::stop()
{
    writeLog(LogLevel::Info, "stop_asked", {});
    for (const Worker &worker : this->workers) {
        TrafficWorker *traffic = worker.traffic;
        QMetaObject::invokeMethod(
                traffic, [traffic] { traffic->drain(); }, Qt::QueuedConnection);
    }
    this->handleEvent(StopAsked{ this->settings.drainGrace });
}

void ControlLoop::finishWorkers()
{
    this->unfinishedWorkers = this->workers.size();
    for (const Worker &worker : this->workers) {
        TrafficWorker *traffic = worker.traffic;
        const auto finished = [this] {
            QMetaObject::invokeMethod(
                    this, [this] { this->workerFinished(); }, Qt::QueuedConnection);
        };
        QMetaObject::invokeMethod(
                traffic, [traffic, finished] { traffic->finish(finished); }, Qt::QueuedConnection);
    }
}

void ControlLoop::workerFinished()
{
    --this->unfinishedWorkers;
    if (this->unfinishedWorkers == 0)
        this->onStopped();
}

void ControlLoop::handleEvent(const Event &event)
{
    std::vector<Action> actions;
    handle(this->state, event, monotonicNow(), actions);
    this->executeActions(actions);
}

void ControlLoop::executeActions(const std::vector<Action> &actions)
{
    for (const Action &action : actions)
        std::visit(ActionExecutor{ *this }, action);
}

void ControlLoop::handleReport(std::uint32_t worker, const TrafficReport &report)
{
    if (const LocalRefusal *refused = std::get_if<LocalRefusal>(&report)) {
        countRefusal(this->state.counters, refused->code);
        return;
    }
    if (const auto *progressReports = std::get_if<std::vector<AttemptProgress>>(&report)) {
        for (const AttemptProgress &progress : *progressReports)
            this->handleEvent(progress);
        return;
    }
    const Event &event = std::get<Event>(report);
    if (const RequestArrived *arrived = std::get_if<RequestArrived>(&event)) {
        this->workerByRequest[arrived->request] = worker;
        recordArrival(this->metrics, arrived->request, monotonicNow());
    }
    this->handleEvent(event);
    const AttemptEnded *ended = std::get_if<AttemptEnded>(&event);
    if (ended && ended->outcome == AttemptOutcome::Done) {
        recordEnd(this->metrics, ended->request, monotonicNow());
        this->workerByRequest.erase(ended->request);
    }
    if (const CallerDisconnected *left = std::get_if<CallerDisconnected>(&event)) {
        recordEnd(this->metrics, left->request, monotonicNow());
        this->workerByRequest.erase(left->request);
    }
}

void ControlLoop::sendToWorker(const RequestId &request, const TrafficOrder &order)
{
    const auto found = this->workerByRequest.find(request);
    if (found == this->workerByRequest.end())
        return;
    TrafficWorker *traffic = this->workers[found->second].traffic;
    QMetaObject::invokeMethod(
            traffic, [traffic, order] { traffic->executeOrder(order); }, Qt::QueuedConnection);
}

std::optional<OperationsAnswer> ControlLoop::handleOperationsRequest(const QString &path) const
{
    if (path == "/healthz")
        return OperationsAnswer{ 200, "text/plain", "ok\n" };
    if (path == "/readyz") {
        const bool isReady = this->state.process == ProcessState::Serving
                && !isWithoutUpdates(this->state, monotonicNow());
        const std::size_t index = static_cast<std::size_t>(this->state.process);
        return OperationsAnswer{ isReady ? 200 : 503, "text/plain",
                                 QByteArray::fromStdString(this->state.charts.process.states[index])
                                         + "\n" };
    }
    if (path == "/metrics")
        return OperationsAnswer{ 200, "text/plain; version=0.0.4",
                                 QByteArray::fromStdString(
                                         metricsText(this->state, this->metrics)) };
    if (path.startsWith("/show/")) {
        const std::string recordPath = path.mid(static_cast<qsizetype>(6)).toStdString();
        const std::optional<std::string> text = showRecord(this->state.inForce, recordPath);
        if (text)
            return OperationsAnswer{ 200, "application/json", QByteArray::fromStdString(*text) };
    }
    if (path == "/show")
        return OperationsAnswer{ 200, "application/json", this->showText() };
    return std::nullopt;
}

QByteArray ControlLoop::showText() const
{
    const StateInForce &inForce = this->state.inForce;
    nlohmann::json json;
    json["host"] = this->state.self.id.value;
    json["zone"] = this->state.self.zone.value;
    json["ticket"] = inForce.ticket.value; // the newest in force
    const TicketState &tickets = this->state.tickets;
    if (tickets.refused.value > 0) // later tickets are blocked by it
        json["refused_ticket"] = { { "ticket", tickets.refused.value },
                                   { "why", tickets.rejectionReason } };
    json["longest_without_news"] = toSeconds(inForce.fleet.maxUpdateAge);
    json["customers"] = nlohmann::json::array();
    // rate: tokens per second over all hosts; burst: tokens at once; ticket: the one that set the
    // record
    for (const auto &[id, customer] : inForce.customers) {
        json["customers"].push_back({ { "id", id.value },
                                      { "rate", customer.rate.perSecond },
                                      { "burst", customer.burst.count },
                                      { "weight", customer.weight },
                                      { "ticket", customer.ticket.value } });
    }
    json["upstreams"] = nlohmann::json::array();
    for (const auto &[id, upstream] : inForce.upstreams)
        json["upstreams"].push_back({ { "id", id.value },
                                      { "address", upstream.address },
                                      { "ticket", upstream.ticket.value } });
    json["counts"] = { { "adapters", inForce.adapters.size() }, { "keys", inForce.keys.size() } };
    json["history"] = nlohmann::json::array();
    for (const TicketSummary &entry : inForce.history)
        json["history"].push_back(
                { { "ticket", entry.number.value }, { "by", entry.by }, { "why", entry.why } });
    json["peers"] = nlohmann::json::array();
    for (const auto &[id, peer] : this->state.membership.peers) {
        const std::size_t index = static_cast<std::size_t>(peer.state);
        json["peers"].push_back({ { "id", id.value },
                                  { "zone", peer.zone.value },
                                  { "state", peerStateNames[index] },
                                  { "ticket", peer.ticket.value } });
    }
    return QByteArray::fromStdString(json.dump(2) + "\n");
}

} // namespace azurewell
