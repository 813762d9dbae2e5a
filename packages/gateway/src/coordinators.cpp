#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Validity of an update in heartbeats: one may be lost and the next a little late.
constexpr double updateValidityHeartbeats = 2.2;
constexpr Span minUpdateValidity = std::chrono::milliseconds(1600);

const HostId &rankedCoordinator(GatewayState &state, const Upstream &engine, Instant now)
{
    CoordinatorCache::Entry &entry = state.coordinators.entries[engine.listed.id];
    const std::uint64_t generation = state.members.generation;
    if (entry.generation != generation || entry.zone != engine.listed.zone)
        entry = { generation, engine.listed.zone, presumedCoordinator(engine, state.members, now) };
    return entry.coordinator;
}

} // namespace

bool isOwnEngine(GatewayState &state, const Upstream &engine, Instant now)
{
    return rankedCoordinator(state, engine, now) == state.self.id;
}

HostId coordinatorOf(GatewayState &state, const Upstream &engine, Instant now)
{
    const HostId &ranked = rankedCoordinator(state, engine, now);
    const bool isUpdateRecent = ranked != state.self.id && !engine.updatedBy.value.empty()
            && now - engine.updatedAt < updateValidity(state, engine)
            && isAlive(state.members, engine.updatedBy, now);
    return isUpdateRecent ? engine.updatedBy : ranked;
}

Span updateValidity(const GatewayState &state, const Upstream &engine)
{
    const HeartbeatPlan &plan = state.members.plan;
    const Span interval = engine.listed.zone == state.self.zone ? plan.inZone : plan.inOtherZones;
    return std::max(minUpdateValidity, fromSeconds(toSeconds(interval) * updateValidityHeartbeats));
}

} // namespace azurewell::gateway
