#include "azurewell/placement/load_plan.h"
#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

constexpr Span loadReportInterval = fromSeconds(0.5);
/// Requests that wait at one engine; more would wait longer than any caller's deadline.
constexpr std::size_t mostQueued = 1024;
/// A new keeper orders nothing before the engine's first report, which says what occupies its
/// slots, or before this time where no report comes.
constexpr Span reportPatience = fromSeconds(0.25);
/// A load takes a quarter second when the weight store is well and up to ten times that when not.
constexpr Span loadLifetime = fromSeconds(10);
/// After a lease the engine is told to cancel for this long before the adapter is unpinned: the
/// host that held the lease may be stopped, and its stream goes on at the engine.
constexpr Span cancelTime = fromSeconds(2);
constexpr Span cancelInterval = fromSeconds(0.5);
/// The same after a host gave a cancelled request's slot back: it has closed the connection itself.
constexpr Span settleTime = fromSeconds(0.5);

/// The engine as this host keeps it; made on first use, evicting nothing until every lease of a
/// former keeper has run out.
KeptEngine &keptEngine(Step &step, const Upstream &engine)
{
    const auto found = step.state.kept.find(engine.id);
    if (found != step.state.kept.end()) {
        found->second.adapters.slots = engine.adapterSlots;
        return found->second;
    }
    KeptEngine &kept = step.state.kept[engine.id];
    kept.adapters.slots = engine.adapterSlots;
    kept.adapters.noEvictionBefore = never;
    kept.madeAt = step.now;
    if (step.state.keepers.isComplete && mayGrant(step.state, engine, step.now))
        kept.evictFrom = step.now + slotLease;
    step.actions.emplace_back(AskLoad{ engine.id, engine.address, step.now });
    kept.nextLoadReport = step.now + loadReportInterval;
    return kept;
}

void refuseSlot(Step &step, const HostId &asker, const RequestId &request, const UpstreamId &engine,
                ResultCode code, std::uint32_t round)
{
    sendTo(step, asker, SlotRefusal{ request, engine, code, round });
}

void sendGrant(Step &step, const KeptEngine &kept, const UpstreamId &engine,
               const RequestId &request, const GrantedSlot &slot)
{
    const auto newest = kept.newestSerial.find(slot.asker);
    const std::uint64_t basis = newest == kept.newestSerial.end() ? 0 : newest->second.second;
    sendTo(step, slot.asker, SlotGrant{ request, engine, slotLease, basis, slot.round });
}

void grantSlot(Step &step, KeptEngine &kept, const UpstreamId &engine,
               const WaitingRequest &request)
{
    GrantedSlot slot;
    slot.asker = request.asker;
    slot.customer = request.customer;
    slot.adapter = request.adapter;
    slot.charged = request.cost;
    slot.weight = request.weight;
    slot.leaseEnds = step.now + slotLease;
    slot.round = kept.rounds[request.request];
    slot.nextCancel = never;
    kept.rounds.erase(request.request);
    slot.since = step.now;
    kept.granted[request.request] = slot;
    pin(kept.adapters, request.adapter, step.now);
    sendGrant(step, kept, engine, request.request, slot);
}

void orderStep(Step &step, KeptEngine &kept, const Upstream &engine, const PlacementStep &placement)
{
    HostState &state = step.state;
    const bool isLoad = placement.kind == PlacementStep::Kind::Load;
    const AdapterEvent event = isLoad ? AdapterEvent::LoadOrdered : AdapterEvent::UnloadOrdered;
    applyEvent(kept.adapters, state.charts.adapter, placement.adapter, event, step.now);
    state.fencing = FencingNumber{ state.fencing.value + 1 };
    kept.orders[placement.adapter] = state.fencing;
    const Span lifetime = isLoad ? loadLifetime : unloadLifetime;
    step.actions.emplace_back(OrderEngine{ engine.id, engine.address, isLoad, placement.adapter,
                                           state.fencing, step.now + lifetime });
    ++(isLoad ? state.counters.loadsOrdered : state.counters.evictionsOrdered);
}

/// Has the engine told to cancel, and keeps the pin for \a pause meanwhile.
void beginEnding(GrantedSlot &slot, Instant now, Span pause)
{
    if (slot.nextCancel != never)
        return;
    slot.leaseEnds = now;
    slot.nextCancel = now;
    slot.unpinAt = now + pause;
}

