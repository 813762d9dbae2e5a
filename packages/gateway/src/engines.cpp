#include "engine_places.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// A load that does not show up in reports within this time has failed.
constexpr Span longestLoad = std::chrono::seconds(6);

/// Requests for an adapter count half after this time: demand moves within seconds.
constexpr Span popularityHalfLife = std::chrono::seconds(5);

/// Loads that wait at one engine until an adapter there is idle; requests run for 0.3 s and more,
/// so that one place or another is free within a moment.
constexpr std::size_t mostWaitingForPlace = 2;

/// A load is kept so long for requests that asked for it, until it is done.
constexpr Span longestAwait = std::chrono::seconds(2);

/// An engine at which this host orders is looked at this often though nothing is due there.
constexpr Span longestBetweenLooks = std::chrono::seconds(1);

/// When reports show at the latest what became of an unload that was ordered at \a ordered.
Instant unloadShownAt(const OrderedEngine &engine, const AdapterRef &adapter, Instant ordered)
{
    const bool isGone = stateOf(engine, adapter) != AdapterState::Unloading;
    return ordered + (isGone ? reportLag : longestLoad);
}

/// Unload orders that reports must show by now are forgotten.
void endUnloads(OrderedEngine &engine, Instant now)
{
    std::erase_if(engine.unloadedAt, [&](const auto &entry) {
        return now >= unloadShownAt(engine, entry.first, entry.second);
    });
}

/// Whether this host, which orders at \a engine, has something to do there at each tick.
bool hasWork(const Upstream &upstream, const OrderedEngine &engine)
{
    return !engine.rights.isHolding || !engine.wanted.empty() || upstream.engine.models.empty();
}

/// When something is due at an engine, if nothing happens there before.
Instant nextLookAt(const GatewayState &state, const Upstream &upstream, const OrderedEngine &engine,
                   bool isOwn, Instant now)
{
    if (isOwn && hasWork(upstream, engine))
        return now + tickInterval;
    Instant next = reportDueAt(state, upstream, engine, isOwn);
    if (isOwn)
        next = std::min(next, now + longestBetweenLooks);
    if (upstream.usableUntil > now)
        next = std::min(next, upstream.usableUntil);
    for (const auto &[adapter, at] : engine.unloadedAt)
        next = std::min(next, unloadShownAt(engine, adapter, at));
    return std::max(next, now + tickInterval);
}

void runEngine(GatewayState &state, Upstream &upstream, std::uint64_t wallMillis, Instant now,
               Actions &actions)
{
    ++state.counters.engineLooks;
    const UpstreamId &id = upstream.listed.id;
    const EngineLimits *limits = limitsOf(state, upstream);
    if (!limits || now >= upstream.usableUntil) {
        state.ownEngines.erase(id);
        state.engineLooks.bringForward(id, now + longestBetweenLooks);
        return;
    }
    OrderedEngine &engine = state.engines[id];
    engine.adapters.slots = limits->adapterPlaces;
    engine.adapters.popularityHalfLife = popularityHalfLife;
    endUnloads(engine, now);
    const bool isOwn = isOwnEngine(state, upstream, now);
    askReport(state, upstream, engine, isOwn, now, actions);
    if (isOwn) {
        state.ownEngines.insert(id);
        giveOrders(state, upstream, engine, wallMillis, now, actions);
    } else {
        state.ownEngines.erase(id);
        engine.wanted.clear();
    }
    state.engineLooks.bringForward(id, nextLookAt(state, upstream, engine, isOwn, now));
}

} // namespace

const EngineLimits *limitsOf(const GatewayState &state, const Upstream &upstream)
{
    const Service *service = findService(state.configuration, upstream.listed.service);
    return service && service->engine ? &*service->engine : nullptr;
}

bool isHeldLately(const OrderedEngine &engine, const AdapterRef &ref)
{
    return std::find(engine.heldLately.begin(), engine.heldLately.end(), ref)
            != engine.heldLately.end();
}

