#include "azurewell/placement/load_plan.h"
#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// How long a slot is leased. Long enough that four lost renewals in a row do not end a stream; as
/// short as that because a new keeper evicts nothing for one lease.
constexpr Span slotLease = fromSeconds(10);
constexpr Span loadReportInterval = fromSeconds(0.5);
/// Requests that wait at one engine; more would wait longer than any caller's deadline.
constexpr std::size_t mostQueued = 1024;
/// Adapters a summary names as waited for; twice the slots of an engine.
constexpr std::size_t mostWanted = 16;

const Upstream *upstreamInForce(const HostState &state, const UpstreamId &id)
{
    const auto found = state.inForce.upstreams.find(id);
    return found == state.inForce.upstreams.end() ? nullptr : &found->second;
}

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
    kept.adapters.noEvictionBefore = step.now + slotLease;
    step.actions.emplace_back(AskLoad{ engine.id, engine.address });
    kept.nextLoadReport = step.now + loadReportInterval;
    return kept;
}

void refuseSlot(Step &step, const HostId &asker, const RequestId &request, const UpstreamId &engine,
                ResultCode code)
{
    sendTo(step, asker, SlotRefusal{ request, engine, code });
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
    slot.since = step.now;
    kept.granted[request.request] = slot;
    pin(kept.adapters, request.adapter, step.now);
    sendTo(step, request.asker,
           SlotGrant{ request.request, engine, slotLease, kept.newestSerial[request.asker] });
}

/// Grants slots while the engine has room for requests whose adapter is loaded.
void grantReady(Step &step, KeptEngine &kept, const Upstream &engine)
{
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

void orderStep(Step &step, KeptEngine &kept, const Upstream &engine, const PlacementStep &placement)
{
    HostState &state = step.state;
    const bool isLoad = placement.kind == PlacementStep::Kind::Load;
    const AdapterEvent event = isLoad ? AdapterEvent::LoadOrdered : AdapterEvent::UnloadOrdered;
    applyEvent(kept.adapters, state.charts.adapter, placement.adapter, event, step.now);
    state.fencing = FencingNumber{ state.fencing.value + 1 };
    step.actions.emplace_back(
            OrderEngine{ engine.id, engine.address, isLoad, placement.adapter, state.fencing });
    ++(isLoad ? state.counters.loadsOrdered : state.counters.evictionsOrdered);
}

std::uint32_t loadsUnderWay(const HostState &state)
{
    std::uint32_t loads = 0;
    for (const auto &[id, kept] : state.kept)
        loads += azurewell::loadsUnderWay(kept.adapters);
    return loads;
}

/// Orders loads for adapters that requests wait for, at the pace the weight store takes.
void orderLoads(Step &step, KeptEngine &kept, const Upstream &engine)
{
    while (true) {
        const PlacementStep placement = nextOrder(kept.adapters, kept.queue, step.now);
        const bool isHeld = placement.kind == PlacementStep::Kind::Load
                && !mayLoad(step.state.loadPacer, loadsUnderWay(step.state), step.now);
        if (placement.kind == PlacementStep::Kind::Nothing || isHeld)
            return;
        orderStep(step, kept, engine, placement);
    }
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

void tendEngine(Step &step, KeptEngine &kept, const Upstream &engine)
{
    endBackOffs(kept.adapters, step.state.charts.adapter, step.now);
    forgetIdle(kept.queue);
    for (const WaitingRequest &expired : takeExpired(kept.queue, step.now))
        refuseSlot(step, expired.asker, expired.request, engine.id, ResultCode::WaitedTooLong);
    for (auto slot = kept.granted.begin(); slot != kept.granted.end();) {
        const bool isOver = slot->second.leaseEnds <= step.now;
        if (isOver)
            unpin(kept.adapters, slot->second.adapter);
        slot = isOver ? kept.granted.erase(slot) : std::next(slot);
    }
    grantReady(step, kept, engine);
    orderLoads(step, kept, engine);
    if (step.now >= kept.nextLoadReport) {
        kept.nextLoadReport = step.now + loadReportInterval;
        step.actions.emplace_back(AskLoad{ engine.id, engine.address });
    }
}

/// Engines that this host keeps by the present membership.
bool isKeeper(const HostState &state, const Upstream &engine)
{
    const bool isLeaving = state.process != ProcessState::Serving;
    return keeperOf(state.membership, state.self.id, state.self.zone, isLeaving, engine.id,
                    engine.zone)
            == state.self.id;
}

} // namespace

void onSlotAsk(Step &step, const HostId &asker, const SlotAsk &ask)
{
    const Upstream *engine = upstreamInForce(step.state, ask.engine);
    if (!engine || engine->isLeaving) {
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::NoUpstream);
        return;
    }
    KeptEngine &kept = keptEngine(step, *engine);
    kept.newestSerial[asker] = std::max(kept.newestSerial[asker], ask.serial);
    if (kept.queue.size >= mostQueued) {
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::QueueFull);
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
        refuseSlot(step, asker, ask.request, ask.engine, ResultCode::DeadlineUnreachable);
        return;
    }
    enqueue(kept.queue, std::move(request));
    grantReady(step, kept, *engine);
    orderLoads(step, kept, *engine);
}