/// Ends leases. The host that held one stopped using it earlier by its own count, unless its
/// process is stopped: then its stream still runs at the engine, and an eviction would cut it off.
/// So the engine is told to cancel first, and the pin stays until it has had time to.
void expireLeases(Step &step, KeptEngine &kept, const Upstream &engine)
{
    for (auto entry = kept.granted.begin(); entry != kept.granted.end();) {
        GrantedSlot &slot = entry->second;
        if (slot.leaseEnds <= step.now && slot.nextCancel == never) {
            ++step.state.counters.leasesExpired;
            beginEnding(slot, step.now, cancelTime);
        }
        if (slot.nextCancel <= step.now && !step.state.requests.contains(entry->first)) {
            step.actions.emplace_back(CancelAttempt{ entry->first, engine.id, engine.address });
            slot.nextCancel = step.now + cancelInterval;
        }
        const bool isOver = slot.nextCancel != never && slot.unpinAt <= step.now;
        if (isOver)
            unpin(kept.adapters, slot.adapter);
        entry = isOver ? kept.granted.erase(entry) : std::next(entry);
    }
}

void tendEngine(Step &step, KeptEngine &kept, const Upstream &engine)
{
    endBackOffs(kept.adapters, step.state.charts.adapter, step.now);
    forgetIdle(kept.queue);
    endDoubts(step, kept);
    forgetIdle(kept.queue);
    for (const WaitingRequest &expired : takeExpired(kept.queue, step.now)) {
        refuseSlot(step, expired.asker, expired.request, engine.id, ResultCode::WaitedTooLong,
                   kept.rounds[expired.request]);
        kept.rounds.erase(expired.request);
    }
    expireLeases(step, kept, engine);
    grantReady(step, kept, engine);
    orderLoads(step, kept, engine);
    if (step.now >= kept.nextLoadReport) {
        kept.nextLoadReport = step.now + loadReportInterval;
        step.actions.emplace_back(AskLoad{ engine.id, engine.address, step.now });
    }
}

void noteSerial(KeptEngine &kept, const HostId &asker, Incarnation life, std::uint64_t serial)
{
    auto &newest = kept.newestSerial[asker];
    newest = std::max(newest, std::pair(life, serial));
}

std::uint32_t loadsUnderWay(const HostState &state)
{
    std::uint32_t loads = 0;
    for (const auto &[id, kept] : state.kept)
        loads += azurewell::loadsUnderWay(kept.adapters);
    return loads;
}

bool mayOrderLoad(Step &step)
{
    HostState &state = step.state;
    if (!state.loadPacer.hasBegun) {
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        beginPacing(state.loadPacer, listedHosts(state), jitter(state.random), step.now);
    }
    return mayLoad(state.loadPacer, loadsUnderWay(state), step.now);
}

/// Whether \a request would have to begin after its latest start.
bool isHopeless(const Step &step, const KeptEngine &kept, const Upstream &engine,
                const WaitingRequest &request)
{
    const std::size_t used = kept.granted.size();
    const std::size_t open = used < engine.batchSlots ? engine.batchSlots - used : 0;
    const Span wait = expectedWait(kept.queue, kept.rate, request.customer, request.weight,
                                   engine.batchSlots, static_cast<std::uint32_t>(open));
    return step.now + wait > request.latestStart;
}

/// Sends the requests that wait here to the engine's present keeper.
void handOver(Step &step, KeptEngine &kept, const UpstreamId &engine)
{
    for (const CustomerQueue &customer : kept.queue.customers) {
        for (const AdapterQueue &adapter : customer.adapters) {
            for (const WaitingRequest &request : adapter.waiting)
                refuseSlot(step, request.asker, request.request, engine, ResultCode::SlotLost,
                           kept.rounds[request.request]);
        }
    }
    kept.queue = FairQueue{};
    kept.rounds.clear();
}

