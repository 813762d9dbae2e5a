#include "engine_places.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// The first report after a load was ordered is asked for so much later: engines answer as of 100
/// ms ago.
constexpr Span firstLookAfterLoad = std::chrono::milliseconds(130);

/// A base model whose order was taken is ordered again after this time if it is not there: longer
/// than a few loads that share the weight store.
constexpr Span baseLoadPatience = std::chrono::seconds(12);

/// The same after an order that was refused, and after one that was not answered: by then reports
/// show whether the engine carries it out.
constexpr Span refusedBasePause = std::chrono::milliseconds(500);
constexpr Span unansweredBasePause = std::chrono::seconds(2);

/// Transfers of adapters to one engine at a time.
constexpr std::uint32_t mostLoadsUnderWay = 4;

/// Adapters that an engine keeps in its host's memory after they were unloaded; 30 as deployments
/// state it, less some for loads that were ordered by others.
constexpr std::size_t mostHeldLately = 24;

void noteHeld(OrderedEngine &engine, const AdapterRef &ref)
{
    std::erase(engine.heldLately, ref);
    engine.heldLately.push_front(ref);
    if (engine.heldLately.size() > mostHeldLately)
        engine.heldLately.pop_back();
}

FencingNumber nextFencing(const GatewayState &state, std::uint64_t wallMillis)
{
    // The low part keeps the numbers of two hosts apart that begin in the same millisecond.
    constexpr std::uint64_t hostsApart = 1024;
    const std::uint64_t highest = state.highestFencing.value / hostsApart + 1;
    const std::uint64_t host = std::hash<std::string>{}(state.self.id.value) % hostsApart;
    return FencingNumber{ std::max(wallMillis, highest) * hostsApart + host };
}

void order(GatewayState &state, Upstream &upstream, OrderedEngine &engine, const ModelName &model,
           bool isLoad, Actions &actions)
{
    engine.orderOnItsWay = model;
    state.highestFencing = std::max(state.highestFencing, engine.rights.fencing);
    const std::uint64_t version = isLoad ? declaredVersion(state.versions, model) : 0;
    actions.orders.push_back({ upstream.listed.id, upstream.listed.address, isLoad, model, version,
                               engine.rights.fencing });
}

/// Orders the base model of an engine that has started empty. True where an order was given.
bool orderBase(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
               const EngineLimits &limits, Instant now, Actions &actions)
{
    if (!upstream.engine.models.empty() || limits.models.empty() || upstream.engine.isOrderUnderWay)
        return false;
    if (now < engine.nextBaseOrderAt)
        return false;
    engine.nextBaseOrderAt = now + baseLoadPatience;
    ++state.counters.baseLoadsOrdered;
    order(state, upstream, engine, { limits.models.front().name, {} }, true, actions);
    return true;
}

/// Unloads an adapter; from here on no request is sent to it.
void orderUnload(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
                 const ModelName &adapter, Instant now, Actions &actions)
{
    const AdapterRef ref = refOf(adapter);
    move(state, engine, ref, AdapterEvent::UnloadOrdered, now);
    engine.unloadedAt[ref] = now;
    std::erase_if(upstream.engine.ready,
                  [&](const LoadedAdapter &loaded) { return loaded.name == adapter; });
    upstream.loads.erase(adapter);
    noteHolder(state.lastHolders, adapter, upstream.listed.id);
    state.changedEngines.insert(upstream.listed.id);
    ++state.counters.unloadsOrdered;
    order(state, upstream, engine, adapter, false, actions);
}

