#include "internal.h"

namespace azurewell::gateway {

namespace {

/// Interval at which a load request to another host is repeated, as messages may be lost.
constexpr Span loadRequestInterval = std::chrono::milliseconds(150);

/// Time after which another engine is asked for a load that is not done. A load may wait a second
/// or two for a request that occupies its slot. With a shorter time a second engine would load the
/// same adapter and evict another one that is needed again a moment later. A lost host is noticed
/// within this time, and an engine without a free slot refuses at once.
constexpr Span otherEngineDelay = std::chrono::milliseconds(2000);

/// After this number of engines without a slot for an adapter, the request is refused at once: the
/// fleet has no slot, and asking further engines would only use up the request's time.
constexpr std::size_t maxEnginesAsked = 8;

} // namespace

LoadProspect requestLoad(GatewayState &state, const ModelName &adapter, const UpstreamNeed &need,
                         Instant now, Actions &actions)
{
    AwaitedLoad &awaited = state.awaitedLoads[adapter];
    const auto engineEntry = state.upstreams.find(awaited.engine);
    const bool isGone = engineEntry == state.upstreams.end() || !isUsable(engineEntry->second, now);
    if (isGone || now >= awaited.otherEngineAt) {
        // The coordinator may be lost before any host has noticed it.
        if (!isGone && !engineEntry->second.engine.isLoading(adapter))
            awaited.refusedBy.insert(awaited.engine);
        if (awaited.refusedBy.size() >= maxEnginesAsked) {
            state.awaitedLoads.erase(adapter);
            return LoadProspect::Unavailable;
        }
        UpstreamNeed otherNeed = need;
        otherNeed.excluded.insert(awaited.refusedBy.begin(), awaited.refusedBy.end());
        const Service *service = findService(state.configuration, need.service);
        const Upstream *engine = chooseEngineToLoad(
                state.upstreams, otherNeed, state.lastEngines,
                service->engine ? service->engine->maxLoadedAdapters : 0, now);
        if (!engine) {
            state.awaitedLoads.erase(adapter);
            return LoadProspect::Unavailable;
        }
        awaited.engine = engine->listed.id;
        awaited.otherEngineAt = now + otherEngineDelay;
        awaited.resendAt = now;
    }
    if (now < awaited.resendAt)
        return LoadProspect::Coming;
    awaited.resendAt = now + loadRequestInterval;
    const Upstream &engine = state.upstreams.at(awaited.engine);
    if (engine.engine.isLoading(adapter))
        return LoadProspect::Coming;
    const LoadRequest request{ awaited.engine, adapter };
    const HostId coordinator = coordinatorOf(state, engine, now);
    if (coordinator == state.self.id) {
        const LoadProspect prospect = enqueueLoad(state, request, now);
        if (prospect == LoadProspect::Unavailable) {
            awaited.refusedBy.insert(awaited.engine);
            awaited.otherEngineAt = now;
            return LoadProspect::Coming;
        }
        if (prospect == LoadProspect::StoreBusy)
            state.awaitedLoads.erase(adapter);
        return prospect;
    }
    Gossip message = messageHeader(state, now);
    message.loadRequests.push_back(request);
    sendTo(state, coordinator, MessageKind::LoadRequest, std::move(message), actions);
    return LoadProspect::Coming;
}

void sendAdapterUses(GatewayState &state, const Upstream &engine, Instant now, Actions &actions)
{
    const HostId coordinator = coordinatorOf(state, engine, now);
    if (coordinator == state.self.id)
        return;
    Gossip message = messageHeader(state, now);
    message.adapterUses = takeUnreported(state.ownUses, engine.listed.id);
    sendTo(state, coordinator, MessageKind::AdapterUses, std::move(message), actions);
}

} // namespace azurewell::gateway