/// Takes up the engines that this host has come to keep. The upstreams are only looked through when
/// what decides the keepers has changed: 3,900 of them at each tick cost more than all else.
void takeUpEngines(Step &step)
{
    HostState &state = step.state;
    const bool isServing = state.process != ProcessState::Starting;
    const std::tuple from{ state.inForce.ticket.value, state.keepers.views.epoch,
                           viewNumber(state.keepers.candidate), isServing };
    if (from == state.keepers.keptFrom)
        return;
    state.keepers.keptFrom = from;
    state.keepers.keepers.clear();
    for (const auto &[id, upstream] : state.inForce.upstreams) {
        const bool isEngine = upstream.kind == UpstreamKind::Engine;
        if (isEngine && !state.kept.contains(id) && mayGrant(state, upstream, step.now))
            keptEngine(step, upstream);
    }
}

} // namespace

const Upstream *upstreamInForce(const HostState &state, const UpstreamId &id)
{
    const auto found = state.inForce.upstreams.find(id);
    return found == state.inForce.upstreams.end() ? nullptr : &found->second;
}

void grantReady(Step &step, KeptEngine &kept, const Upstream &engine)
{
    if (kept.queue.size == 0 || !mayGrant(step.state, engine, step.now))
        return;
    const auto mayRun = [&kept](const AdapterRef &adapter) {
        return isLoaded(kept.adapters, adapter);
    };
    while (kept.granted.size() < engine.batchSlots) {
        const std::optional<WaitingRequest> request = takeNext(kept.queue, mayRun);
        if (!request)
            return;
        grantSlot(step, kept, engine.id, *request);
    }
}

void orderLoads(Step &step, KeptEngine &kept, const Upstream &engine)
{
    const bool isInformed = kept.engineStart != 0 || step.now >= kept.madeAt + reportPatience;
    if (kept.queue.size == 0 || !isInformed || !mayGrant(step.state, engine, step.now))
        return;
    const bool isFree = mayEvict(step.state, kept, engine, step.now);
    kept.adapters.noEvictionBefore = isFree ? Instant{} : never;
    while (true) {
        const PlacementStep placement = nextOrder(kept.adapters, kept.queue, step.now);
        const bool isHeld = placement.kind == PlacementStep::Kind::Load && !mayOrderLoad(step);
        if (placement.kind == PlacementStep::Kind::Nothing || isHeld)
            return;
        orderStep(step, kept, engine, placement);
    }
}

void onSlotAsk(Step &step, const HostId &asker, Incarnation life, const SlotAsk &ask)
{
    const Upstream *engine = upstreamInForce(step.state, ask.engine);
    // A host without tickets knows no engine, and one whose view differs may still be followed.
    const bool isKeeper = engine && engineKeeper(step.state, *engine) == step.state.self.id;
    if (step.state.process == ProcessState::Starting || (engine && !isKeeper)) {
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::SlotLost, ask.round);
        return;
    }
    if (!engine || engine->isLeaving) {
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::NoUpstream, ask.round);
        return;
    }
    KeptEngine &kept = keptEngine(step, *engine);
    noteSerial(kept, asker, life, ask.serial);
    const auto granted = kept.granted.find(ask.request);
    if (granted != kept.granted.end() && granted->second.round >= ask.round) {
        const bool isRepeat = granted->second.round == ask.round
                && granted->second.nextCancel == never;
        if (isRepeat) // the grant was lost on its way
            granted->second.leaseEnds = step.now + slotLease;
        if (isRepeat && mayGrant(step.state, *engine, step.now))
            sendGrant(step, kept, engine->id, ask.request, granted->second);
        return;
    }
    if (granted != kept.granted.end()) {
        // An earlier attempt of the request may still run here; it is asked for again in a second.
        beginEnding(granted->second, step.now, settleTime);
        return;
    }
    const auto known = kept.rounds.find(ask.request);
    if (known != kept.rounds.end()) {
        known->second = std::max(known->second, ask.round);
        return; // asked again while it waits; it keeps its place
    }
    if (kept.queue.size >= mostQueued) {
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::QueueFull, ask.round);
        return;
    }
    WaitingRequest request;
    request.request = ask.request;
    request.asker = asker;
    request.customer = ask.customer;
    request.adapter = ask.adapter;
    request.cost = ask.cost;
    request.weight = ask.weight;
    request.deadline = step.now + ask.untilDeadline;
    request.latestStart = latestStart(kept.rate, ask.cost, request.deadline);
    request.since = step.now;
    if (isHopeless(step, kept, *engine, request)) {
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::DeadlineUnreachable,
                   ask.round);
        return;
    }
    kept.rounds[ask.request] = ask.round;
    enqueue(kept.queue, std::move(request));
    grantReady(step, kept, *engine);
    orderLoads(step, kept, *engine);
}

