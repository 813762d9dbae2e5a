#include "engine_slots.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Report interval of an engine without loads or unloads in progress. Other hosts get its load with
/// the updates; the load stated in answers is newer.
constexpr Span idleReportInterval = std::chrono::milliseconds(500);

/// Report interval during loads and unloads: answers of engines are 100 ms old, and a load takes 25
/// ms from host memory and 250 ms otherwise.
constexpr Span loadingReportInterval = std::chrono::milliseconds(70);

/// Report interval at engines whose coordinator sends no updates. With many engines, as after a
/// zone is partitioned, it is longer, as reading a report takes some 0.1 ms and would use up all
/// the time of a small host.
constexpr Span uncoordinatedReportInterval = std::chrono::milliseconds(1000);
constexpr double maxUncoordinatedReportsPerSecond = 15;

/// Timeout of a report query.
constexpr Span reportTimeout = std::chrono::milliseconds(1500);

/// Whether \a report is from before the last order of this host for \a ref. The count of an order
/// whose answer was misread may never be reached; the expected count is corrected then.
bool isBeforeOrder(const OrderedEngine &engine, const AdapterRef &ref, const EngineState &report)
{
    const auto ordered = engine.orderCounts.find(ref);
    return ordered != engine.orderCounts.end()
            && report.ordersTaken < std::min(ordered->second, engine.rights.expectedOrders);
}

/// Handles an adapter that a report shows as ready.
void handleReady(const GatewayState &state, OrderedEngine &engine, const AdapterRef &ref,
                 const EngineState &report, Instant askedAt, Instant now)
{
    const auto unloaded = engine.unloadedAt.find(ref);
    const bool isTooEarly = unloaded != engine.unloadedAt.end()
            && askedAt < unloaded->second + reportLag;
    if (isTooEarly || isBeforeOrder(engine, ref, report))
        return;
    if (stateOf(engine, ref) == AdapterState::Absent)
        applyAdapterEvent(state, engine, ref, AdapterEvent::LoadOrdered, now);
    if (stateOf(engine, ref) != AdapterState::Loading)
        return;
    applyAdapterEvent(state, engine, ref, AdapterEvent::LoadDone, now);
    const auto awaited = engine.awaitedUntil.find(ref);
    if (awaited != engine.awaitedUntil.end())
        awaited->second = now + firstUseTimeout;
}

/// Whether a report that was requested at \a askedAt must show the effect of the last order for
/// \a ref. An order can be delayed while its connection opens, and a report that overtakes it does
/// not show it. If that report were trusted, the slot would be assigned twice, and an engine that
/// is ordered to hold more adapters than it has slots crashes.
bool showsOrder(const OrderedEngine &engine, const AdapterRef &ref, const AdapterOnEngine &adapter,
                Instant askedAt)
{
    const bool isOnItsWay = engine.pendingOrder && refOf(*engine.pendingOrder) == ref;
    const auto unloaded = engine.unloadedAt.find(ref);
    const Instant ordered = adapter.state == AdapterState::Unloading
                    && unloaded != engine.unloadedAt.end()
            ? unloaded->second
            : adapter.orderedAt;
    return !isOnItsWay && askedAt >= ordered + reportLag;
}

/// Handles adapters that a report no longer shows.
void handleMissing(const GatewayState &state, OrderedEngine &engine, const EngineState &report,
                   Instant askedAt, Instant now)
{
    std::vector<AdapterRef> missing;
    for (const auto &[ref, adapter] : engine.adapters.adapters) {
        const ModelName name = nameOf(ref);
        const bool isReported = report.findReady(name) || report.isLoading(name);
        if (!isReported && showsOrder(engine, ref, adapter, askedAt)
            && !isBeforeOrder(engine, ref, report))
            missing.push_back(ref);
    }
    for (const AdapterRef &ref : missing) {
        const AdapterState previousState = stateOf(engine, ref);
        if (previousState == AdapterState::Unloading) {
            applyAdapterEvent(state, engine, ref, AdapterEvent::UnloadDone, now);
            engine.unloadedAt.erase(ref);
        } else if (previousState == AdapterState::Loading) {
            applyAdapterEvent(state, engine, ref, AdapterEvent::LoadFailed, now);
            backOff(engine.adapters, ref, 0.5, now);
        } else if (previousState == AdapterState::Loaded) {
            applyAdapterEvent(state, engine, ref, AdapterEvent::UnloadOrdered, now);
            applyAdapterEvent(state, engine, ref, AdapterEvent::UnloadDone, now);
        }
    }
}

