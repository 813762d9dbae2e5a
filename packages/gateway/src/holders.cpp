#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// News may miss once and come a little late.
constexpr double heartbeatsOfNews = 2.2;
constexpr Span shortestNewsLapse = std::chrono::milliseconds(1600);

const HostId &rankedHolder(GatewayState &state, const Upstream &engine, Instant now)
{
    HolderCache::Entry &entry = state.holders.entries[engine.listed.id];
    const std::uint64_t generation = state.members.generation;
    if (entry.generation != generation || entry.zone != engine.listed.zone)
        entry = { generation, engine.listed.zone, presumedHolder(engine, state.members, now) };
    return entry.holder;
}

} // namespace

bool isOwnEngine(GatewayState &state, const Upstream &engine, Instant now)
{
    return rankedHolder(state, engine, now) == state.self.id;
}

HostId askedHolder(GatewayState &state, const Upstream &engine, Instant now)
{
    const HostId &ranked = rankedHolder(state, engine, now);
    const bool isTold = ranked != state.self.id && !engine.toldBy.value.empty()
            && now - engine.toldAt < newsLapse(state, engine)
            && isAlive(state.members, engine.toldBy, now);
    return isTold ? engine.toldBy : ranked;
}

Span newsLapse(const GatewayState &state, const Upstream &engine)
{
    const HeartbeatPlan &plan = state.members.plan;
    const Span interval = engine.listed.zone == state.self.zone ? plan.inZone : plan.elsewhere;
    return std::max(shortestNewsLapse, fromSeconds(toSeconds(interval) * heartbeatsOfNews));
}

} // namespace azurewell::gateway
