#include "azurewell/gateway/zone_evacuation.h"

#include "azurewell/gateway/warmup.h"
#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// From the decision to send a request until it has reached its upstream: a connection may have to
/// be opened first.
constexpr Span sendingTime = std::chrono::milliseconds(600);

std::size_t updateUpstreamsOf(GatewayState &state, const ZoneId &zone)
{
    std::size_t count = 0;
    for (auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.zone != zone)
            continue;
        applyEvacuations(state.evacuations, upstream);
        wakeEngine(state, id);
        ++count;
    }
    return count;
}

void logEvacuation(const char *event, const ZoneId &zone, std::size_t upstreams, Actions &actions)
{
    actions.logEvents.push_back(
            { event, { { "zone", zone.value }, { "upstreams", std::to_string(upstreams) } } });
}

} // namespace

Span evacuationGrace(Span timeout, Span propagationTimeout)
{
    return std::max(timeout - propagationTimeout - sendingTime, Span{});
}

void applyEvacuations(const ZoneEvacuations &evacuations, Upstream &upstream)
{
    const auto found = evacuations.closesAt.find(upstream.listed.zone);
    upstream.zoneClosesAt = found == evacuations.closesAt.end() ? never : found->second;
}

void beginEvacuation(GatewayState &state, const ZoneId &zone, Instant now, Actions &actions)
{
    // A host that has just started learns of evacuations of any age.
    const bool isNewHost = now - state.startedAt < state.self.propagationTimeout;
    const Span grace = isNewHost
            ? Span{}
            : evacuationGrace(state.self.evacuationTimeout, state.self.propagationTimeout);
    const bool isNew = state.evacuations.closesAt.try_emplace(zone, now + grace).second;
    if (isNew)
        logEvacuation("zone_evacuated", zone, updateUpstreamsOf(state, zone), actions);
}

void endEvacuation(GatewayState &state, const ZoneId &zone, Instant now, Actions &actions)
{
    if (state.evacuations.closesAt.erase(zone) == 0)
        return;
    for (auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.zone == zone)
            markColdFromNow(state, upstream, now);
    }
    logEvacuation("zone_back_in_use", zone, updateUpstreamsOf(state, zone), actions);
}

} // namespace azurewell::gateway
