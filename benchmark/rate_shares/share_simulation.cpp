#include "share_simulation.h"

#include "azurewell/fleet/codec.h"
#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <utility>

namespace azurewell {

namespace {

constexpr Span tickLength = fromSeconds(0.01);
constexpr Span warmUp = fromSeconds(10);
constexpr Span waitTimeout = fromSeconds(2); // the host's limit for waiting for tokens
constexpr Span tokenTime = fromSeconds(0.029);
constexpr std::int64_t maxGenerated = 256;
constexpr std::int64_t tokensPerChunk = 16; ///< Tokens generated between two events of a stream.

std::uint64_t seatWeight(const CustomerId &customer, const SeatId &seat)
{
    return rendezvousWeight(customer.value,
                            seat.zone.value + '/' + std::to_string(seat.number.value));
}

enum class EventKind : std::uint8_t { Arrival, Tick, Message, Chunk };

struct SimulationEvent
{
    Instant at;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Tick;
    std::size_t index = 0; ///< Index of the host, customer, message or request.

    bool operator<(const SimulationEvent &other) const
    {
        return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
};

struct SimulatedRequest
{
    RequestId id;
    std::size_t customer = 0;
    std::size_t host = 0;
    Instant arrivedAt;
    std::int64_t prompt = 0;
    std::int64_t generated = 0; ///< Tokens that the engine will generate.
    std::int64_t reserved = 0;
    std::int64_t processed = 0; ///< Prompt and generated tokens so far.
};

struct InFlight
{
    std::size_t to = 0;
    HostIncarnation sender;
    ShareBody body;
};

/// Maximum of used tokens minus rate x window over all windows that end at `at`.
struct WindowMeter
{
    double excess = 0;
    double worst = 0;
    Instant at;
};

struct Simulation
{
    const ShareScenario &scenario;
    std::mt19937_64 random; ///< For message delays.
    std::vector<std::mt19937_64>
            arrivals; ///< One for each customer, so that all policies get the same requests.
    Instant now{ 0 };
    std::priority_queue<SimulationEvent> events;
    std::uint64_t order = 0;
    std::vector<RateShares> hosts;
    std::vector<CustomerId> ids;
    std::vector<std::vector<std::deque<std::size_t>>>
            waiting; ///< Request indices by host and customer.
    std::deque<SimulatedRequest> requests;
    std::vector<InFlight> messages;
    std::vector<std::size_t> freeMessages; ///< Unused slots of `messages`.
    std::vector<WindowMeter> meters;
    std::vector<std::vector<std::int64_t>> recent; ///< Generated lengths of each customer.
    std::vector<double> waits;
    ShareOutcome outcome;
    double usedAboveRate = 0;
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;

    explicit Simulation(const ShareScenario &simulated)
        : scenario(simulated)
        , random(simulated.seed)
    {
    }
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }
    double uniformOf(std::size_t customer)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->arrivals[customer]);
    }
    void schedule(Instant at, EventKind kind, std::size_t index)
    {
        this->events.push(SimulationEvent{ at, ++this->order, kind, index });
    }
    bool isMeasured() const
    {
        return this->now >= Instant{ 0 } + warmUp;
    }
};

ShareSettings settingsFor(const ShareScenario &scenario)
{
    ShareSettings settings;
    settings.maxFractionPerBorrower = scenario.maxFractionPerBorrower;
    settings.layout.maxOwners = scenario.maxOwners;
    settings.reachableTimeout = fromSeconds(1e6); // heartbeats are not simulated
    if (scenario.policy == SharePolicy::StaticSplit) {
        settings.layout = LayoutSettings{ UINT32_MAX, 1 };
        settings.faults.forgetsFormerLoans = true; // no host lends
    }
    if (scenario.policy == SharePolicy::OneOwner)
        settings.layout.maxOwners = 1;
    return settings;
}

