#include "world.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurewell::faults {

World::World(const Options &chosen)
    : options(chosen)
    , charts(loadKnownCharts(AZUREWELL_CHARTS_DIR).value())
    , random(chosen.seed)
    , now{ 1'000'000'000 }
{
    for (int index = 0; index < 2 * zoneCount; ++index) {
        Engine engine;
        engine.id = UpstreamId{ "e" + std::to_string(index) };
        engine.zone = ZoneId{ "z" + std::to_string(index % zoneCount) };
        engine.checksFencing = index < zoneCount;
        this->engines.push_back(engine);
    }
    this->publishInitialTicket();
    for (int index = 0; index < chosen.hosts; ++index) {
        SimHost host;
        host.id = HostId{ "h" + std::to_string(index) };
        host.zoneIndex = index % zoneCount;
        host.zone = ZoneId{ "z" + std::to_string(host.zoneIndex) };
        this->hosts.push_back(std::move(host));
    }
    for (SimHost &host : this->hosts)
        this->startHost(host);
}

bool World::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

Span World::randomSpan(double fromSecond, double toSecond)
{
    return fromSeconds(std::uniform_real_distribution<double>(fromSecond, toSecond)(this->random));
}

std::size_t World::randomIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

void World::schedule(Span delay, std::function<void()> run)
{
    this->scheduled.push(
            ScheduledCallback{ this->now + delay, this->nextSequenceNumber++, std::move(run) });
}

bool World::isPartitioned(int zoneA, int zoneB) const
{
    const auto found = this->partitionedUntil.find(std::minmax(zoneA, zoneB));
    return found != this->partitionedUntil.end() && found->second > this->now;
}

Instant World::clockOf(const SimHost &host) const
{
    const double passed = toSeconds(this->now - host.clockZero) * host.clockRate;
    return Instant{ 1 } + fromSeconds(passed);
}

bool World::isPaused(const SimHost &host) const
{
    return host.pausedUntil > this->now;
}

SimHost &World::findHost(const HostId &id)
{
    return *std::find_if(this->hosts.begin(), this->hosts.end(),
                         [&id](const SimHost &host) { return host.id == id; });
}

Engine *World::findEngine(const UpstreamId &id)
{
    const auto found = std::find_if(this->engines.begin(), this->engines.end(),
                                    [&id](const Engine &engine) { return engine.id == id; });
    return found == this->engines.end() ? nullptr : &*found;
}

void World::startHost(SimHost &host)
{
    HostIdentity self;
    self.id = host.id;
    self.zone = host.zone;
    self.seat = SeatNumber{ static_cast<std::uint32_t>((&host - this->hosts.data()) / zoneCount) };
    self.peerAddress = host.id.value;
    self.incarnation = Incarnation{ 1000 * this->nextIncarnation++ };
    self.randomSeed = this->random();
    this->trace(fmt::format("{} starts, incarnation {}", host.id.value, self.incarnation.value));
    host.state = makeHost(self, this->charts);
    host.isUp = true;
    host.isStopping = false;
    host.clockRate = 1 + (this->chance(0.5) ? 2e-4 : -2e-4);
    host.clockZero = this->now - this->randomSpan(0, 1000);
    host.pausedUntil = {};
    host.connectedSince = this->now;
    host.inbox.clear();
    host.nextPlatformRead = this->now;
    host.nextListRead = this->now;
    host.highestTicket = {};
    host.leavingSince.clear();
    host.initialState = {};
}

void World::deliver(SimHost &host, const Event &event)
{
    if (!host.isUp)
        return;
    if (this->isPaused(host)) {
        if (!std::holds_alternative<Tick>(event))
            host.inbox.push_back(event);
        return;
    }
    std::vector<Action> actions;
    handle(host.state, event, this->clockOf(host), actions);
    for (const Action &action : actions)
        this->execute(host, action);
    this->checkTickets(host);
}

void World::deliverToIncarnation(const HostId &id, Incarnation incarnation, const Event &event)
{
    SimHost &host = this->findHost(id);
    if (host.isUp && host.state.self.incarnation == incarnation)
        this->deliver(host, event);
}

void World::trace(const std::string &text) const
{
    if (this->options.isTraced)
        fmt::print("{:8.3f} step {}: {}\n", toSeconds(this->now - Instant{}) - 1000, this->step,
                   text);
}

void World::runStep()
{
    const Instant until = this->now + stepLength;
    while (!this->scheduled.empty() && this->scheduled.top().at <= until) {
        const ScheduledCallback next = this->scheduled.top();
        this->scheduled.pop();
        this->now = next.at;
        next.run();
    }
    this->now = until;
    for (SimHost &host : this->hosts) {
        if (!host.isUp)
            continue;
        if (this->isPartitioned(host.zoneIndex, zoneCount) || this->isPaused(host))
            host.connectedSince = this->now;
        if (this->isPaused(host))
            continue;
        this->injectBug(host);
        // A process that resumes may handle its timers before its sockets, or after.
        if (this->chance(0.5))
            this->deliver(host, Tick{});
        std::deque<Event> waiting = std::exchange(host.inbox, {});
        for (const Event &event : waiting)
            this->deliver(host, event);
        this->readPlatform(host);
        this->readList(host);
        this->deliver(host, Tick{});
    }
    this->makeTokens();
    this->sendRequests();
    if (this->options.hasFaults)
        this->injectFault();
}

std::optional<std::string> World::run()
{
    for (this->step = 0; this->step < this->options.steps; ++this->step) {
        this->runStep();
        if (this->checks.failure)
            return "seed " + std::to_string(this->options.seed) + " step "
                    + std::to_string(this->step) + ": " + *this->checks.failure;
    }
    return std::nullopt;
}

} // namespace azurewell::faults
