#include "internal.h"

namespace azurewell::gateway {

namespace {

/// A word to another host is repeated after this time: it may be lost.
constexpr Span askAgain = std::chrono::milliseconds(150);

/// Another engine is asked when the load has not come by then. A load may wait for a request to end
/// that keeps its place, a second or two; asked sooner, a second engine brings the same adapter and
/// evicts another one for it, which is loaded again a moment later. A host that is lost is noticed
/// within this time, and an engine that has no place says so at once.
constexpr Span otherEngineAfter = std::chrono::milliseconds(2000);

/// Where so many engines have no place for an adapter the fleet has none: the request is refused
/// at once instead of being passed from engine to engine until it has waited for too long.
constexpr std::size_t mostEnginesAsked = 8;

} // namespace

LoadProspect awaitLoad(GatewayState &state, const ModelName &adapter, const UpstreamNeed &need,
                       Instant now, Actions &actions)
{
    AwaitedLoad &awaited = state.awaitedLoads[adapter];
    const auto present = state.upstreams.find(awaited.engine);
    const bool isGone = present == state.upstreams.end() || !isUsable(present->second, now);
    if (isGone || now >= awaited.otherEngineAt) {
        // The host that orders there may be lost, and nobody have noticed yet.
        if (!isGone && !present->second.engine.isLoading(adapter))
            awaited.refusedBy.insert(awaited.engine);
        if (awaited.refusedBy.size() >= mostEnginesAsked) {
            state.awaitedLoads.erase(adapter);
            return LoadProspect::NotHere;
        }
        UpstreamNeed other = need;
        other.excluded.insert(awaited.refusedBy.begin(), awaited.refusedBy.end());
        const Service *service = findService(state.configuration, need.service);
        const Upstream *engine = chooseEngineToLoad(
                state.upstreams, other, state.lastHolders,
                service->engine ? service->engine->adapterPlaces : 0, now);
        if (!engine) {
            state.awaitedLoads.erase(adapter);
            return LoadProspect::NotHere;
        }
        awaited.engine = engine->listed.id;
        awaited.otherEngineAt = now + otherEngineAfter;
        awaited.askAgainAt = now;
    }
    if (now < awaited.askAgainAt)
        return LoadProspect::Coming;
    awaited.askAgainAt = now + askAgain;
    const Upstream &engine = state.upstreams.at(awaited.engine);
    if (engine.engine.isLoading(adapter))
        return LoadProspect::Coming;
    const LoadRequest request{ awaited.engine, adapter };
    const HostId holder = askedHolder(state, engine, now);
    if (holder == state.self.id) {
        const LoadProspect prospect = wantLoad(state, request, now);
        if (prospect == LoadProspect::NotHere) {
            awaited.refusedBy.insert(awaited.engine);
            awaited.otherEngineAt = now;
            return LoadProspect::Coming;
        }
        if (prospect == LoadProspect::StoreBusy)
            state.awaitedLoads.erase(adapter);
        return prospect;
    }
    Gossip message = blankGossip(state, now);
    message.loadRequests.push_back(request);
    sendTo(state, holder, MessageKind::LoadRequest, std::move(message), actions);
    return LoadProspect::Coming;
}

void tellUse(GatewayState &state, const Upstream &engine, Instant now, Actions &actions)
{
    const HostId holder = askedHolder(state, engine, now);
    if (holder == state.self.id)
        return;
    Gossip message = blankGossip(state, now);
    message.adapterUses = takeUntold(state.ownUses, engine.listed.id);
    sendTo(state, holder, MessageKind::AdapterUses, std::move(message), actions);
}

} // namespace azurewell::gateway
