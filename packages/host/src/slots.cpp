#include "azurewell/placement/load_plan.h"
#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

constexpr Span loadReportInterval = fromSeconds(0.5);
/// Maximum number of requests queued at one engine; more would wait longer than any caller's
/// deadline.
constexpr std::size_t maxQueued = 1024;
/// A new coordinator sends no orders before the engine's first load report, which shows what
/// occupies its slots, or before this time if no report arrives.
constexpr Span firstReportTimeout = fromSeconds(0.25);
/// Timeout of a load order. A load takes 0.25 s when the weight store is healthy and up to ten
/// times that when it is not.
constexpr Span loadTimeout = fromSeconds(10);
/// After a lease has expired, cancellation is requested from the engine for this long before the
/// adapter is unpinned: the host that held the lease may be suspended while its stream still runs
/// at the engine.
constexpr Span cancelTime = fromSeconds(2);
constexpr Span cancelInterval = fromSeconds(0.5);
/// The same after a host released a cancelled request's slot: it has closed the connection itself.
constexpr Span releaseCancelTime = fromSeconds(0.5);

/// The state of \a engine as coordinated by this host; created on first use, without evictions
/// until every lease of a previous coordinator has expired.
CoordinatedEngine &coordinatedEngine(Step &step, const Upstream &engine)
{
    const auto found = step.state.coordinatedEngines.find(engine.id);
    if (found != step.state.coordinatedEngines.end()) {
        found->second.adapters.slots = engine.adapterSlots;
        return found->second;
    }
    CoordinatedEngine &engineState = step.state.coordinatedEngines[engine.id];
    engineState.adapters.slots = engine.adapterSlots;
    engineState.adapters.noEvictionBefore = never;
    engineState.createdAt = step.now;
    if (step.state.coordination.hasAllPromises && mayGrant(step.state, engine, step.now))
        engineState.evictionAllowedFrom = step.now + slotLease;
    step.actions.emplace_back(QueryLoadReport{ engine.id, engine.address, step.now });
    engineState.nextLoadReport = step.now + loadReportInterval;
    return engineState;
}

void refuseSlot(Step &step, const HostId &requester, const RequestId &request,
                const UpstreamId &engine, ResultCode code, std::uint32_t round)
{
    sendTo(step, requester, SlotRefusal{ request, engine, code, round });
}

void sendGrant(Step &step, const CoordinatedEngine &engineState, const UpstreamId &engine,
               const RequestId &request, const GrantedSlot &slot)
{
    const auto newest = engineState.newestSerial.find(slot.requester);
    const std::uint64_t basis = newest == engineState.newestSerial.end() ? 0
                                                                         : newest->second.second;
    sendTo(step, slot.requester, SlotGrant{ request, engine, slotLease, basis, slot.round });
}

void grantSlot(Step &step, CoordinatedEngine &engineState, const UpstreamId &engine,
               const WaitingRequest &request)
{
    GrantedSlot slot;
    slot.requester = request.requester;
    slot.customer = request.customer;
    slot.adapter = request.adapter;
    slot.charged = request.cost;
    slot.weight = request.weight;
    slot.leaseExpiresAt = step.now + slotLease;
    slot.round = engineState.rounds[request.request];
    slot.nextCancelAt = never;
    engineState.rounds.erase(request.request);
    slot.grantedAt = step.now;
    engineState.granted[request.request] = slot;
    pin(engineState.adapters, request.adapter, step.now);
    sendGrant(step, engineState, engine, request.request, slot);
}

void sendEngineOrder(Step &step, CoordinatedEngine &engineState, const Upstream &engine,
                     const PlacementStep &placement)
{
    HostState &state = step.state;
    const bool isLoad = placement.kind == PlacementStep::Kind::Load;
    const AdapterEvent event = isLoad ? AdapterEvent::LoadOrdered : AdapterEvent::UnloadOrdered;
    applyEvent(engineState.adapters, state.charts.adapter, placement.adapter, event, step.now);
    state.fencing = FencingNumber{ state.fencing.value + 1 };
    engineState.orders[placement.adapter] = state.fencing;
    const Span lifetime = isLoad ? loadTimeout : unloadTimeout;
    step.actions.emplace_back(OrderEngine{ engine.id, engine.address, isLoad, placement.adapter,
                                           state.fencing, step.now + lifetime });
    ++(isLoad ? state.counters.loadsOrdered : state.counters.evictionsOrdered);
}

/// Starts requesting cancellation from the engine and keeps the adapter pinned for \a pause.
void beginCancelling(GrantedSlot &slot, Instant now, Span pause)
{
    if (slot.nextCancelAt != never)
        return;
    slot.leaseExpiresAt = now;
    slot.nextCancelAt = now;
    slot.unpinAt = now + pause;
}