void makeHosts(Simulation &simulation)
{
    const ShareScenario &scenario = simulation.scenario;
    const bool isCentral = scenario.policy == SharePolicy::Central;
    ZoneSeats zones;
    std::vector<SeatId> seats;
    for (std::size_t zone = 0; zone < scenario.zoneSeats.size(); ++zone) {
        const ZoneId id{ "zone-" + std::to_string(zone) };
        zones[id] = scenario.zoneSeats[zone];
        for (std::uint32_t number = 0; number < scenario.zoneSeats[zone]; ++number)
            seats.push_back(SeatId{ id, SeatNumber{ number } });
    }
    if (isCentral)
        zones = { { seats.front().zone, 1 } };
    std::vector<ShareTerms> terms;
    for (std::size_t index = 0; index < scenario.customers.size(); ++index) {
        simulation.ids.emplace_back("customer-" + std::to_string(index));
        simulation.arrivals.emplace_back(scenario.seed * 1000 + index);
        const SimulatedCustomer &customer = scenario.customers[index];
        terms.push_back(
                ShareTerms{ simulation.ids[index], customer.ratePerSecond, customer.burst });
    }
    for (const SeatId &seat : seats) {
        const HostIncarnation life{ HostId{ std::to_string(simulation.hosts.size()) },
                                    Incarnation{ 1 } };
        simulation.hosts.push_back(makeRateShares(seat, life, &seatWeight, settingsFor(scenario)));
        setTerms(simulation.hosts.back(), TicketNumber{ 1 }, zones, terms, simulation.now);
    }
    for (RateShares &host : simulation.hosts) {
        for (const RateShares &other : simulation.hosts) {
            if (&host != &other && scenario.policy >= SharePolicy::OneOwner)
                recordContact(host, other.seat, other.self, simulation.now);
        }
    }
    simulation.waiting.assign(seats.size(),
                              std::vector<std::deque<std::size_t>>(scenario.customers.size()));
    simulation.meters.resize(scenario.customers.size());
    simulation.recent.resize(scenario.customers.size());
}

/// Returns the rate shares that admit requests at \a host.
RateShares &sharesFor(Simulation &simulation, std::size_t host)
{
    const bool isCentral = simulation.scenario.policy == SharePolicy::Central;
    return simulation.hosts[isCentral ? 0 : host];
}

PeerBody peerBodyOf(const ShareBody &body)
{
    return std::visit([](const auto &message) { return PeerBody(message); }, body);
}

void sendAll(Simulation &simulation, std::size_t from, const std::vector<ShareOutgoing> &out)
{
    const RateShares &sender = simulation.hosts[from];
    for (const ShareOutgoing &message : out) {
        const std::size_t to = std::stoul(message.to.value);
        const bool isNear = simulation.hosts[to].seat.zone == sender.seat.zone;
        const double oneWay = isNear ? 1e-4 : toSeconds(simulation.scenario.zoneDelay);
        const Span delay = fromSeconds(oneWay * (1 + simulation.uniform()));
        if (simulation.freeMessages.empty()) {
            simulation.freeMessages.push_back(simulation.messages.size());
            simulation.messages.emplace_back();
        }
        const std::size_t slot = simulation.freeMessages.back();
        simulation.freeMessages.pop_back();
        simulation.messages[slot] = InFlight{ to, sender.self, message.body };
        simulation.schedule(simulation.now + delay, EventKind::Message, slot);
        if (!simulation.isMeasured())
            continue;
        ++simulation.sent;
        simulation.sentBytes += encodeFrame(PeerMessage{ sender.self.host, sender.self.incarnation,
                                                         peerBodyOf(message.body) })
                                        .size();
    }
}

void recordUsage(Simulation &simulation, const SimulatedRequest &request, std::int64_t tokens)
{
    const SimulatedCustomer &customer = simulation.scenario.customers[request.customer];
    WindowMeter &meter = simulation.meters[request.customer];
    const double elapsed = toSeconds(simulation.now - meter.at);
    meter.excess = std::max(0.0, meter.excess - elapsed * customer.ratePerSecond);
    meter.at = simulation.now;
    meter.excess += static_cast<double>(tokens);
    meter.worst = std::max(meter.worst, (meter.excess - customer.burst) / customer.burst);
    if (customer.offered > 1 && simulation.isMeasured())
        simulation.usedAboveRate += static_cast<double>(tokens);
}

void processTokens(Simulation &simulation, SimulatedRequest &request, std::int64_t tokens)
{
    request.processed += tokens;
    settle(sharesFor(simulation, request.host), request.id, Tokens{ tokens }, simulation.now);
    recordUsage(simulation, request, tokens);
}

bool tryStart(Simulation &simulation, std::size_t index)
{
    SimulatedRequest &request = simulation.requests[index];
    if (!reserve(sharesFor(simulation, request.host), request.id, simulation.ids[request.customer],
                 Tokens{ request.reserved }, simulation.now))
        return false;
    const bool isWithinRate = simulation.scenario.customers[request.customer].offered <= 1;
    if (isWithinRate && simulation.isMeasured())
        simulation.waits.push_back(toSeconds(simulation.now - request.arrivedAt));
    processTokens(simulation, request, request.prompt);
    simulation.schedule(simulation.now + tokenTime * tokensPerChunk, EventKind::Chunk, index);
    return true;
}

