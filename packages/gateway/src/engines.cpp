#include "engine_slots.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// A load that reports do not show within this time has failed.
constexpr Span loadTimeout = std::chrono::seconds(6);

/// Half-life of request counts of an adapter: demand shifts within seconds.
constexpr Span popularityHalfLife = std::chrono::seconds(5);

/// Maximum number of loads that wait at an engine for an idle adapter to evict. Requests run for
/// 0.3 s and more, so that a slot is free within a short time.
constexpr std::size_t maxWaitingForSlot = 2;

/// How long an adapter is kept for the requests that asked for its load, until the load is done.
constexpr Span awaitedLoadTimeout = std::chrono::seconds(2);

/// Maximum time between two polls of an engine that this host coordinates.
constexpr Span maxPollInterval = std::chrono::seconds(1);

/// When a report must show the effect of an unload that was ordered at \a ordered.
Instant unloadReportedAt(const OrderedEngine &engine, const AdapterRef &adapter, Instant ordered)
{
    const bool isGone = stateOf(engine, adapter) != AdapterState::Unloading;
    return ordered + (isGone ? reportLag : loadTimeout);
}

/// Removes unload orders whose effect reports must show by now.
void expireUnloads(OrderedEngine &engine, Instant now)
{
    std::erase_if(engine.unloadedAt, [&](const auto &entry) {
        return now >= unloadReportedAt(engine, entry.first, entry.second);
    });
}

/// Whether this host, the coordinator of \a engine, has work to do there at each tick.
bool hasWork(const Upstream &upstream, const OrderedEngine &engine)
{
    return !engine.rights.isCoordinating || countQueued(engine.wanted) > 0
            || upstream.engine.models.empty();
}

/// When an engine has to be polled next, unless an event there comes first.
Instant nextPollAt(const GatewayState &state, const Upstream &upstream, const OrderedEngine &engine,
                   bool isOwn, Instant now)
{
    if (isOwn && hasWork(upstream, engine))
        return now + tickInterval;
    Instant next = reportDueAt(state, upstream, engine, isOwn);
    if (isOwn)
        next = std::min(next, now + maxPollInterval);
    if (upstream.usableUntil > now)
        next = std::min(next, upstream.usableUntil);
    for (const auto &[adapter, at] : engine.unloadedAt)
        next = std::min(next, unloadReportedAt(engine, adapter, at));
    return std::max(next, now + tickInterval);
}

/// Logs and counts that this host has stopped ordering at an engine.
void logOrderingEnd(GatewayState &state, const UpstreamId &id, OrderedEngine &engine,
                    Actions &actions)
{
    const std::optional<OrderingEnd> end = std::exchange(engine.rights.end, std::nullopt);
    if (!end)
        return;
    ++state.counters.orderingEnds[*end];
    actions.logEvents.push_back({ "engine_ordering_ended",
                                  { { "engine", id.value },
                                    { "reason", std::string(nameOf(*end)) },
                                    { "orders", std::to_string(engine.rights.expectedOrders) },
                                    { "fencing", std::to_string(engine.rights.fencing.value) } } });
}

void pollEngine(GatewayState &state, Upstream &upstream, Instant now, Actions &actions)
{
    ++state.counters.enginePolls;
    const UpstreamId &id = upstream.listed.id;
    const EngineLimits *limits = limitsOf(state, upstream);
    if (!limits || now >= upstream.usableUntil || isStatedLeaving(upstream)) {
        state.ownEngines.erase(id);
        state.enginePolls.bringForward(id, now + maxPollInterval);
        return;
    }
    OrderedEngine &engine = state.engines[id];
    engine.adapters.slots = limits->maxLoadedAdapters;
    engine.adapters.popularityHalfLife = popularityHalfLife;
    expireUnloads(engine, now);
    const bool isOwn = isOwnEngine(state, upstream, now);
    queryReport(state, upstream, engine, isOwn, now, actions);
    if (isOwn) {
        state.ownEngines.insert(id);
        giveOrders(state, upstream, engine, now, actions);
    } else {
        state.ownEngines.erase(id);
        clearQueue(engine.wanted);
        endOrdering(engine.rights, OrderingEnd::OutOfRank);
    }
    logOrderingEnd(state, id, engine, actions);
    state.enginePolls.bringForward(id, nextPollAt(state, upstream, engine, isOwn, now));
}

} // namespace

const EngineLimits *limitsOf(const GatewayState &state, const Upstream &upstream)
{
    const Service *service = findService(state.configuration, upstream.listed.service);
    return service && service->engine ? &*service->engine : nullptr;
}

bool isInHostMemory(const OrderedEngine &engine, const AdapterRef &ref)
{
    return std::find(engine.adaptersInHostMemory.begin(), engine.adaptersInHostMemory.end(), ref)
            != engine.adaptersInHostMemory.end();
}