/// An adapter in an older version than the declared one is unloaded; requests that come for it have
/// it loaded anew. A load in its place would need a second place while the old version still runs,
/// and an engine that is ordered to hold more than it can crashes.
bool orderOutdatedGone(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
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

/// Carries out the oldest wanted load: evicts where there is no place, loads where there is one.
void orderLoad(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
               const ModelName &adapter, Instant now, Actions &actions)
{
    const AdapterRef ref = refOf(adapter);
    move(state, engine, ref, AdapterEvent::LoadOrdered, now);
    beginLoad(upstream, adapter, isHeldLately(engine, ref), now);
    noteHeld(engine, ref);
    // In a large fleet that a load began is told with what comes next: its end matters more.
    if (isSmallFleet(state))
        state.changedEngines.insert(upstream.listed.id);
    ++state.counters.loadsOrdered;
    order(state, upstream, engine, adapter, true, actions);
}

void orderWanted(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
                 Actions &actions)
{
    std::erase_if(engine.wanted, [&](const ModelName &wanted) {
        return !isOrderable(engine.adapters, refOf(wanted), now);
    });
    if (loadsUnderWay(engine.adapters) >= mostLoadsUnderWay)
        return;
    const bool isFull = isStoreFull(state, now);
    const UpstreamId &id = upstream.listed.id;
    for (const ModelName &wanted : engine.wanted) {
        const AdapterRef ref = refOf(wanted);
        if (isFull && !isHeldLately(engine, ref))
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

/// An order was taken at the latest when its answer came, or was given up.
void noteAnswered(OrderedEngine &engine, const AdapterRef &ref, Instant now)
{
    const auto adapter = engine.adapters.adapters.find(ref);
    if (adapter != engine.adapters.adapters.end() && adapter->second.state == AdapterState::Loading)
        adapter->second.orderedAt = now;
    const auto unloaded = engine.unloadedAt.find(ref);
    if (unloaded != engine.unloadedAt.end())
        unloaded->second = now;
}

/// Tells the log of an order that was refused or not answered.
void noteNotTaken(const OrderEnded &event, Actions &actions)
{
    if (event.outcome != OrderOutcome::Refused && event.outcome != OrderOutcome::Unknown)
        return;
    actions.notes.push_back({ "order_not_taken",
                              { { "engine", event.engine.value },
                                { "model", refOf(event.model).value },
                                { "load", event.isLoad ? "true" : "false" } } });
}

void noteBaseAnswer(OrderedEngine &engine, const OrderEnded &event, Instant now, Actions &actions)
{
    noteNotTaken(event, actions);
    if (event.outcome == OrderOutcome::Refused)
        engine.nextBaseOrderAt = now + refusedBasePause;
    else if (event.outcome == OrderOutcome::Unknown)
        engine.nextBaseOrderAt = now + unansweredBasePause;
}

} // namespace

void giveOrders(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
                std::uint64_t wallMillis, Instant now, Actions &actions)
{
    const EngineLimits *limits = limitsOf(state, upstream);
    if (!limits || isStopping(state) || engine.orderOnItsWay)
        return;
    const OrderStart start{ state.self.isFirstStart, state.startedAt };
    const bool isWanted = !engine.wanted.empty() || upstream.engine.models.empty();
    const bool wasHolding = engine.rights.isHolding;
    if (!mayOrder(engine.rights, upstream, state.members, start, nextFencing(state, wallMillis),
                  now))
        return;
    if (!wasHolding) {
        actions.notes.push_back({ "orders_begin",
                                  { { "engine", upstream.listed.id.value },
                                    { "fencing", std::to_string(engine.rights.fencing.value) } } });
    }
    if (isWanted && orderBase(state, upstream, engine, *limits, now, actions))
        return;
    if (orderOutdatedGone(state, upstream, engine, now, actions))
        return;
    orderWanted(state, upstream, engine, now, actions);
}

void handle(GatewayState &state, const OrderEnded &event, Instant now, Actions &actions)
{
    OrderedEngine &engine = state.engines[event.engine];
    engine.orderOnItsWay.reset();
    wakeEngine(state, event.engine);
    const auto upstream = state.upstreams.find(event.engine);
    if (event.outcome == OrderOutcome::Taken
        || (event.outcome == OrderOutcome::HeldAlready && !event.isLoad))
        noteOrderTaken(engine.rights, event.sentAt);
    if (event.model.isBase()) {
        noteBaseAnswer(engine, event, now, actions);
        return;
    }
    const AdapterRef ref = refOf(event.model);
    const AdapterState was = stateOf(engine, ref);
    noteAnswered(engine, ref, now);
    const bool isDone = event.outcome == OrderOutcome::HeldAlready;
    if (event.isLoad) {
        if (event.outcome == OrderOutcome::Refused && was == AdapterState::Loading) {
            move(state, engine, ref, AdapterEvent::LoadFailed, now);
            backOff(engine.adapters, ref, draw(state), now);
        }
        engine.nextReportAt = std::min(engine.nextReportAt, now + firstLookAfterLoad);
    } else if (isDone && was == AdapterState::Unloading) {
        move(state, engine, ref, AdapterEvent::UnloadDone, now);
    } else if (event.outcome == OrderOutcome::Refused && was == AdapterState::Unloading) {
        move(state, engine, ref, AdapterEvent::UnloadFailed, now);
        engine.unloadedAt.erase(ref);
    }
    noteNotTaken(event, actions);
    if (upstream != state.upstreams.end() && engine.rights.isHolding && isDone)
        giveOrders(state, upstream->second, engine, 0, now, actions);
}

} // namespace azurewell::gateway