void recordRefusal(Simulation &simulation, const SimulatedRequest &request)
{
    if (!simulation.isMeasured())
        return;
    const bool isWithinRate = simulation.scenario.customers[request.customer].offered <= 1;
    ++(isWithinRate ? simulation.outcome.refusedWithinRate : simulation.outcome.refusedAboveRate);
}

Tokens waitingTokens(const Simulation &simulation, std::size_t host, std::size_t customer)
{
    Tokens waiting;
    for (const std::size_t index : simulation.waiting[host][customer])
        waiting += Tokens{ simulation.requests[index].reserved };
    return waiting;
}

void requestLoans(Simulation &simulation, std::size_t host, std::size_t customer)
{
    std::vector<ShareOutgoing> out;
    requestTokens(sharesFor(simulation, host), simulation.ids[customer],
                  waitingTokens(simulation, host, customer), simulation.now, out);
    sendAll(simulation, host, out);
}

void admitWaiting(Simulation &simulation, std::size_t host, std::size_t customer)
{
    std::deque<std::size_t> &queue = simulation.waiting[host][customer];
    if (queue.empty())
        return;
    while (!queue.empty() && tryStart(simulation, queue.front()))
        queue.pop_front();
    while (!queue.empty()
           && simulation.now - simulation.requests[queue.front()].arrivedAt >= waitTimeout) {
        recordRefusal(simulation, simulation.requests[queue.front()]);
        queue.pop_front();
    }
    requestLoans(simulation, host, customer);
}

std::size_t chooseHost(Simulation &simulation, std::size_t customer)
{
    const std::size_t count = simulation.hosts.size();
    if (simulation.scenario.pattern == BalancerPattern::OneHost) {
        const std::size_t period = static_cast<std::size_t>(
                                           toSeconds(simulation.now - Instant{ 0 }))
                / 10;
        return stableHash(std::to_string(customer) + "/" + std::to_string(period)) % count;
    }
    const std::size_t favoured = std::max<std::size_t>(1, count / 3);
    const double weight = 3.0 * static_cast<double>(favoured)
            + static_cast<double>(count - favoured);
    const double point = simulation.uniformOf(customer) * weight;
    const double border = 3.0 * static_cast<double>(favoured);
    return point < border ? static_cast<std::size_t>(point / 3.0)
                          : favoured + static_cast<std::size_t>(point - border);
}

/// Returns the number of tokens to reserve for the generated part of a request.
std::int64_t reservedLength(Simulation &simulation, std::size_t customer)
{
    std::vector<std::int64_t> lengths = simulation.recent[customer];
    if (simulation.scenario.reservedQuantile >= 1 || lengths.size() < 50)
        return maxGenerated;
    const auto position = lengths.begin()
            + static_cast<std::ptrdiff_t>(simulation.scenario.reservedQuantile
                                          * static_cast<double>(lengths.size() - 1));
    std::nth_element(lengths.begin(), position, lengths.end());
    return *position;
}

constexpr double meanRequestTokens = 250 + 130;

/// Shares start empty and fill up in the four seconds of the burst.
constexpr Span firstArrival = fromSeconds(5);

void scheduleArrival(Simulation &simulation, std::size_t customer)
{
    const SimulatedCustomer &source = simulation.scenario.customers[customer];
    const double perSecond = source.offered * source.ratePerSecond / meanRequestTokens;
    const double gap = std::exponential_distribution<double>(perSecond)(
            simulation.arrivals[customer]);
    const Instant from = std::max(simulation.now, Instant{ 0 } + firstArrival);
    simulation.schedule(from + fromSeconds(gap), EventKind::Arrival, customer);
}

void onArrival(Simulation &simulation, std::size_t customer)
{
    scheduleArrival(simulation, customer);
    SimulatedRequest request;
    request.id = RequestId{ std::to_string(simulation.requests.size()) };
    request.customer = customer;
    request.host = chooseHost(simulation, customer);
    request.arrivedAt = simulation.now;
    request.prompt = 50 + static_cast<std::int64_t>(simulation.uniformOf(customer) * 400);
    const double drawn = std::lognormal_distribution<double>(4.7,
                                                             0.7)(simulation.arrivals[customer]);
    request.generated = std::clamp<std::int64_t>(static_cast<std::int64_t>(drawn), 1, maxGenerated);
    request.reserved = request.prompt + reservedLength(simulation, customer);
    const bool isWithinRate = simulation.scenario.customers[customer].offered <= 1;
    if (simulation.isMeasured())
        ++(isWithinRate ? simulation.outcome.withinRate : simulation.outcome.aboveRate);
    const std::size_t host = request.host;
    simulation.requests.push_back(request);
    std::deque<std::size_t> &queue = simulation.waiting[host][customer];
    if (queue.empty() && tryStart(simulation, simulation.requests.size() - 1))
        return;
    RateShares &shares = sharesFor(simulation, host);
    const Instant expected = expectedAt(shares, simulation.ids[customer],
                                        Tokens{ request.reserved }, simulation.now);
    if (expected > simulation.now + waitTimeout) {
        recordRefusal(simulation, request);
        return;
    }
    queue.push_back(simulation.requests.size() - 1);
    requestLoans(simulation, host, customer);
}

