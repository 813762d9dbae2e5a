#include "world.h"

#include <fmt/format.h>

#include <array>

namespace azurewell::faults {

namespace {

enum class Fault : std::uint8_t {
    Pause,
    Replace,
    PartitionZone,
    PartitionFromPlatform,
    RestartEngine,
    FailLoads,
    UnreliableMessages,
    HideHost,
    SlowOrders,
    StalePlatform,
    PlannedStop,
    UpstreamLeaves,
    TicketChange,
};
constexpr std::size_t faultCount = 13;
constexpr std::array<const char *, faultCount> faultNames{
    "pause",          "replace",        "partition zone",      "partition from platform",
    "restart engine", "fail loads",     "unreliable messages", "hide host",
    "slow orders",    "stale platform", "planned stop",        "upstream leaves",
    "ticket change"
};
/// Probability in each step; a run of 600 steps has about 20 faults, most of them overlapping
/// another.
constexpr double faultChance = 0.035;

} // namespace

void World::injectFault()
{
    if (!this->chance(faultChance))
        return;
    SimHost &host = this->hosts[this->randomIndex(this->hosts.size())];
    Engine &engine = this->engines[this->randomIndex(this->engines.size())];
    const Instant until = this->now + this->randomSpan(0.5, 15);
    const std::size_t fault = this->randomIndex(faultCount);
    this->trace(fmt::format("fault {} at {} / {} for {:.1f} s", faultNames[fault], host.id.value,
                            engine.id.value, toSeconds(until - this->now)));
    switch (static_cast<Fault>(fault)) {
    case Fault::Pause:
        host.pausedUntil = until;
        break;
    case Fault::Replace:
        if (!host.isStopping)
            this->startHost(host);
        break;
    case Fault::PartitionZone:
        for (int zone = 0; zone <= zoneCount; ++zone) {
            if (zone != host.zoneIndex)
                this->partitionedUntil[std::minmax(host.zoneIndex, zone)] = until;
        }
        break;
    case Fault::PartitionFromPlatform:
        this->partitionedUntil[std::minmax(host.zoneIndex, zoneCount)] = until;
        break;
    case Fault::RestartEngine:
        engine.restart();
        break;
    case Fault::FailLoads:
        engine.failsLoadsUntil = until;
        break;
    case Fault::UnreliableMessages:
        this->unreliableUntil = until;
        break;
    case Fault::HideHost:
        host.hiddenFromList = this->hosts[this->randomIndex(this->hosts.size())].id;
        host.hiddenUntil = until + fromSeconds(15);
        break;
    case Fault::SlowOrders:
        this->slowOrdersUntil = until;
        break;
    case Fault::StalePlatform:
        this->stalePlatformUntil = until;
        break;
    case Fault::PlannedStop:
        if (host.isUp && !this->isPaused(host) && !host.isStopping) {
            host.isStopping = true;
            if (this->options.injectedBug == InjectedBug::ExitWithoutDraining)
                this->execute(host, ExitProcess{});
            else
                this->deliver(host, StopAsked{});
        }
        break;
    case Fault::UpstreamLeaves:
        if (this->leavingUpstreams.empty())
            this->leavingUpstreams.insert(engine.id);
        else
            this->leavingUpstreams.clear();
        break;
    case Fault::TicketChange:
        this->publishChange();
        break;
    }
}

void World::injectBug(SimHost &host)
{
    switch (this->options.injectedBug) {
    case InjectedBug::IgnorePins:
        for (auto &[id, kept] : host.state.coordinatedEngines) {
            for (auto &[ref, adapter] : kept.adapters.adapters)
                adapter.pins = 0;
        }
        break;
    case InjectedBug::KeepWithdrawnKey:
        for (auto &[hash, key] : host.state.inForce.keys)
            key.state = KeyState::Issued;
        break;
    case InjectedBug::RefillBuckets:
        for (auto &[id, shares] : host.state.shares.customers)
            shares.ownedShare.bucket.level = shares.ownedShare.bucket.burst;
        break;
    case InjectedBug::UseLeavingUpstreams:
        for (auto &[id, upstream] : host.state.upstreams)
            upstream.state = UpstreamState::Live;
        break;
    case InjectedBug::RevertToFirstTicket:
        if (host.initialState.ticket.value > 0 && this->chance(0.01))
            host.state.inForce = host.initialState;
        break;
    default:
        break;
    }
}

} // namespace azurewell::faults
