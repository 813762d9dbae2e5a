#include "engine_slots.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Time from a load order to the first report query: answers of engines are 100 ms old.
constexpr Span firstReportDelay = std::chrono::milliseconds(130);

/// An accepted base model load is ordered again after this time if the model is still missing.
/// Longer than a few loads that share the weight store.
constexpr Span baseLoadTimeout = std::chrono::seconds(12);

/// Delay before a base model load is ordered again after a refusal, and after an order that was not
/// answered: by then reports show whether the engine carries it out.
constexpr Span refusedBaseLoadDelay = std::chrono::milliseconds(500);
constexpr Span unansweredBaseLoadDelay = std::chrono::seconds(2);

/// Concurrent adapter loads at one engine.
constexpr std::uint32_t maxLoadsInProgress = 4;

/// Adapters that an engine is assumed to keep in its host memory after an unload. Deployments state
/// 30; the rest allows for loads ordered by other hosts.
constexpr std::size_t maxAdaptersInHostMemory = 24;

void recordInHostMemory(OrderedEngine &engine, const AdapterRef &ref)
{
    std::erase(engine.adaptersInHostMemory, ref);
    engine.adaptersInHostMemory.push_front(ref);
    if (engine.adaptersInHostMemory.size() > maxAdaptersInHostMemory)
        engine.adaptersInHostMemory.pop_back();
}

void issueOrder(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
                const ModelName &model, bool isLoad, Actions &actions)
{
    engine.pendingOrder = model;
    engine.rights.sentFencing = nextFencing(engine.rights, state.self.id);
    const std::uint64_t version = isLoad ? declaredVersion(state.versions, model) : 0;
    actions.orders.push_back({ upstream.listed.id, upstream.listed.address, isLoad, model, version,
                               engine.rights.expectedOrders, engine.rights.sentFencing });
}

/// Orders the base model load of an engine that started empty. Returns whether an order was given.
bool orderBase(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
               const EngineLimits &limits, Instant now, Actions &actions)
{
    if (!upstream.engine.models.empty() || limits.models.empty() || upstream.engine.isOrderUnderWay)
        return false;
    if (now < engine.nextBaseOrderAt)
        return false;
    engine.nextBaseOrderAt = now + baseLoadTimeout;
    ++state.counters.baseLoadsOrdered;
    issueOrder(state, upstream, engine, { limits.models.front().name, {} }, true, actions);
    return true;
}

/// Orders an unload; no further requests are sent to the adapter.
void orderUnload(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
                 const ModelName &adapter, Instant now, Actions &actions)
{
    const AdapterRef ref = refOf(adapter);
    applyAdapterEvent(state, engine, ref, AdapterEvent::UnloadOrdered, now);
    engine.unloadedAt[ref] = now;
    std::erase_if(upstream.engine.ready,
                  [&](const LoadedAdapter &loaded) { return loaded.name == adapter; });
    upstream.loads.erase(adapter);
    recordLastEngine(state.lastEngines, adapter, upstream.listed.id);
    state.changedEngines.insert(upstream.listed.id);
    ++state.counters.unloadsOrdered;
    issueOrder(state, upstream, engine, adapter, false, actions);
}

/// Unloads an adapter that is older than its declared version; the next request for it triggers a
/// new load. Loading the new version first would need a second slot while the old version is in
/// use, and an engine that is ordered to hold more adapters than it has slots crashes.
bool unloadOutdated(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
                    Actions &actions)
{
    for (const LoadedAdapter &adapter : upstream.engine.ready) {
        const auto declared = state.versions.find(adapter.name);
        const AdapterRef ref = refOf(adapter.name);
        if (declared == state.versions.end() || adapter.version >= declared->second
            || stateOf(engine, ref) != AdapterState::Loaded)
            continue;
        const ModelName outdated = adapter.name;
        orderUnload(state, upstream, engine, outdated, now, actions);
        return true;
    }
    return false;
}

/// Orders a load of \a adapter.
void orderLoad(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
               const ModelName &adapter, Instant now, Actions &actions)
{
    const AdapterRef ref = refOf(adapter);
    applyAdapterEvent(state, engine, ref, AdapterEvent::LoadOrdered, now);
    beginLoad(upstream, adapter, isInHostMemory(engine, ref), now);
    recordInHostMemory(engine, ref);
    // In a large fleet the start of a load is sent with the next update: its end matters more.
    if (isSmallFleet(state))
        state.changedEngines.insert(upstream.listed.id);
    ++state.counters.loadsOrdered;
    issueOrder(state, upstream, engine, adapter, true, actions);
}

