#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// How often an engine is asked while nothing goes on there. Its load reaches the others with the
/// news; the load that answers state is newer.
constexpr Span quietReportInterval = std::chrono::milliseconds(500);

/// How soon a load is looked for: engines answer as of 100 ms ago, an adapter that was held lately
/// takes 25 ms and another one 250 ms.
constexpr Span loadingReportInterval = std::chrono::milliseconds(70);
constexpr Span firstLookAfterLoad = std::chrono::milliseconds(130);

/// Where the host that orders at an engine is silent, others ask it for themselves this often. With
/// many engines, as after the cut of a zone, reports would take all of a small host's time: reading
/// one takes some 0.1 ms.
constexpr Span strangeReportInterval = std::chrono::milliseconds(1000);
constexpr double mostStrangeReportsPerSecond = 15;

/// A report may not show yet what was ordered so long before it was asked for.
constexpr Span reportLag = std::chrono::milliseconds(250);

/// A report or an order that got no answer for so long is given up.
constexpr Span answerPatience = std::chrono::milliseconds(1500);

/// A load that does not show up in reports within this time has failed.
constexpr Span longestLoad = std::chrono::seconds(6);

/// A base model that was ordered and is not there is ordered again after this time: longer than a
/// few loads that share the weight store.
constexpr Span baseLoadPatience = std::chrono::seconds(12);

/// Transfers of adapters to one engine at a time.
constexpr std::uint32_t mostLoadsUnderWay = 4;

/// Requests for an adapter count half after this time: demand moves within seconds.
constexpr Span popularityHalfLife = std::chrono::seconds(5);

/// Loads that the weight store brings at full speed at once: half an engine's worth each, at least
/// 8 (8 for 9 and for 18 engines, 48 for 90, as deployments state it). With more on their way each
/// takes longer in proportion, so that none would come in time.
constexpr std::size_t fewestLoadsAtOnce = 8;
constexpr std::size_t enginesOfOneLoad = 2;

/// A load that would begin later than this is refused: with the load itself and the prompt after it
/// the answer would begin after a second.
constexpr Span longestLoadQueue = std::chrono::milliseconds(350);

/// Loads that wait at one engine until an adapter there is idle; requests run for 0.3 s and more,
/// so that one place or another is free within a moment.
constexpr std::size_t mostWaitingForPlace = 2;

/// Adapters that an engine keeps in its host's memory after they were unloaded; 30 as deployments
/// state it, less some for loads that were ordered by others.
constexpr std::size_t mostHeldLately = 24;