void onChunk(Simulation &simulation, std::size_t index)
{
    SimulatedRequest &request = simulation.requests[index];
    const std::int64_t remaining = request.prompt + request.generated - request.processed;
    processTokens(simulation, request, std::min(remaining, tokensPerChunk));
    if (remaining > tokensPerChunk) {
        simulation.schedule(simulation.now + tokenTime * tokensPerChunk, EventKind::Chunk, index);
        return;
    }
    release(sharesFor(simulation, request.host), request.id, simulation.now);
    std::vector<std::int64_t> &recent = simulation.recent[request.customer];
    if (recent.size() >= 200)
        recent.erase(recent.begin());
    recent.push_back(request.generated);
}

void onTick(Simulation &simulation, std::size_t host)
{
    std::vector<ShareOutgoing> out;
    pollShares(simulation.hosts[host], simulation.now, out);
    sendAll(simulation, host, out);
    for (std::size_t customer = 0; customer < simulation.ids.size(); ++customer)
        admitWaiting(simulation, host, customer);
    simulation.schedule(simulation.now + tickLength, EventKind::Tick, host);
}

void onMessage(Simulation &simulation, std::size_t index)
{
    const InFlight message = std::exchange(simulation.messages[index], InFlight{});
    simulation.freeMessages.push_back(index);
    std::vector<ShareOutgoing> out;
    const std::optional<CustomerId> funded = onShareMessage(
            simulation.hosts[message.to], message.sender, message.body, simulation.now, out);
    sendAll(simulation, message.to, out);
    if (funded)
        admitWaiting(simulation, message.to, std::stoul(funded->value.substr(9)));
}

void finish(Simulation &simulation)
{
    ShareOutcome &outcome = simulation.outcome;
    const double seconds = toSeconds(simulation.scenario.length - warmUp);
    const double nodes = static_cast<double>(simulation.hosts.size());
    outcome.messagesPerSecondPerNode = static_cast<double>(simulation.sent) / seconds / nodes;
    outcome.bytesPerSecondPerNode = static_cast<double>(simulation.sentBytes) / seconds / nodes;
    double rateOfAbove = 0;
    for (std::size_t index = 0; index < simulation.meters.size(); ++index) {
        outcome.worstExcess = std::max(outcome.worstExcess, simulation.meters[index].worst);
        const SimulatedCustomer &customer = simulation.scenario.customers[index];
        rateOfAbove += customer.offered > 1 ? customer.ratePerSecond : 0;
    }
    outcome.usedAboveRate = rateOfAbove > 0 ? simulation.usedAboveRate / (rateOfAbove * seconds)
                                            : 0;
    std::sort(simulation.waits.begin(), simulation.waits.end());
    if (!simulation.waits.empty())
        outcome.waitP99 = simulation.waits[simulation.waits.size() * 99 / 100];
}

} // namespace

ShareOutcome simulate(const ShareScenario &scenario)
{
    Simulation simulation(scenario);
    makeHosts(simulation);
    for (std::size_t host = 0; host < simulation.hosts.size(); ++host)
        simulation.schedule(simulation.now + fromSeconds(0.01 * simulation.uniform()),
                            EventKind::Tick, host);
    for (std::size_t customer = 0; customer < scenario.customers.size(); ++customer)
        scheduleArrival(simulation, customer);
    while (simulation.events.top().at < Instant{ 0 } + scenario.length) {
        const SimulationEvent event = simulation.events.top();
        simulation.events.pop();
        simulation.now = event.at;
        switch (event.kind) {
        case EventKind::Arrival:
            onArrival(simulation, event.index);
            break;
        case EventKind::Tick:
            onTick(simulation, event.index);
            break;
        case EventKind::Message:
            onMessage(simulation, event.index);
            break;
        case EventKind::Chunk:
            onChunk(simulation, event.index);
            break;
        }
    }
    finish(simulation);
    return simulation.outcome;
}

} // namespace azurewell