void orderNextWanted(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
                     Actions &actions)
{
    removeAbandoned(engine.wanted, now);
    if (loadsInFlight(engine.adapters) >= maxLoadsInProgress)
        return;
    const bool isFull = isStoreFull(state, now);
    const UpstreamId &id = upstream.listed.id;
    for (const ModelName &wanted : queuedLoads(engine.wanted, now)) {
        const AdapterRef ref = refOf(wanted);
        if (!isOrderable(engine.adapters, ref, now)) {
            dequeue(engine.wanted, wanted);
            continue;
        }
        if (isFull && !isInHostMemory(engine, ref))
            continue;
        const PlacementStep step = makeRoom(engine.adapters, now, [&](const AdapterRef &held) {
            return isUsed(state, engine, id, held, now);
        });
        if (step.kind == PlacementStep::Kind::Load) {
            orderLoad(state, upstream, engine, wanted, now, actions);
        } else if (step.kind == PlacementStep::Kind::Evict) {
            orderUnload(state, upstream, engine, nameOf(step.adapter), now, actions);
        }
        return;
    }
}

/// Moves the time of an order to that of its answer or timeout, the latest time at which the engine
/// can have accepted it.
void updateOrderTime(OrderedEngine &engine, const AdapterRef &ref, Instant now)
{
    const auto adapter = engine.adapters.adapters.find(ref);
    if (adapter != engine.adapters.adapters.end() && adapter->second.state == AdapterState::Loading)
        adapter->second.orderedAt = now;
    const auto unloaded = engine.unloadedAt.find(ref);
    if (unloaded != engine.unloadedAt.end())
        unloaded->second = now;
}

/// Logs an order that was refused or not answered.
void logOrderNotTaken(const OrderEnded &event, Actions &actions)
{
    if (!isRefusal(event.outcome) && event.outcome != OrderOutcome::Unknown)
        return;
    actions.logEvents.push_back({ "engine_order_not_accepted",
                                  { { "engine", event.engine.value },
                                    { "model", refOf(event.model).value },
                                    { "load", event.isLoad ? "true" : "false" } } });
}

std::string millisecondsSince(Instant then, Instant now)
{
    return std::to_string(inMilliseconds(now - then));
}

/// Logs a period of ordering with everything that the right to it was taken from.
void logOrderingStart(const GatewayState &state, const Upstream &upstream,
                      const OrderRights &rights, Instant now, Actions &actions)
{
    const ReachCounts zone = countReach(state.members, upstream.listed.zone, now);
    const ReachCounts all = countReach(state.members, now);
    actions.logEvents.push_back(
            { "engine_ordering_started",
              { { "engine", upstream.listed.id.value },
                { "orders", std::to_string(rights.expectedOrders) },
                { "report_age_ms", millisecondsSince(rights.confirmedAt, now) },
                { "unchanged_ms", millisecondsSince(rights.unchangedSince, now) },
                { "hosts_stable_ms", millisecondsSince(state.members.changedAt, now) },
                { "zone_hosts", std::to_string(zone.known) },
                { "zone_hosts_reached", std::to_string(zone.reachable) },
                { "zone_hosts_linked", std::to_string(zone.linked) },
                { "hosts", std::to_string(all.known) },
                { "hosts_reached", std::to_string(all.reachable) },
                { "hosts_linked", std::to_string(all.linked) } } });
}

/// Whether this host has heard of no other one, though there are seeds.
bool isAlone(const GatewayState &state)
{
    const std::vector<Endpoint> &seeds = state.self.seeds;
    const bool hasSeeds = std::any_of(seeds.begin(), seeds.end(), [&](const Endpoint &seed) {
        return seed != state.self.address;
    });
    return hasSeeds && state.members.others.empty();
}

