#include "world.h"

#include <fmt/format.h>

#include <array>

namespace azurewell::faults {

namespace {

enum class Fault : std::uint8_t {
    Pause,
    Replace,
    CutZone,
    CutFromPlatform,
    RestartEngine,
    FailLoads,
    Messy,
    HideHost,
    SlowOrders,
    StalePlatform,
    PlannedStop,
    UpstreamLeaves,
    TicketChange,
};
constexpr std::size_t faultCount = 13;
constexpr std::array<const char *, faultCount> faultNames{
    "pause",        "replace",         "cut zone",  "cut from platform", "restart engine",
    "fail loads",   "messy",           "hide host", "slow orders",       "stale platform",
    "planned stop", "upstream leaves", "ticket"
};
/// In each step; a trial of 600 steps meets about 20, most of them overlapping another.
constexpr double faultChance = 0.035;

} // namespace

void World::disturb()
{
    if (!this->chance(faultChance))
        return;
    SimHost &host = this->hosts[this->pick(this->hosts.size())];
    Engine &engine = this->engines[this->pick(this->engines.size())];
    const Instant until = this->now + this->between(0.5, 15);
    const std::size_t fault = this->pick(faultCount);
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
    case Fault::CutZone:
        for (int zone = 0; zone <= zoneCount; ++zone) {
            if (zone != host.zoneIndex)
                this->cutUntil[std::minmax(host.zoneIndex, zone)] = until;
        }
        break;
    case Fault::CutFromPlatform:
        this->cutUntil[std::minmax(host.zoneIndex, zoneCount)] = until;
        break;
    case Fault::RestartEngine:
        engine.restart();
        break;
    case Fault::FailLoads:
        engine.failsLoadsUntil = until;
        break;
    case Fault::Messy:
        this->messyUntil = until;
        break;
    case Fault::HideHost:
        host.hiddenFromList = this->hosts[this->pick(this->hosts.size())].id;
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
            if (this->options.sabotage == Sabotage::LeaveAtOnce)
                this->carryOut(host, LeaveProcess{});
            else
                this->give(host, StopAsked{});
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

void World::sabotageHost(SimHost &host)
{
    switch (this->options.sabotage) {
    case Sabotage::IgnorePins:
        for (auto &[id, kept] : host.state.kept) {
            for (auto &[ref, adapter] : kept.adapters.adapters)
                adapter.pins = 0;
        }
        break;
    case Sabotage::KeepWithdrawnKey:
        for (auto &[hash, key] : host.state.inForce.keys)
            key.state = KeyState::Issued;
        break;
    case Sabotage::FreeTokens:
        for (auto &[id, shares] : host.state.shares.customers)
            shares.part.bucket.level = shares.part.bucket.burst;
        break;
    case Sabotage::UseLeaving:
        for (auto &[id, upstream] : host.state.upstreams)
            upstream.state = UpstreamState::Live;
        break;
    case Sabotage::OlderTicket:
        if (host.firstState.ticket.value > 0 && this->chance(0.01))
            host.state.inForce = host.firstState;
        break;
    default:
        break;
    }
}

} // namespace azurewell::faults
