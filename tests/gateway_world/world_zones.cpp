#include "azurewell/gateway/zone_evacuation.h"
#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A host must know a confirmed change if it has run undisturbed for this long.
constexpr Span contactTime = std::chrono::seconds(4);

/// An entry about an upstream that is cold again reaches the hosts within this time.
constexpr Span maxEntryDelay = std::chrono::seconds(2);

constexpr Span coldWindow = std::chrono::seconds(1);

} // namespace

Span World::randomDelay(Span max)
{
    return fromSeconds(std::uniform_real_distribution<double>(0, toSeconds(max))(this->random));
}

void World::notifyHost(std::size_t index, Span delay,
                       const std::function<void(GatewayState &, Actions &)> &notify)
{
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    this->schedule(this->now + delay, [this, index, incarnation, notify] {
        if (!this->isIncarnationRunning(index, incarnation))
            return;
        const Instant wakesAt = this->hosts[index].pausedUntil;
        if (this->now < wakesAt) {
            this->notifyHost(index, wakesAt - this->now, notify);
            return;
        }
        Actions actions;
        notify(this->hosts[index].state, actions);
        this->applyActions(index, actions);
    });
}

void World::evacuateZone(std::size_t zone)
{
    const ZoneId id{ "z" + std::to_string(zone) };
    this->evacuatedAt[id] = this->now;
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        this->notifyHost(host, this->randomDelay(propagationTime),
                         [this, id](GatewayState &state, Actions &actions) {
                             if (this->evacuatedAt.contains(id))
                                 beginEvacuation(state, id, this->now, actions);
                         });
    }
}

void World::returnZone(std::size_t zone)
{
    const ZoneId id{ "z" + std::to_string(zone) };
    this->evacuatedAt.erase(id);
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
        if (this->engines[engine].zone == id)
            this->makeCold(engine);
    }
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        this->notifyHost(host, this->randomDelay(propagationTime),
                         [this, id](GatewayState &state, Actions &actions) {
                             endEvacuation(state, id, this->now, actions);
                         });
    }
}

void World::makeCold(std::size_t index)
{
    FakeEngine &engine = this->engines[index];
    engine.coldUntil = this->now + warmupTime;
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        this->notifyHost(host, this->randomDelay(maxEntryDelay),
                         [this, index](GatewayState &state, Actions &) {
                             listUpstream(state, this->listedOf(this->engines[index]), this->now);
                         });
    }
}

void World::recordZoneArrival(std::size_t host, FakeEngine &engine, bool isRun)
{
    if (isRun && this->now < engine.coldUntil)
        engine.coldArrivals.push_back(this->now);
    const auto evacuated = this->evacuatedAt.find(engine.zone);
    if (evacuated != this->evacuatedAt.end() && this->now > evacuated->second + evacuationTimeout
        && this->now >= this->hosts[host].stableSince + contactTime)
        ++this->arrivalsInEvacuatedZones;
}

std::size_t World::maxColdArrivals() const
{
    std::size_t most = 0;
    for (const FakeEngine &engine : this->engines) {
        const std::vector<Instant> &arrivals = engine.coldArrivals;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto end = std::find_if(first, arrivals.end(),
                                          [&](Instant at) { return at - *first >= coldWindow; });
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
    }
    return most;
}

} // namespace azurewell::gateway