/// Expires leases. The host that held a lease counts it as ended earlier, unless its process is
/// suspended: then its stream still runs at the engine, and an eviction would cut it off. So
/// cancellation is requested from the engine first, and the adapter stays pinned until it has had
/// time to take effect.
void expireLeases(Step &step, CoordinatedEngine &engineState, const Upstream &engine)
{
    for (auto entry = engineState.granted.begin(); entry != engineState.granted.end();) {
        GrantedSlot &slot = entry->second;
        if (slot.leaseExpiresAt <= step.now && slot.nextCancelAt == never) {
            ++step.state.counters.leasesExpired;
            beginCancelling(slot, step.now, cancelTime);
        }
        if (slot.nextCancelAt <= step.now && !step.state.requests.contains(entry->first)) {
            step.actions.emplace_back(CancelAttempt{ entry->first, engine.id, engine.address });
            slot.nextCancelAt = step.now + cancelInterval;
        }
        const bool isOver = slot.nextCancelAt != never && slot.unpinAt <= step.now;
        if (isOver)
            unpin(engineState.adapters, slot.adapter);
        entry = isOver ? engineState.granted.erase(entry) : std::next(entry);
    }
}

void updateEngine(Step &step, CoordinatedEngine &engineState, const Upstream &engine)
{
    endBackOffs(engineState.adapters, step.state.charts.adapter, step.now);
    dropIdleCustomers(engineState.queue);
    expireAbandonedUnloads(step, engineState);
    dropIdleCustomers(engineState.queue);
    for (const WaitingRequest &expired : takeExpired(engineState.queue, step.now)) {
        refuseSlot(step, expired.requester, expired.request, engine.id, ResultCode::WaitedTooLong,
                   engineState.rounds[expired.request]);
        engineState.rounds.erase(expired.request);
    }
    expireLeases(step, engineState, engine);
    grantReady(step, engineState, engine);
    orderLoads(step, engineState, engine);
    if (step.now >= engineState.nextLoadReport) {
        engineState.nextLoadReport = step.now + loadReportInterval;
        step.actions.emplace_back(QueryLoadReport{ engine.id, engine.address, step.now });
    }
}

void recordSerial(CoordinatedEngine &engineState, const HostId &requester, Incarnation incarnation,
                  std::uint64_t serial)
{
    auto &newest = engineState.newestSerial[requester];
    newest = std::max(newest, std::pair(incarnation, serial));
}

std::uint32_t loadsInFlight(const HostState &state)
{
    std::uint32_t loads = 0;
    for (const auto &[id, engineState] : state.coordinatedEngines)
        loads += azurewell::loadsInFlight(engineState.adapters);
    return loads;
}

bool mayOrderLoad(Step &step)
{
    HostState &state = step.state;
    if (!state.loadPacer.hasBegun) {
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        beginPacing(state.loadPacer, listedHosts(state), jitter(state.random), step.now);
    }
    return mayLoad(state.loadPacer, loadsInFlight(state), step.now);
}

/// Whether \a request is expected to start after its latest start.
bool isStartTooLate(const Step &step, const CoordinatedEngine &engineState, const Upstream &engine,
                    const WaitingRequest &request)
{
    const std::size_t used = engineState.granted.size();
    const std::size_t open = used < engine.batchSlots ? engine.batchSlots - used : 0;
    const Span wait = expectedWait(engineState.queue, engineState.rate, request.customer,
                                   request.weight, engine.batchSlots,
                                   static_cast<std::uint32_t>(open));
    return step.now + wait > request.latestStart;
}

/// Sends the requests queued here back to their hosts, which request a slot from the engine's
/// present coordinator.
void rejectQueuedRequests(Step &step, CoordinatedEngine &engineState, const UpstreamId &engine)
{
    for (const CustomerQueue &customer : engineState.queue.customers) {
        for (const AdapterQueue &adapter : customer.adapters) {
            for (const WaitingRequest &request : adapter.waiting)
                refuseSlot(step, request.requester, request.request, engine, ResultCode::SlotLost,
                           engineState.rounds[request.request]);
        }
    }
    engineState.queue = FairQueue{};
    engineState.rounds.clear();
}

