#include "fleet_model.h"

#include "azurewell/fleet/codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace azurewell::capacity {

namespace {

constexpr Span networkDelay = fromSeconds(0.001);
constexpr Span loadDuration = fromSeconds(0.25);
constexpr Span answerDuration = fromSeconds(3);
constexpr std::uint32_t adapterSlots = 8;

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

KeyHash keyOf(std::uint32_t customer)
{
    return KeyHash{ fmt::format("{:064x}", customer) };
}

std::string adapterName(std::uint32_t adapter)
{
    return fmt::format("adapter-{:06}@1", adapter);
}

std::string zoneName(std::uint32_t zone)
{
    return fmt::format("zone-{}", zone);
}

std::string engineName(std::uint32_t engine)
{
    return fmt::format("engine-{:04}", engine);
}

} // namespace

bool FleetModel::LaterFirst::operator()(const ScheduledEvent &a, const ScheduledEvent &b) const
{
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
}

FleetModel::FleetModel(FleetOptions fleetOptions)
    : options(std::move(fleetOptions))
    , random(options.seed)
{
    this->makeHosts();
    this->publishFirstTicket();
}

void FleetModel::makeHosts()
{
    const KnownCharts charts = loadKnownCharts(this->options.chartsDirectory).value();
    HostListRead list;
    for (std::uint32_t index = 0; index < this->options.hosts; ++index) {
        HostIdentity identity;
        identity.id = HostId{ fmt::format("entry-{:03}", index) };
        identity.zone = ZoneId{ zoneName(index % this->options.zones) };
        identity.seat = SeatNumber{ index / this->options.zones };
        identity.peerAddress = fmt::format("10.0.{}.{}:7070", index / 250, index % 250);
        identity.incarnation = Incarnation{ 1'796'254'609'541ULL + index };
        identity.randomSeed = index;
        this->indexOf[identity.id] = index;
        list.hosts.push_back(ListedHost{ identity.id, identity.zone, identity.peerAddress, false });
        this->hosts.push_back(makeHost(identity, charts));
    }
    for (std::uint32_t index = 0; index < this->options.hosts; ++index)
        this->deliver(index, list);
}

void FleetModel::publishFirstTicket()
{
    std::string text = R"({"ticket":1,"by":"capacity","why":"first","set":{"zones":[)";
    const std::uint32_t seats = (this->options.hosts + this->options.zones - 1)
            / this->options.zones;
    for (std::uint32_t zone = 0; zone < this->options.zones; ++zone)
        text += fmt::format(R"({}{{"id":"{}","seats":{}}})", zone ? "," : "", zoneName(zone),
                            seats);
    text += R"(],"customers":[)";
    for (std::uint32_t customer = 0; customer < this->options.customers; ++customer)
        text += fmt::format(R"({}{{"id":"c{}","rate":1000000000,"burst":1000000000}})",
                            customer ? "," : "", customer);
    text += R"(],"keys":[)";
    for (std::uint32_t customer = 0; customer < this->options.customers; ++customer)
        text += fmt::format(R"({}{{"sha256":"{}","customer":"c{}","state":"issued"}})",
                            customer ? "," : "", keyOf(customer).value, customer);
    text += R"(],"adapters":[)";
    for (std::uint32_t adapter = 0; adapter < this->options.adapters; ++adapter)
        text += fmt::format(R"({}{{"adapter":"{}","customer":"c{}","base":"m{}"}})",
                            adapter ? "," : "", adapterName(adapter),
                            adapter % this->options.customers, adapter % 7);
    text += R"(],"upstreams":[)";
    const std::uint32_t engines = this->options.hosts * this->options.enginesPerHost;
    for (std::uint32_t engine = 0; engine < engines; ++engine)
        text += fmt::format(
                R"({}{{"id":"{}","kind":"engine","zone":"{}","address":"10.1.{}.{}:8000","base":"m{}",)"
                R"("batch_slots":16,"adapter_slots":{}}})",
                engine ? "," : "", engineName(engine), zoneName(engine % this->options.zones),
                engine / 250, engine % 250, engine % 7, adapterSlots);
    text += "]}}";
    for (std::uint32_t index = 0; index < this->options.hosts; ++index)
        this->deliver(index, TicketRead{ text });
}

/// Publishes a changed customer to one host of each zone, as if these hosts watched the platform.
void FleetModel::publishNextTicket()
{
    ++this->newestTicket;
    const std::uint64_t customer = this->newestTicket % this->options.customers;
    const std::string text = fmt::format(
            R"({{"ticket":{},"by":"capacity","why":"rate","set":{{"customers":[{{"id":"c{}","rate":1000000000,"burst":1000000000}}]}}}})",
            this->newestTicket, customer);
    for (std::uint32_t zone = 0; zone < this->options.zones; ++zone)
        this->schedule(networkDelay, zone, TicketRead{ text });
    this->ticketPublished = this->now;
    this->isTicketPending = true;
}

void FleetModel::schedule(Span delay, std::uint32_t host, Event event)
{
    this->scheduledEvents.push(
            ScheduledEvent{ this->now + delay, this->nextSequence++, host, std::move(event) });
}

void FleetModel::deliver(std::uint32_t host, const Event &event)
{
    std::vector<Action> actions;
    const double before = processorSeconds();
    handle(this->hosts[host], event, this->now, actions);
    if (this->isMeasuring)
        this->busySeconds += processorSeconds() - before;
    for (const Action &action : actions)
        this->execute(host, action);
}