const EngineLimits *limitsOf(const GatewayState &state, const Upstream &upstream)
{
    const Service *service = findService(state.configuration, upstream.listed.service);
    return service && service->engine ? &*service->engine : nullptr;
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

/// An adapter that a report shows as ready.
void noteReady(const GatewayState &state, OrderedEngine &engine, const AdapterRef &ref,
               Instant askedAt, Instant now)
{
    const auto unloaded = engine.unloadedAt.find(ref);
    if (unloaded != engine.unloadedAt.end() && askedAt < unloaded->second + reportLag)
        return; // as of before the unload
    if (stateOf(engine, ref) == AdapterState::Absent)
        move(state, engine, ref, AdapterEvent::LoadOrdered, now);
    if (stateOf(engine, ref) == AdapterState::Loading)
        move(state, engine, ref, AdapterEvent::LoadDone, now);
}

/// Whether a report that was asked for at \a askedAt has to show what became of the last order for
/// \a ref. An order can be held up on its way, while its connection opens, and reports that
/// overtake it show nothing of it. Its place would be given away a second time, and an engine that
/// is ordered to hold more than it can crashes.
bool showsOrder(const OrderedEngine &engine, const AdapterRef &ref, const AdapterOnEngine &adapter,
                Instant askedAt)
{
    const bool isOnItsWay = engine.orderOnItsWay && refOf(*engine.orderOnItsWay) == ref;
    const auto unloaded = engine.unloadedAt.find(ref);
    const Instant ordered = adapter.state == AdapterState::Unloading
                    && unloaded != engine.unloadedAt.end()
            ? unloaded->second
            : adapter.orderedAt;
    return !isOnItsWay && askedAt >= ordered + reportLag;
}

/// Adapters that a report does not show any more.
void noteMissing(const GatewayState &state, OrderedEngine &engine, const EngineState &report,
                 Instant askedAt, Instant now)
{
    std::vector<AdapterRef> missing;
    for (const auto &[ref, adapter] : engine.adapters.adapters) {
        const ModelName name = nameOf(ref);
        const bool isSeen = report.findReady(name) || report.isLoading(name);
        if (!isSeen && showsOrder(engine, ref, adapter, askedAt))
            missing.push_back(ref);
    }
    for (const AdapterRef &ref : missing) {
        const AdapterState was = stateOf(engine, ref);
        if (was == AdapterState::Unloading) {
            move(state, engine, ref, AdapterEvent::UnloadDone, now);
            engine.unloadedAt.erase(ref);
        } else if (was == AdapterState::Loading) {
            move(state, engine, ref, AdapterEvent::LoadFailed, now);
            backOff(engine.adapters, ref, 0.5, now);
        } else if (was == AdapterState::Loaded) {
            move(state, engine, ref, AdapterEvent::UnloadOrdered, now);
            move(state, engine, ref, AdapterEvent::UnloadDone, now);
        }
    }
}

/// Brings what this host keeps of an engine's places in line with a report.
void takeReport(const GatewayState &state, OrderedEngine &engine, const EngineState &report,
                Instant askedAt, Instant now)
{
    if (report.start != engine.start) {
        engine.adapters.adapters.clear();
        engine.unloadedAt.clear();
        engine.start = report.start;
        engine.baseOrderedAt = Instant{};
    }
    for (const LoadingAdapter &adapter : report.loading) {
        const AdapterRef ref = refOf(adapter.name);
        if (stateOf(engine, ref) == AdapterState::Absent)
            move(state, engine, ref, AdapterEvent::LoadOrdered, now);
    }
    for (const LoadedAdapter &adapter : report.ready)
        noteReady(state, engine, refOf(adapter.name), askedAt, now);
    noteMissing(state, engine, report, askedAt, now);
    endBackOffs(engine.adapters, state.charts.adapter, now);
}

/// What requests may be sent to: what the report shows, less what was ordered to go since.
void updateView(Upstream &upstream, const OrderedEngine &engine, const EngineState &report,
                LastHolders &lastHolders, Instant askedAt, Instant now)
{
    EngineState view = report;
    view.seenAt = askedAt;
    const auto isUnloaded = [&](const auto &adapter) {
        return engine.unloadedAt.contains(refOf(adapter.name));
    };
    std::erase_if(view.ready, isUnloaded);
    std::erase_if(view.loading, isUnloaded);
    for (const auto &[ref, adapter] : engine.adapters.adapters) {
        const ModelName name = nameOf(ref);
        if (adapter.state == AdapterState::Loading && !view.isLoading(name))
            view.loading.push_back({ name, {}, false });
    }
    setEngine(upstream, std::move(view), lastHolders, now);
}

/// How long loads of the adapters of \a model take from the weight store, as learnt.
Span loadTimeOf(const GatewayState &state, const std::string &model)
{
    const auto found = state.loadTimes.find(model);
    return found == state.loadTimes.end() ? LoadTimes{}.fromStore.expected
                                          : found->second.fromStore.expected;
}

std::size_t loadsAtOnce(const GatewayState &state)
{
    std::size_t engines = 0;
    for (const auto &[id, upstream] : state.upstreams)
        engines += upstream.engine.models.empty() ? 0 : 1;
    return std::max(fewestLoadsAtOnce, engines / enginesOfOneLoad);
}

/// Loads on their way over all engines, as far as known. Reports tell of a load's end only some 150
/// ms later, so one counts for as long as loads take of late. Where they take longer, fewer begin:
/// with a fixed time, loads that share a crowded weight store were taken for done while they were
/// not, more began, and none came in time.
std::size_t loadsOnTheirWay(const GatewayState &state, Instant now)
{
    std::size_t loads = 0;
    for (const auto &[id, upstream] : state.upstreams) {
        for (const auto &[adapter, load] : upstream.loads) {
            const bool isFetched = !load.isHeldLately && !load.isDone;
            loads += isFetched && now - load.since < loadTimeOf(state, adapter.model) ? 1 : 0;
        }
    }
    return loads;
}

bool isHeldLately(const OrderedEngine &engine, const AdapterRef &ref)
{
    return std::find(engine.heldLately.begin(), engine.heldLately.end(), ref)
            != engine.heldLately.end();
}

void noteHeld(OrderedEngine &engine, const AdapterRef &ref)
{
    std::erase(engine.heldLately, ref);
    engine.heldLately.push_front(ref);
    if (engine.heldLately.size() > mostHeldLately)
        engine.heldLately.pop_back();
}

/// Loads that this host may have waiting so that the last of them begins in time: its part of what
/// the weight store brings within that time.
std::size_t mostQueued(const GatewayState &state, const std::string &model)
{
    const double perSecond = static_cast<double>(loadsAtOnce(state))
            / toSeconds(loadTimeOf(state, model));
    const double hosts = static_cast<double>(countKnown(state.members) + 1);
    const double queued = perSecond * toSeconds(longestLoadQueue) / hosts;
    return std::max<std::size_t>(1, static_cast<std::size_t>(queued));
}

/// Loads that wait at this host for the weight store.
std::size_t queuedLoads(const GatewayState &state)
{
    std::size_t queued = 0;
    for (const auto &[id, engine] : state.engines)
        queued += engine.wanted.size();
    return queued;
}

bool isUsed(const GatewayState &state, const OrderedEngine &engine, const UpstreamId &id,
            const AdapterRef &ref, Instant now)
{
    const auto own = state.ownUses.find({ id, nameOf(ref) });
    const bool isUsedHere = own != state.ownUses.end() && own->second.running > 0;
    return isUsedHere || isUsedElsewhere(engine.otherUses, ref, now);
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
    const auto declared = state.versions.find(model);
    const std::uint64_t version = isLoad && declared != state.versions.end() ? declared->second : 0;
    actions.orders.push_back({ upstream.listed.id, upstream.listed.address, isLoad, model, version,
                               engine.rights.fencing });
}

/// Orders the base model of an engine that has started empty. True where an order was given.
bool orderBase(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
               const EngineLimits &limits, Instant now, Actions &actions)
{
    if (!upstream.engine.models.empty() || limits.models.empty() || upstream.engine.isOrderUnderWay)
        return false;
    const bool isOrdered = engine.baseOrderedAt.micros != 0
            && now < engine.baseOrderedAt + baseLoadPatience;
    if (isOrdered)
        return false;
    engine.baseOrderedAt = now;
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
    engine.isNews = true;
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
void orderWanted(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
                 Actions &actions)
{
    std::erase_if(engine.wanted, [&](const ModelName &wanted) {
        return !isOrderable(engine.adapters, refOf(wanted), now);
    });
    if (loadsUnderWay(engine.adapters) >= mostLoadsUnderWay)
        return;
    const bool isStoreFull = loadsOnTheirWay(state, now) >= loadsAtOnce(state);
    const UpstreamId &id = upstream.listed.id;
    for (const ModelName &wanted : engine.wanted) {
        const AdapterRef ref = refOf(wanted);
        if (isStoreFull && !isHeldLately(engine, ref))
            continue;
        const PlacementStep step = makeRoom(engine.adapters, now, [&](const AdapterRef &held) {
            return isUsed(state, engine, id, held, now);
        });
        if (step.kind == PlacementStep::Kind::Load) {
            move(state, engine, ref, AdapterEvent::LoadOrdered, now);
            const bool isQuick = isHeldLately(engine, ref);
            noteHeld(engine, ref);
            upstream.engine.loading.push_back({ wanted, now, isQuick });
            LoadUnderWay load;
            load.since = now;
            load.isHeldLately = isQuick;
            upstream.loads[wanted] = load;
            // In a large fleet that a load began is told with what comes next: its end matters
            // more.
            engine.isNews = engine.isNews || isSmallFleet(state);
            ++state.counters.loadsOrdered;
            order(state, upstream, engine, wanted, true, actions);
        } else if (step.kind == PlacementStep::Kind::Evict) {
            orderUnload(state, upstream, engine, nameOf(step.adapter), now, actions);
        }
        return;
    }
}

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

Span strangeInterval(const GatewayState &state)
{
    const double engines = static_cast<double>(state.engines.size());
    return std::max(strangeReportInterval, fromSeconds(engines / mostStrangeReportsPerSecond));
}

Instant nextReport(const GatewayState &state, const OrderedEngine &engine, bool isOwn, Instant now)
{
    if (!isOwn)
        return now + strangeInterval(state);
    const auto &adapters = engine.adapters.adapters;
    const bool isMoving = std::any_of(adapters.begin(), adapters.end(), [](const auto &entry) {
        return entry.second.state == AdapterState::Loading
                || entry.second.state == AdapterState::Unloading;
    });
    return now + (isMoving ? loadingReportInterval : quietReportInterval);
}

void askReport(const GatewayState &state, const Upstream &upstream, OrderedEngine &engine,
               bool isOwn, Instant now, Actions &actions)
{
    if (engine.isReportOnItsWay && now < engine.reportAskedAt + answerPatience)
        return;
    const bool isNeeded = isOwn || now - upstream.engine.seenAt > newsLapse(state, upstream);
    if (!isNeeded || now < engine.nextReportAt)
        return;
    engine.isReportOnItsWay = true;
    engine.reportAskedAt = now;
    engine.nextReportAt = nextReport(state, engine, isOwn, now);
    actions.reports.push_back({ upstream.listed.id, upstream.listed.address });
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

} // namespace

AdapterRef refOf(const ModelName &name)
{
    return AdapterRef{ name.model + "/" + name.adapter };
}

void noteUse(GatewayState &state, const UpstreamId &engine, const ModelName &adapter, Instant now)
{
    beginUse(state.ownUses, { engine, adapter });
    OrderedEngine &ordered = state.engines[engine];
    const AdapterRef ref = refOf(adapter);
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
    if (isOwn && (known == AdapterState::Loading || known == AdapterState::Loaded)) {
        engine.isNews = true;
        return LoadProspect::Coming;
    }
    const bool isListed = std::find(engine.wanted.begin(), engine.wanted.end(), request.adapter)
            != engine.wanted.end();
    if (isListed)
        return LoadProspect::Coming;
    if (!isOwn || !engine.rights.isHolding)
        return LoadProspect::NotHere;
    const bool isQuick = isHeldLately(engine, ref);
    const bool isStoreFull = loadsOnTheirWay(state, now) >= loadsAtOnce(state);
    const bool isStoreBusy = !isQuick && isStoreFull
            && queuedLoads(state) >= mostQueued(state, request.adapter.model);
    const PlacementStep step = makeRoom(engine.adapters, now, [&](const AdapterRef &held) {
        return isUsed(state, engine, request.engine, held, now);
    });
    const bool hasRoom = step.kind != PlacementStep::Kind::Nothing;
    if (!hasRoom && engine.wanted.size() >= mostWaitingForPlace)
        return LoadProspect::NotHere;
    if (isStoreBusy)
        return LoadProspect::StoreBusy;
    engine.wanted.push_back(request.adapter);
    return LoadProspect::Coming;
}

void handle(GatewayState &state, const ReportRead &event, Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(event.engine);
    if (found == state.upstreams.end())
        return;
    OrderedEngine &engine = state.engines[event.engine];
    engine.isReportOnItsWay = false;
    if (!event.state)
        return;
    Upstream &upstream = found->second;
    noteReport(engine.rights, *event.state, event.askedAt, now);
    takeReport(state, engine, *event.state, event.askedAt, now);
    const EngineState before = upstream.engine;
    updateView(upstream, engine, *event.state, state.lastHolders, event.askedAt, now);
    upstream.load = { event.state->running, event.state->waiting, upstream.listed.slots };
    upstream.loadAt = event.askedAt;
    const bool isChanged = before.ready != upstream.engine.ready
            || before.models != upstream.engine.models || before.start != upstream.engine.start;
    engine.isNews = engine.isNews || isChanged;
    if (isChanged)
        placeWaiting(state, now, actions);
}

void handle(GatewayState &state, const OrderEnded &event, Instant now, Actions &actions)
{
    OrderedEngine &engine = state.engines[event.engine];
    engine.orderOnItsWay.reset();
    const auto upstream = state.upstreams.find(event.engine);
    if (event.outcome == OrderOutcome::Taken
        || (event.outcome == OrderOutcome::HeldAlready && !event.isLoad))
        noteOrderTaken(engine.rights, event.sentAt);
    if (event.model.isBase())
        return;
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
    if (event.outcome == OrderOutcome::Refused || event.outcome == OrderOutcome::Unknown) {
        actions.notes.push_back({ "order_not_taken",
                                  { { "engine", event.engine.value },
                                    { "model", ref.value },
                                    { "load", event.isLoad ? "true" : "false" } } });
    }
    if (upstream != state.upstreams.end() && engine.rights.isHolding && isDone)
        giveOrders(state, upstream->second, engine, 0, now, actions);
}

void runEngines(GatewayState &state, std::uint64_t wallMillis, Instant now, Actions &actions)
{
    for (auto &[id, upstream] : state.upstreams) {
        const EngineLimits *limits = limitsOf(state, upstream);
        if (!limits || now >= upstream.usableUntil)
            continue;
        OrderedEngine &engine = state.engines[id];
        engine.adapters.slots = limits->adapterPlaces;
        engine.adapters.popularityHalfLife = popularityHalfLife;
        std::erase_if(engine.unloadedAt, [&](const auto &entry) {
            const bool isGone = stateOf(engine, entry.first) != AdapterState::Unloading;
            return now >= entry.second + (isGone ? reportLag : longestLoad);
        });
        const bool isOwn = isOwnEngine(state, upstream, now);
        askReport(state, upstream, engine, isOwn, now, actions);
        if (isOwn)
            giveOrders(state, upstream, engine, wallMillis, now, actions);
        else
            engine.wanted.clear();
    }
    std::erase_if(state.engines,
                  [&](const auto &entry) { return !state.upstreams.contains(entry.first); });
    std::erase_if(state.holders.entries,
                  [&](const auto &entry) { return !state.upstreams.contains(entry.first); });
}

} // namespace azurewell::gateway