/// Creates the state of engines that this host now coordinates. The upstreams are only scanned when
/// an input of the assignment has changed: a scan of 3,900 of them at each tick cost more than
/// everything else.
void addCoordinatedEngines(Step &step)
{
    HostState &state = step.state;
    const bool isServing = state.process != ProcessState::Starting;
    const std::tuple from{ state.inForce.ticket.value, state.coordination.views.epoch,
                           viewNumber(state.coordination.candidateHosts), isServing };
    if (from == state.coordination.engineSetInputs)
        return;
    state.coordination.engineSetInputs = from;
    state.coordination.coordinators.clear();
    for (const auto &[id, upstream] : state.inForce.upstreams) {
        const bool isEngine = upstream.kind == UpstreamKind::Engine;
        if (isEngine && !state.coordinatedEngines.contains(id)
            && mayGrant(state, upstream, step.now))
            coordinatedEngine(step, upstream);
    }
}

} // namespace

const Upstream *upstreamInForce(const HostState &state, const UpstreamId &id)
{
    const auto found = state.inForce.upstreams.find(id);
    return found == state.inForce.upstreams.end() ? nullptr : &found->second;
}

void grantReady(Step &step, CoordinatedEngine &engineState, const Upstream &engine)
{
    if (engineState.queue.size == 0 || !mayGrant(step.state, engine, step.now))
        return;
    const auto mayRun = [&engineState](const AdapterRef &adapter) {
        return isLoaded(engineState.adapters, adapter);
    };
    while (engineState.granted.size() < engine.batchSlots) {
        const std::optional<WaitingRequest> request = takeNext(engineState.queue, mayRun);
        if (!request)
            return;
        grantSlot(step, engineState, engine.id, *request);
    }
}

void orderLoads(Step &step, CoordinatedEngine &engineState, const Upstream &engine)
{
    const bool hasEngineState = engineState.engineStart != 0
            || step.now >= engineState.createdAt + firstReportTimeout;
    if (engineState.queue.size == 0 || !hasEngineState || !mayGrant(step.state, engine, step.now))
        return;
    const bool isFree = mayEvict(step.state, engineState, engine, step.now);
    engineState.adapters.noEvictionBefore = isFree ? Instant{} : never;
    while (true) {
        const PlacementStep placement = nextOrder(engineState.adapters, engineState.queue,
                                                  step.now);
        const bool isHeld = placement.kind == PlacementStep::Kind::Load && !mayOrderLoad(step);
        if (placement.kind == PlacementStep::Kind::Nothing || isHeld)
            return;
        sendEngineOrder(step, engineState, engine, placement);
    }
}

void onSlotAsk(Step &step, const HostId &requester, Incarnation incarnation, const SlotAsk &ask)
{
    const Upstream *engine = upstreamInForce(step.state, ask.engine);
    // A host without tickets knows no engine, and a host with a different view may not have caught
    // up yet.
    const bool isCoordinator = engine
            && engineCoordinator(step.state, *engine) == step.state.self.id;
    if (step.state.process == ProcessState::Starting || (engine && !isCoordinator)) {
        refuseSlot(step, requester, ask.request, ask.engine, ResultCode::SlotLost, ask.round);
        return;
    }
    if (!engine || engine->isLeaving) {
        refuseSlot(step, requester, ask.request, ask.engine, ResultCode::NoUpstream, ask.round);
        return;
    }
    CoordinatedEngine &engineState = coordinatedEngine(step, *engine);
    recordSerial(engineState, requester, incarnation, ask.serial);
    const auto granted = engineState.granted.find(ask.request);
    if (granted != engineState.granted.end() && granted->second.round >= ask.round) {
        const bool isRepeat = granted->second.round == ask.round
                && granted->second.nextCancelAt == never;
        if (isRepeat) // the grant was lost in transit
            granted->second.leaseExpiresAt = step.now + slotLease;
        if (isRepeat && mayGrant(step.state, *engine, step.now))
            sendGrant(step, engineState, engine->id, ask.request, granted->second);
        return;
    }
    if (granted != engineState.granted.end()) {
        // An earlier attempt of the request may still run here; the request is sent again in a
        // second.
        beginCancelling(granted->second, step.now, releaseCancelTime);
        return;
    }
    const auto known = engineState.rounds.find(ask.request);
    if (known != engineState.rounds.end()) {
        known->second = std::max(known->second, ask.round);
        return; // a repeated request keeps its place in the queue
    }
    if (engineState.queue.size >= maxQueued) {
        refuseSlot(step, requester, ask.request, ask.engine, ResultCode::QueueFull, ask.round);
        return;
    }
    WaitingRequest request;
    request.request = ask.request;
    request.requester = requester;
    request.customer = ask.customer;
    request.adapter = ask.adapter;
    request.cost = ask.cost;
    request.weight = ask.weight;
    request.deadline = step.now + ask.untilDeadline;
    request.latestStart = latestStart(engineState.rate, ask.cost, request.deadline);
    request.queuedAt = step.now;
    if (isStartTooLate(step, engineState, *engine, request)) {
        refuseSlot(step, requester, ask.request, ask.engine, ResultCode::DeadlineUnreachable,
                   ask.round);
        return;
    }
    engineState.rounds[ask.request] = ask.round;
    enqueue(engineState.queue, std::move(request));
    grantReady(step, engineState, *engine);
    orderLoads(step, engineState, *engine);
}