void FleetModel::execute(std::uint32_t host, const Action &action)
{
    if (const SendPeer *message = std::get_if<SendPeer>(&action)) {
        const PeerMessage envelope{ this->hosts[host].self.id, this->hosts[host].self.incarnation,
                                    message->body };
        if (this->isMeasuring) {
            const double before = processorSeconds();
            const std::string frame = encodeFrame(envelope);
            const Result<PeerMessage> decoded = decodePayload(
                    std::string_view(frame).substr(frameHeaderBytes));
            this->busySeconds += processorSeconds() - before;
            this->total.bytesPerSecond += static_cast<double>(frame.size());
            this->total.messagesPerSecond += decoded ? 1 : 0;
            this->total.bytesByKind[message->body.index()] += static_cast<double>(frame.size());
        }
        this->schedule(networkDelay, this->indexOf.at(message->to),
                       PeerMessageReceived{ envelope });
    } else if (const OrderEngine *order = std::get_if<OrderEngine>(&action)) {
        std::vector<AdapterRef> &adapters = this->loadedAdapters[order->engine];
        std::erase(adapters, order->adapter);
        if (order->isLoad)
            adapters.push_back(order->adapter);
        this->schedule(
                order->isLoad ? loadDuration : networkDelay, host,
                OrderEnded{
                        order->engine, order->adapter, order->isLoad, true, order->fencing, {} });
    } else if (const QueryLoadReport *query = std::get_if<QueryLoadReport>(&action)) {
        LoadReported report;
        report.engine = query->engine;
        report.loaded = this->loadedAdapters[query->engine];
        report.engineStart = 1;
        report.queriedAt = query->queriedAt;
        this->schedule(networkDelay, host, report);
    } else if (const Dispatch *dispatch = std::get_if<Dispatch>(&action)) {
        this->total.requestsPerSecond += this->isMeasuring ? 1 : 0;
        this->schedule(answerDuration, host,
                       AttemptEnded{ dispatch->request, dispatch->attempt, AttemptOutcome::Done,
                                     Tokens{ 200 }, true });
    }
}

void FleetModel::sendRequests()
{
    this->requestCredit += this->options.requestsPerHost * this->options.hosts
            * toSeconds(tickInterval);
    std::uniform_int_distribution<std::uint32_t> anyHost(0, this->options.hosts - 1);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    for (; this->requestCredit >= 1; this->requestCredit -= 1) {
        // Zipf distribution with exponent 1 by inverse transform: ln(rank) is uniform.
        const double rank = std::exp(uniform(this->random)
                                     * std::log(static_cast<double>(this->options.adapters)));
        const std::uint32_t adapter = std::min(this->options.adapters - 1,
                                               static_cast<std::uint32_t>(rank) - 1);
        RequestArrived request;
        request.request = RequestId{ fmt::format("entry-000-1796254609541-0-{}",
                                                 this->nextRequest++) };
        request.key = keyOf(adapter % this->options.customers);
        request.adapter = AdapterRef{ adapterName(adapter) };
        request.promptTokens = Tokens{ 100 };
        request.maxGenerated = Tokens{ 256 };
        request.deadline = this->now + fromSeconds(60);
        this->deliver(anyHost(this->random), request);
    }
}

void FleetModel::recordPropagation()
{
    if (!this->isTicketPending)
        return;
    const bool isEverywhere = std::all_of(
            this->hosts.begin(), this->hosts.end(), [this](const HostState &host) {
                return host.inForce.ticket.value >= this->newestTicket;
            });
    if (!isEverywhere)
        return;
    this->isTicketPending = false;
    this->total.worstTicketSeconds = std::max(this->total.worstTicketSeconds,
                                              toSeconds(this->now - this->ticketPublished));
}

void FleetModel::step()
{
    this->now = this->now + tickInterval;
    while (!this->scheduledEvents.empty() && this->scheduledEvents.top().at <= this->now) {
        const ScheduledEvent next = this->scheduledEvents.top();
        this->scheduledEvents.pop();
        this->deliver(next.host, next.event);
    }
    for (std::uint32_t index = 0; index < this->options.hosts; ++index)
        this->deliver(index, Tick{});
    this->sendRequests();
    this->ticketCredit += this->options.ticketsPerSecond * toSeconds(tickInterval);
    if (this->isMeasuring && this->ticketCredit >= 1 && !this->isTicketPending) {
        this->ticketCredit = 0;
        this->publishNextTicket();
    }
    this->recordPropagation();
}

NodeCost FleetModel::run()
{
    const Instant start = this->now;
    while (this->now < start + fromSeconds(this->options.warmUpSeconds))
        this->step();
    this->isMeasuring = true;
    const Instant measured = this->now;
    while (this->now < measured + fromSeconds(this->options.seconds))
        this->step();
    NodeCost cost = this->total;
    const double nodeSeconds = this->options.seconds * this->options.hosts;
    cost.messagesPerSecond /= nodeSeconds;
    cost.bytesPerSecond /= nodeSeconds;
    cost.requestsPerSecond /= nodeSeconds;
    cost.coreShare = this->busySeconds / nodeSeconds;
    for (double &bytes : cost.bytesByKind)
        bytes /= nodeSeconds;
    return cost;
}

} // namespace azurewell::capacity