namespace {

/// Renews \a slot of \a asker, or takes it over from a former keeper. False where its adapter is
/// not to be relied on any more: it may be unloaded under the request.
bool renewSlot(Step &step, KeptEngine &kept, const HostId &asker, const RunningSlot &slot)
{
    const auto found = kept.granted.find(slot.request);
    if (found != kept.granted.end()) {
        if (found->second.nextCancel != never || found->second.round != slot.round)
            return false;
        found->second.leaseEnds = step.now + slotLease;
        return true;
    }
    const auto adapter = kept.adapters.adapters.find(slot.adapter);
    const bool isKnown = adapter != kept.adapters.adapters.end();
    const bool isUnloading = isKnown && adapter->second.state == AdapterState::Unloading;
    const bool isAbsent = kept.engineStart != 0 && !isLoaded(kept.adapters, slot.adapter);
    if (isUnloading || isAbsent)
        return false;
    GrantedSlot taken;
    taken.asker = asker;
    taken.adapter = slot.adapter;
    taken.leaseEnds = step.now + slotLease;
    taken.round = slot.round;
    taken.nextCancel = never;
    kept.granted[slot.request] = taken;
    pin(kept.adapters, slot.adapter, step.now);
    return true;
}

} // namespace

void onSlotRenewal(Step &step, const HostId &asker, Incarnation life, const SlotRenewal &renewal)
{
    const Upstream *engine = upstreamInForce(step.state, renewal.engine);
    if (!engine || !mayGrant(step.state, *engine, step.now))
        return; // the lease that it has runs on; the keeper may renew it in time
    KeptEngine &kept = keptEngine(step, *engine);
    noteSerial(kept, asker, life, renewal.serial);
    SlotRenewed renewed{ renewal.engine, renewal.serial, slotLease, {} };
    for (const RunningSlot &slot : renewal.slots) {
        if (slot.isRunning && !renewSlot(step, kept, asker, slot))
            renewed.lost.push_back(slot.request);
    }
    sendTo(step, asker, std::move(renewed));
}

void onSlotRelease(Step &step, const HostId &asker, const SlotRelease &release)
{
    const auto kept = step.state.kept.find(release.engine);
    const Upstream *engine = upstreamInForce(step.state, release.engine);
    if (kept == step.state.kept.end() || !engine)
        return;
    const auto waiting = kept->second.rounds.find(release.request);
    if (waiting != kept->second.rounds.end() && waiting->second <= release.round) {
        kept->second.rounds.erase(waiting);
        remove(kept->second.queue, release.request);
    }
    const auto slot = kept->second.granted.find(release.request);
    if (slot != kept->second.granted.end() && slot->second.round <= release.round
        && slot->second.asker == asker) {
        const GrantedSlot &granted = slot->second;
        const bool isEnding = granted.nextCancel != never;
        if (!isEnding && release.used.count > 0 && granted.since > Instant{})
            noteService(kept->second.rate, granted.charged, step.now - granted.since);
        if (!isEnding)
            correctCharge(kept->second.queue, granted.customer, granted.weight, granted.charged,
                          release.used);
        if (release.isCancelled) {
            beginEnding(slot->second, step.now, settleTime);
        } else {
            unpin(kept->second.adapters, granted.adapter);
            kept->second.granted.erase(slot);
        }
    }
    grantReady(step, kept->second, *engine);
    orderLoads(step, kept->second, *engine);
}

void tendEngines(Step &step)
{
    HostState &state = step.state;
    takeUpEngines(step);
    for (auto kept = state.kept.begin(); kept != state.kept.end();) {
        const Upstream *engine = upstreamInForce(state, kept->first);
        const bool isKeeper = engine && engineKeeper(state, *engine) == state.self.id;
        if (!isKeeper && kept->second.queue.size > 0)
            handOver(step, kept->second, kept->first);
        if (engine)
            tendEngine(step, kept->second, *engine);
        const bool isDropped = !isKeeper && kept->second.granted.empty();
        kept = isDropped ? state.kept.erase(kept) : std::next(kept);
    }
}

} // namespace azurewell::internal