/// Updates the tracked adapters of an engine from a report.
void applyReport(const GatewayState &state, OrderedEngine &engine, const EngineState &report,
                 Instant askedAt, Instant now)
{
    if (report.start != engine.start) {
        engine.adapters.adapters.clear();
        engine.unloadedAt.clear();
        engine.orderCounts.clear();
        engine.adaptersInHostMemory.clear();
        engine.start = report.start;
        engine.nextBaseOrderAt = Instant{};
    }
    for (const LoadingAdapter &adapter : report.loading) {
        const AdapterRef ref = refOf(adapter.name);
        if (stateOf(engine, ref) == AdapterState::Absent)
            applyAdapterEvent(state, engine, ref, AdapterEvent::LoadOrdered, now);
    }
    for (const LoadedAdapter &adapter : report.ready)
        handleReady(state, engine, refOf(adapter.name), report, askedAt, now);
    handleMissing(state, engine, report, askedAt, now);
    std::erase_if(engine.orderCounts,
                  [&](const auto &entry) { return !isBeforeOrder(engine, entry.first, report); });
    endBackOffs(engine.adapters, state.charts.adapter, now);
}

/// Updates the state that requests are routed by: the report without the adapters that were ordered
/// to be unloaded since.
void updateView(Upstream &upstream, const OrderedEngine &engine, const EngineState &report,
                LastEngines &lastEngines, Instant askedAt, Instant now)
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
    setEngine(upstream, std::move(view), lastEngines, now);
}

Span uncoordinatedInterval(const GatewayState &state)
{
    const double engines = static_cast<double>(state.engines.size());
    return std::max(uncoordinatedReportInterval,
                    fromSeconds(engines / maxUncoordinatedReportsPerSecond));
}

Instant nextReport(const GatewayState &state, const OrderedEngine &engine, bool isOwn, Instant now)
{
    if (!isOwn)
        return now + uncoordinatedInterval(state);
    const auto &adapters = engine.adapters.adapters;
    const bool isMoving = std::any_of(adapters.begin(), adapters.end(), [](const auto &entry) {
        return entry.second.state == AdapterState::Loading
                || entry.second.state == AdapterState::Unloading;
    });
    return now + (isMoving ? loadingReportInterval : idleReportInterval);
}

} // namespace

Instant reportDueAt(const GatewayState &state, const Upstream &upstream,
                    const OrderedEngine &engine, bool isOwn)
{
    if (engine.isReportPending)
        return engine.reportRequestedAt + reportTimeout;
    const Instant neededAt = upstream.engine.seenAt + updateValidity(state, upstream);
    return isOwn ? engine.nextReportAt : std::max(engine.nextReportAt, neededAt);
}

void queryReport(const GatewayState &state, const Upstream &upstream, OrderedEngine &engine,
                 bool isOwn, Instant now, Actions &actions)
{
    if (engine.isReportPending && now < engine.reportRequestedAt + reportTimeout)
        return;
    const bool isNeeded = isOwn || now - upstream.engine.seenAt > updateValidity(state, upstream);
    if (!isNeeded || now < engine.nextReportAt)
        return;
    engine.isReportPending = true;
    engine.reportRequestedAt = now;
    engine.nextReportAt = nextReport(state, engine, isOwn, now);
    actions.reports.push_back({ upstream.listed.id, upstream.listed.address });
}

void handle(GatewayState &state, const ReportRead &event, Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(event.engine);
    if (found == state.upstreams.end())
        return;
    OrderedEngine &engine = state.engines[event.engine];
    engine.isReportPending = false;
    wakeEngine(state, event.engine);
    if (!event.state || isOutdated(engine.rights, *event.state))
        return;
    Upstream &upstream = found->second;
    recordReport(engine.rights, *event.state, event.queriedAt, now);
    recordStart(state, upstream, event.state->start, event.queriedAt);
    applyReport(state, engine, *event.state, event.queriedAt, now);
    const EngineState before = upstream.engine;
    updateView(upstream, engine, *event.state, state.lastEngines, event.queriedAt, now);
    upstream.load = { event.state->running, event.state->waiting, upstream.listed.slots };
    upstream.loadAt = event.queriedAt;
    correctWindow(state, upstream, event.state->waiting, event.queriedAt, now);
    const bool isChanged = before.ready != upstream.engine.ready
            || before.models != upstream.engine.models || before.start != upstream.engine.start;
    if (!isChanged)
        return;
    state.changedEngines.insert(event.engine);
    placeWaitingAt(state, event.engine, now, actions);
}

} // namespace azurewell::gateway