namespace {

/// Renews \a slot of \a requester, or takes it over from a previous coordinator. Returns false if
/// the adapter may be unloaded while the request runs.
bool renewSlot(Step &step, CoordinatedEngine &engineState, const HostId &requester,
               const RunningSlot &slot)
{
    const auto found = engineState.granted.find(slot.request);
    if (found != engineState.granted.end()) {
        if (found->second.nextCancelAt != never || found->second.round != slot.round)
            return false;
        found->second.leaseExpiresAt = step.now + slotLease;
        return true;
    }
    const auto adapter = engineState.adapters.adapters.find(slot.adapter);
    const bool isKnown = adapter != engineState.adapters.adapters.end();
    const bool isUnloading = isKnown && adapter->second.state == AdapterState::Unloading;
    const bool isAbsent = engineState.engineStart != 0
            && !isLoaded(engineState.adapters, slot.adapter);
    if (isUnloading || isAbsent)
        return false;
    GrantedSlot taken;
    taken.requester = requester;
    taken.adapter = slot.adapter;
    taken.leaseExpiresAt = step.now + slotLease;
    taken.round = slot.round;
    taken.nextCancelAt = never;
    engineState.granted[slot.request] = taken;
    pin(engineState.adapters, slot.adapter, step.now);
    return true;
}

} // namespace

void onSlotRenewal(Step &step, const HostId &requester, Incarnation incarnation,
                   const SlotRenewal &renewal)
{
    const Upstream *engine = upstreamInForce(step.state, renewal.engine);
    if (!engine || !mayGrant(step.state, *engine, step.now))
        return; // the present lease stays valid; the coordinator may renew it in time
    CoordinatedEngine &engineState = coordinatedEngine(step, *engine);
    recordSerial(engineState, requester, incarnation, renewal.serial);
    SlotRenewed renewed{ renewal.engine, renewal.serial, slotLease, {} };
    for (const RunningSlot &slot : renewal.slots) {
        if (slot.isRunning && !renewSlot(step, engineState, requester, slot))
            renewed.lost.push_back(slot.request);
    }
    sendTo(step, requester, std::move(renewed));
}

void onSlotRelease(Step &step, const HostId &requester, const SlotRelease &release)
{
    const auto engineState = step.state.coordinatedEngines.find(release.engine);
    const Upstream *engine = upstreamInForce(step.state, release.engine);
    if (engineState == step.state.coordinatedEngines.end() || !engine)
        return;
    const auto waiting = engineState->second.rounds.find(release.request);
    if (waiting != engineState->second.rounds.end() && waiting->second <= release.round) {
        engineState->second.rounds.erase(waiting);
        remove(engineState->second.queue, release.request);
    }
    const auto slot = engineState->second.granted.find(release.request);
    if (slot != engineState->second.granted.end() && slot->second.round <= release.round
        && slot->second.requester == requester) {
        const GrantedSlot &granted = slot->second;
        const bool isEnding = granted.nextCancelAt != never;
        if (!isEnding && release.used.count > 0 && granted.grantedAt > Instant{})
            recordSlotTime(engineState->second.rate, granted.charged, step.now - granted.grantedAt);
        if (!isEnding)
            correctCharge(engineState->second.queue, granted.customer, granted.weight,
                          granted.charged, release.used);
        if (release.isCancelled) {
            beginCancelling(slot->second, step.now, releaseCancelTime);
        } else {
            unpin(engineState->second.adapters, granted.adapter);
            engineState->second.granted.erase(slot);
        }
    }
    grantReady(step, engineState->second, *engine);
    orderLoads(step, engineState->second, *engine);
}

void updateEngines(Step &step)
{
    HostState &state = step.state;
    addCoordinatedEngines(step);
    for (auto engineState = state.coordinatedEngines.begin();
         engineState != state.coordinatedEngines.end();) {
        const Upstream *engine = upstreamInForce(state, engineState->first);
        const bool isCoordinator = engine && engineCoordinator(state, *engine) == state.self.id;
        if (!isCoordinator && engineState->second.queue.size > 0)
            rejectQueuedRequests(step, engineState->second, engineState->first);
        if (engine)
            updateEngine(step, engineState->second, *engine);
        const bool isDropped = !isCoordinator && engineState->second.granted.empty();
        engineState = isDropped ? state.coordinatedEngines.erase(engineState)
                                : std::next(engineState);
    }
}

} // namespace azurewell::internal
