#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// How long the ends of orders are kept. Load reports that were requested before are not
/// expected any more after this time.
constexpr Span maxReportAge = fromSeconds(10);
/// Maximum number of wanted adapters in a summary; twice the slots of an engine.
constexpr std::size_t maxWantedAdapters = 16;

void clearAdapters(Step &step, CoordinatedEngine &engineState)
{
    std::vector<AdapterRef> known;
    for (const auto &[ref, adapter] : engineState.adapters.adapters)
        known.push_back(ref);
    for (const AdapterRef &ref : known)
        applyEvent(engineState.adapters, step.state.charts.adapter, ref,
                   AdapterEvent::EngineRestarted, step.now);
    engineState.orders.clear();
    engineState.abandonedUnloads.clear();
}

/// Whether \a report was requested after the newest order for \a ref had ended. An older report
/// shows an earlier state: it would bring an unloaded adapter back, or hide a loaded one.
bool isCurrentFor(const CoordinatedEngine &engineState, const LoadReported &report,
                  const AdapterRef &ref)
{
    if (engineState.orders.contains(ref) || engineState.abandonedUnloads.contains(ref))
        return false;
    const auto ended = engineState.orderEndedAt.find(ref);
    return ended == engineState.orderEndedAt.end() || report.queriedAt > ended->second;
}

/// Updates the loaded adapters from \a report and drops those that the engine no longer has.
void reconcile(Step &step, CoordinatedEngine &engineState, const LoadReported &report)
{
    const Chart &chart = step.state.charts.adapter;
    for (const AdapterRef &ref : report.loaded) {
        if (!isLoaded(engineState.adapters, ref) && isCurrentFor(engineState, report, ref))
            applyEvent(engineState.adapters, chart, ref, AdapterEvent::LoadDone, step.now);
    }
    std::vector<AdapterRef> lost;
    for (const auto &[ref, adapter] : engineState.adapters.adapters) {
        const bool isReported = std::find(report.loaded.begin(), report.loaded.end(), ref)
                != report.loaded.end();
        if (adapter.state == AdapterState::Loaded && !isReported
            && isCurrentFor(engineState, report, ref))
            lost.push_back(ref);
    }
    for (const AdapterRef &ref : lost)
        applyEvent(engineState.adapters, chart, ref, AdapterEvent::UnloadDone, step.now);
}

} // namespace

void expireAbandonedUnloads(Step &step, CoordinatedEngine &engineState)
{
    std::erase_if(engineState.abandonedUnloads, [&](const auto &entry) {
        if (entry.second > step.now)
            return false;
        applyEvent(engineState.adapters, step.state.charts.adapter, entry.first,
                   AdapterEvent::UnloadFailed, step.now);
        engineState.orderEndedAt[entry.first] = step.now;
        return true;
    });
}

void onLoadReported(Step &step, const LoadReported &report)
{
    const auto found = step.state.coordinatedEngines.find(report.engine);
    if (found == step.state.coordinatedEngines.end() || !report.isReachable)
        return;
    CoordinatedEngine &engineState = found->second;
    if (report.queriedAt < engineState.newestReportRequestedAt)
        return; // a newer report was processed before
    engineState.newestReportRequestedAt = report.queriedAt;
    if (engineState.engineStart != 0 && engineState.engineStart != report.engineStart)
        clearAdapters(step, engineState);
    engineState.engineStart = report.engineStart;
    std::erase_if(engineState.orderEndedAt,
                  [&step](const auto &entry) { return step.now - entry.second > maxReportAge; });
    reconcile(step, engineState, report);
    // Requests that are not registered here may run on slots of a previous coordinator if their
    // host is suspended or disconnected. The engine then reports more running requests than are
    // granted.
    const bool isAfterLeases = engineState.evictionAllowedFrom != never
            && report.queriedAt >= engineState.evictionAllowedFrom;
    if (isAfterLeases && report.running + report.queued <= engineState.granted.size())
        engineState.hasNoUnknownRequests = true;
    const Upstream *engine = upstreamInForce(step.state, report.engine);
    if (engine)
        grantReady(step, engineState, *engine);
}

void onOrderEnded(Step &step, const OrderEnded &event)
{
    HostState &state = step.state;
    if (event.engineFencing > FencingNumber{}) {
        // Another coordinator has used a higher number; the next order must be above it.
        ++state.counters.ordersRefused;
        state.fencing = std::max(state.fencing, event.engineFencing);
    }
    const auto engineState = state.coordinatedEngines.find(event.engine);
    const Upstream *engine = upstreamInForce(state, event.engine);
    if (engineState == state.coordinatedEngines.end() || !engine)
        return;
    const auto order = engineState->second.orders.find(event.adapter);
    const bool isNumbered = event.fencing > FencingNumber{};
    if (isNumbered && (order == engineState->second.orders.end() || order->second != event.fencing))
        return; // ordered before a restart of the engine, or in an earlier term as its coordinator
    if (order != engineState->second.orders.end())
        engineState->second.orders.erase(order);
    engineState->second.orderEndedAt[event.adapter] = step.now;
    const Chart &chart = state.charts.adapter;
    EngineAdapters &adapters = engineState->second.adapters;
    const auto adapter = adapters.adapters.find(event.adapter);
    if (event.isLoad && adapter != adapters.adapters.end()
        && adapter->second.state == AdapterState::Loading)
        recordLoadEnd(state.loadPacer, listedHosts(state), step.now - adapter->second.orderedAt,
                      step.now);
    if (event.isLoad && !event.isDone) {
        ++state.counters.loadsFailed;
        applyEvent(adapters, chart, event.adapter, AdapterEvent::LoadFailed, step.now);
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        backOff(adapters, event.adapter, jitter(state.random), step.now);
        return;
    }
    if (!event.isLoad && !event.isDone) {
        engineState->second.abandonedUnloads[event.adapter] = step.now + maxOrderTransit;
        return;
    }
    applyEvent(adapters, chart, event.adapter,
               event.isLoad ? AdapterEvent::LoadDone : AdapterEvent::UnloadDone, step.now);
    grantReady(step, engineState->second, *engine);
    // A load has ended: the next one may be for any of the engines coordinated here.
    for (auto &[id, other] : state.coordinatedEngines) {
        if (const Upstream *upstream = upstreamInForce(state, id))
            orderLoads(step, other, *upstream);
    }
}

std::vector<EngineSummary> summarizeEngines(const HostState &state)
{
    std::vector<EngineSummary> summaries;
    for (const auto &[id, engineState] : state.coordinatedEngines) {
        EngineSummary summary;
        summary.engine = id;
        summary.queued = static_cast<std::uint32_t>(engineState.queue.size);
        summary.running = static_cast<std::uint32_t>(engineState.granted.size());
        for (const auto &[ref, adapter] : engineState.adapters.adapters) {
            if (adapter.state == AdapterState::Loaded)
                summary.loaded.push_back(ref);
        }
        summary.openSlots = openSlots(engineState.adapters);
        for (const auto &[ref, count] : engineState.queue.waitingFor) {
            if (!isLoaded(engineState.adapters, ref) && summary.wanted.size() < maxWantedAdapters)
                summary.wanted.push_back(ref);
        }
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

} // namespace azurewell::internal