bool isUsed(const GatewayState &state, const OrderedEngine &engine, const UpstreamId &id,
            const AdapterRef &ref, Instant now)
{
    const auto own = state.ownUses.find({ id, nameOf(ref) });
    const bool isUsedHere = own != state.ownUses.end() && own->second.running > 0;
    const auto awaited = engine.awaitedUntil.find(ref);
    const bool isAwaited = awaited != engine.awaitedUntil.end() && now < awaited->second;
    return isUsedHere || isAwaited || isUsedElsewhere(engine.remoteUses, ref, now);
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

void applyAdapterEvent(const GatewayState &state, OrderedEngine &engine, const AdapterRef &ref,
                       AdapterEvent event, Instant now)
{
    applyEvent(engine.adapters, state.charts.adapter, ref, event, now);
}

AdapterRef refOf(const ModelName &name)
{
    return AdapterRef{ name.model + "/" + name.adapter };
}

void recordUse(GatewayState &state, const UpstreamId &engine, const ModelName &adapter, Instant now)
{
    beginUse(state.ownUses, { engine, adapter });
    OrderedEngine &ordered = state.engines[engine];
    const AdapterRef ref = refOf(adapter);
    ordered.awaitedUntil.erase(ref);
    recordServed(ordered.wanted, adapter);
    if (stateOf(ordered, ref) == AdapterState::Loaded)
        recordUses(ordered.adapters, ref, 1, now);
}

namespace {

/// Slots that are empty, or whose adapter no request uses.
std::size_t countUnusedSlots(const GatewayState &state, const OrderedEngine &engine,
                             const UpstreamId &id, Instant now)
{
    const auto used = std::count_if(engine.adapters.adapters.begin(),
                                    engine.adapters.adapters.end(), [&](const auto &entry) {
                                        const AdapterState adapterState = entry.second.state;
                                        return adapterState == AdapterState::Loading
                                                || (adapterState == AdapterState::Loaded
                                                    && isUsed(state, engine, id, entry.first, now));
                                    });
    const std::size_t slots = engine.adapters.slots;
    return slots - std::min(slots, static_cast<std::size_t>(used));
}

} // namespace

LoadProspect enqueueLoad(GatewayState &state, const LoadRequest &request, Instant now)
{
    const auto upstream = state.upstreams.find(request.engine);
    OrderedEngine &engine = state.engines[request.engine];
    const bool isOwn = upstream != state.upstreams.end() && !isStatedLeaving(upstream->second)
            && isOwnEngine(state, upstream->second, now);
    const AdapterRef ref = refOf(request.adapter);
    const AdapterState adapterState = stateOf(engine, ref);
    if (isOwn)
        engine.awaitedUntil[ref] = now
                + (adapterState == AdapterState::Loaded ? firstUseTimeout : awaitedLoadTimeout);
    if (isOwn && (adapterState == AdapterState::Loading || adapterState == AdapterState::Loaded))
        return LoadProspect::Coming;
    if (!isOwn || !engine.rights.isCoordinating)
        return LoadProspect::Unavailable;
    recordLoadRequest(engine.wanted, request.adapter, now);
    const bool isInMemory = isInHostMemory(engine, ref);
    const bool isStoreBusy = !isInMemory && isStoreFull(state, now)
            && isStoreQueueFull(state, request.adapter.model);
    // A busy store takes a further load only in place of another one.
    const std::size_t maxLength = isStoreBusy
            ? std::max<std::size_t>(countQueued(engine.wanted), 1)
            : countUnusedSlots(state, engine, request.engine, now) + maxWaitingForSlot;
    if (!enqueue(engine.wanted, request.adapter, maxLength, now))
        return isStoreBusy ? LoadProspect::StoreBusy : LoadProspect::Unavailable;
    wakeEngine(state, request.engine);
    return LoadProspect::Coming;
}

void wakeEngine(GatewayState &state, const UpstreamId &engine)
{
    state.enginePolls.bringForward(engine, Instant{});
}

void wakeEngines(GatewayState &state)
{
    for (const auto &[id, upstream] : state.upstreams)
        wakeEngine(state, id);
}

void pollEngines(GatewayState &state, Instant now, Actions &actions)
{
    if (std::exchange(state.enginePollsGeneration, state.members.generation)
        != state.members.generation)
        wakeEngines(state);
    std::vector<UpstreamId> due;
    while (std::optional<UpstreamId> id = state.enginePolls.takeDue(now))
        due.push_back(std::move(*id));
    for (const UpstreamId &id : due) {
        const auto found = state.upstreams.find(id);
        if (found != state.upstreams.end())
            pollEngine(state, found->second, now, actions);
    }
}

} // namespace azurewell::gateway