bool isUsed(const GatewayState &state, const OrderedEngine &engine, const UpstreamId &id,
            const AdapterRef &ref, Instant now)
{
    const auto own = state.ownUses.find({ id, nameOf(ref) });
    const bool isUsedHere = own != state.ownUses.end() && own->second.running > 0;
    const auto awaited = engine.awaitedUntil.find(ref);
    const bool isAwaited = awaited != engine.awaitedUntil.end() && now < awaited->second;
    return isUsedHere || isAwaited || isUsedElsewhere(engine.otherUses, ref, now);
}

ModelName nameOf(const AdapterRef &ref)
{
    const std::size_t slash = ref.value.find('/');
    return { ref.value.substr(0, slash), ref.value.substr(slash + 1) };
}

AdapterState stateOf(const OrderedEngine &engine, const AdapterRef &ref)
{
    const auto found = engine.adapters.adapters.find(ref);
    return found == engine.adapters.adapters.end() ? AdapterState::Absent : found->second.state;
}

void move(const GatewayState &state, OrderedEngine &engine, const AdapterRef &ref,
          AdapterEvent event, Instant now)
{
    applyEvent(engine.adapters, state.charts.adapter, ref, event, now);
}

AdapterRef refOf(const ModelName &name)
{
    return AdapterRef{ name.model + "/" + name.adapter };
}

void noteUse(GatewayState &state, const UpstreamId &engine, const ModelName &adapter, Instant now)
{
    beginUse(state.ownUses, { engine, adapter });
    OrderedEngine &ordered = state.engines[engine];
    const AdapterRef ref = refOf(adapter);
    ordered.awaitedUntil.erase(ref);
    if (stateOf(ordered, ref) == AdapterState::Loaded)
        noteUses(ordered.adapters, ref, 1, now);
}

LoadProspect wantLoad(GatewayState &state, const LoadRequest &request, Instant now)
{
    const auto upstream = state.upstreams.find(request.engine);
    OrderedEngine &engine = state.engines[request.engine];
    const bool isOwn = upstream != state.upstreams.end()
            && isOwnEngine(state, upstream->second, now);
    const AdapterRef ref = refOf(request.adapter);
    const AdapterState known = stateOf(engine, ref);
    if (isOwn)
        engine.awaitedUntil[ref] = now
                + (known == AdapterState::Loaded ? takenWithin : longestAwait);
    if (isOwn && (known == AdapterState::Loading || known == AdapterState::Loaded))
        return LoadProspect::Coming;
    const bool isListed = std::find(engine.wanted.begin(), engine.wanted.end(), request.adapter)
            != engine.wanted.end();
    if (isListed)
        return LoadProspect::Coming;
    if (!isOwn || !engine.rights.isHolding)
        return LoadProspect::NotHere;
    const bool isQuick = isHeldLately(engine, ref);
    const bool isStoreBusy = !isQuick && isStoreFull(state, now)
            && isStoreQueueFull(state, request.adapter.model);
    const PlacementStep step = makeRoom(engine.adapters, now, [&](const AdapterRef &held) {
        return isUsed(state, engine, request.engine, held, now);
    });
    const bool hasRoom = step.kind != PlacementStep::Kind::Nothing;
    if (!hasRoom && engine.wanted.size() >= mostWaitingForPlace)
        return LoadProspect::NotHere;
    if (isStoreBusy)
        return LoadProspect::StoreBusy;
    engine.wanted.push_back(request.adapter);
    wakeEngine(state, request.engine);
    return LoadProspect::Coming;
}

void wakeEngine(GatewayState &state, const UpstreamId &engine)
{
    state.engineLooks.bringForward(engine, Instant{});
}

void wakeEngines(GatewayState &state)
{
    for (const auto &[id, upstream] : state.upstreams)
        wakeEngine(state, id);
}

void runEngines(GatewayState &state, std::uint64_t wallMillis, Instant now, Actions &actions)
{
    if (std::exchange(state.engineLooksGeneration, state.members.generation)
        != state.members.generation)
        wakeEngines(state);
    std::vector<UpstreamId> due;
    while (std::optional<UpstreamId> id = state.engineLooks.takeDue(now))
        due.push_back(std::move(*id));
    for (const UpstreamId &id : due) {
        const auto found = state.upstreams.find(id);
        if (found != state.upstreams.end())
            runEngine(state, found->second, wallMillis, now, actions);
    }
}

} // namespace azurewell::gateway