void onSlotRenewal(Step &step, const HostId &asker, const SlotRenewal &renewal)
{
    const Upstream *engine = upstreamInForce(step.state, renewal.engine);
    if (!engine)
        return;
    KeptEngine &kept = keptEngine(step, *engine);
    kept.newestSerial[asker] = std::max(kept.newestSerial[asker], renewal.serial);
    for (const RunningSlot &slot : renewal.slots) {
        const auto found = kept.granted.find(slot.request);
        if (found != kept.granted.end()) {
            found->second.leaseEnds = step.now + slotLease;
        } else if (slot.isRunning) {
            // Granted by a former keeper: pinned here from now on.
            GrantedSlot taken;
            taken.asker = asker;
            taken.adapter = slot.adapter;
            taken.leaseEnds = step.now + slotLease;
            kept.granted[slot.request] = taken;
            pin(kept.adapters, slot.adapter, step.now);
        }
    }
    sendTo(step, asker, SlotRenewed{ renewal.engine, renewal.serial, slotLease });
}

void onSlotRelease(Step &step, const SlotRelease &release)
{
    const auto kept = step.state.kept.find(release.engine);
    const Upstream *engine = upstreamInForce(step.state, release.engine);
    if (kept == step.state.kept.end() || !engine)
        return;
    const auto slot = kept->second.granted.find(release.request);
    if (slot == kept->second.granted.end()) {
        remove(kept->second.queue, release.request);
    } else {
        const GrantedSlot &granted = slot->second;
        if (release.used.count > 0 && granted.since > Instant{})
            noteService(kept->second.rate, granted.charged, step.now - granted.since);
        correctCharge(kept->second.queue, granted.customer, granted.weight, granted.charged,
                      release.used);
        unpin(kept->second.adapters, granted.adapter);
        kept->second.granted.erase(slot);
    }
    grantReady(step, kept->second, *engine);
    orderLoads(step, kept->second, *engine);
}

void onLoadReported(Step &step, const LoadReported &report)
{
    const auto found = step.state.kept.find(report.engine);
    if (found == step.state.kept.end() || !report.isReachable)
        return;
    KeptEngine &kept = found->second;
    const Chart &chart = step.state.charts.adapter;
    const bool hasRestarted = kept.engineStart != 0 && kept.engineStart != report.engineStart;
    kept.engineStart = report.engineStart;
    if (hasRestarted) {
        std::vector<AdapterRef> known;
        for (const auto &[ref, adapter] : kept.adapters.adapters)
            known.push_back(ref);
        for (const AdapterRef &ref : known)
            applyEvent(kept.adapters, chart, ref, AdapterEvent::EngineRestarted, step.now);
    }
    // What a former keeper had loaded serves at once.
    for (const AdapterRef &ref : report.loaded) {
        if (!kept.adapters.adapters.contains(ref))
            applyEvent(kept.adapters, chart, ref, AdapterEvent::LoadDone, step.now);
    }
    const Upstream *engine = upstreamInForce(step.state, report.engine);
    if (engine)
        grantReady(step, kept, *engine);
}

void onOrderEnded(Step &step, const OrderEnded &event)
{
    const auto kept = step.state.kept.find(event.engine);
    const Upstream *engine = upstreamInForce(step.state, event.engine);
    if (kept == step.state.kept.end() || !engine)
        return;
    const Chart &chart = step.state.charts.adapter;
    EngineAdapters &adapters = kept->second.adapters;
    const auto adapter = adapters.adapters.find(event.adapter);
    if (event.isLoad && adapter != adapters.adapters.end()
        && adapter->second.state == AdapterState::Loading)
        noteLoadEnded(step.state.loadPacer, step.now - adapter->second.orderedAt, step.now);
    if (event.isLoad && !event.isDone) {
        ++step.state.counters.loadsFailed;
        applyEvent(adapters, chart, event.adapter, AdapterEvent::LoadFailed, step.now);
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        backOff(adapters, event.adapter, jitter(step.state.random), step.now);
        return;
    }
    const AdapterEvent unloaded = event.isDone ? AdapterEvent::UnloadDone
                                               : AdapterEvent::UnloadFailed;
    applyEvent(adapters, chart, event.adapter, event.isLoad ? AdapterEvent::LoadDone : unloaded,
               step.now);
    grantReady(step, kept->second, *engine);
    // A load has ended: the next may be for any of the engines kept here.
    for (auto &[id, other] : step.state.kept) {
        if (const Upstream *upstream = upstreamInForce(step.state, id))
            orderLoads(step, other, *upstream);
    }
}

void tendEngines(Step &step)
{
    HostState &state = step.state;
    for (const auto &[id, upstream] : state.inForce.upstreams) {
        if (upstream.kind != UpstreamKind::Engine)
            continue;
        const bool isKept = state.kept.contains(id);
        if (!isKept && isKeeper(state, upstream))
            keptEngine(step, upstream);
    }
    for (auto kept = state.kept.begin(); kept != state.kept.end();) {
        const Upstream *engine = upstreamInForce(state, kept->first);
        if (engine)
            tendEngine(step, kept->second, *engine);
        const bool isIdle = kept->second.granted.empty() && kept->second.queue.size == 0;
        const bool isDropped = isIdle && (!engine || !isKeeper(state, *engine));
        kept = isDropped ? state.kept.erase(kept) : std::next(kept);
    }
}

std::vector<EngineSummary> summarizeEngines(const HostState &state)
{
    std::vector<EngineSummary> summaries;
    for (const auto &[id, kept] : state.kept) {
        EngineSummary summary;
        summary.engine = id;
        summary.queued = static_cast<std::uint32_t>(kept.queue.size);
        summary.running = static_cast<std::uint32_t>(kept.granted.size());
        for (const auto &[ref, adapter] : kept.adapters.adapters) {
            if (adapter.state == AdapterState::Loaded)
                summary.loaded.push_back(ref);
        }
        summary.openSlots = openSlots(kept.adapters);
        for (const auto &[ref, count] : kept.queue.waitingFor) {
            if (!isLoaded(kept.adapters, ref) && summary.wanted.size() < mostWanted)
                summary.wanted.push_back(ref);
        }
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

} // namespace azurewell::internal