/// Lets the next heartbeats, which state the engines that this host orders at, go out at once, also
/// to hosts that are not heard: one of them may be the one that has ordered so far.
void announceOrdering(GatewayState &state, Instant now)
{
    for (auto &[id, member] : state.members.others) {
        if (member.zone != state.self.zone && !isSmallFleet(state))
            continue;
        member.nextEngineUpdateAt = Instant{};
        setHeartbeat(state.members, member, now);
    }
}

void handleBaseLoadAnswer(OrderedEngine &engine, const OrderEnded &event, Instant now,
                          Actions &actions)
{
    logOrderNotTaken(event, actions);
    if (isRefusal(event.outcome))
        engine.nextBaseOrderAt = now + refusedBaseLoadDelay;
    else if (event.outcome == OrderOutcome::Unknown)
        engine.nextBaseOrderAt = now + unansweredBaseLoadDelay;
}

} // namespace

std::string_view nameOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Taken:
        return "taken";
    case OrderOutcome::AlreadyDone:
        return "held_already";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::OldFencing:
        return "old_fencing";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

bool isRefusal(OrderOutcome outcome)
{
    return outcome == OrderOutcome::Conflict || outcome == OrderOutcome::OldFencing
            || outcome == OrderOutcome::Refused;
}

void giveOrders(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
                Actions &actions)
{
    const EngineLimits *limits = limitsOf(state, upstream);
    if (!limits || isStopping(state) || engine.pendingOrder)
        return;
    const OrderTerms terms{ state.self.isFirstStart, isAlone(state), state.startedAt,
                            state.self.orderLease };
    const bool isWanted = countQueued(engine.wanted) > 0 || upstream.engine.models.empty();
    const bool wasCoordinating = engine.rights.isCoordinating;
    const bool isAllowed = mayOrder(engine.rights, upstream, state.members, terms, now);
    if (!wasCoordinating && engine.rights.isCoordinating) {
        announceOrdering(state, now);
        logOrderingStart(state, upstream, engine.rights, now, actions);
    }
    if (!isAllowed)
        return;
    if (isWanted && orderBase(state, upstream, engine, *limits, now, actions))
        return;
    if (unloadOutdated(state, upstream, engine, now, actions))
        return;
    orderNextWanted(state, upstream, engine, now, actions);
}

void handle(GatewayState &state, const OrderEnded &event, Instant now, Actions &actions)
{
    OrderedEngine &engine = state.engines[event.engine];
    engine.pendingOrder.reset();
    ++state.counters.orderOutcomes[event.outcome];
    wakeEngine(state, event.engine);
    const auto upstream = state.upstreams.find(event.engine);
    const bool isCounted = event.outcome == OrderOutcome::Taken
            || (event.outcome == OrderOutcome::AlreadyDone && !event.isLoad);
    if (isCounted)
        recordOrderAccepted(engine.rights, event.sentAt);
    if (isRefusal(event.outcome) || event.outcome == OrderOutcome::Unknown)
        recordOrderFailed(engine.rights, event.outcome, now);
    if (event.model.isBase()) {
        handleBaseLoadAnswer(engine, event, now, actions);
        return;
    }
    const AdapterRef ref = refOf(event.model);
    if (isCounted)
        engine.orderCounts[ref] = engine.rights.expectedOrders;
    const AdapterState previousState = stateOf(engine, ref);
    updateOrderTime(engine, ref, now);
    const bool isDone = event.outcome == OrderOutcome::AlreadyDone;
    if (event.isLoad) {
        if (isRefusal(event.outcome) && previousState == AdapterState::Loading) {
            applyAdapterEvent(state, engine, ref, AdapterEvent::LoadFailed, now);
            backOff(engine.adapters, ref, draw(state), now);
        }
        engine.nextReportAt = std::min(engine.nextReportAt, now + firstReportDelay);
    } else if (isDone && previousState == AdapterState::Unloading) {
        applyAdapterEvent(state, engine, ref, AdapterEvent::UnloadDone, now);
    } else if (isRefusal(event.outcome) && previousState == AdapterState::Unloading) {
        applyAdapterEvent(state, engine, ref, AdapterEvent::UnloadFailed, now);
        engine.unloadedAt.erase(ref);
    }
    logOrderNotTaken(event, actions);
    if (upstream != state.upstreams.end() && engine.rights.isCoordinating && isDone)
        giveOrders(state, upstream->second, engine, now, actions);
}

} // namespace azurewell::gateway
