#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// Ends of orders are remembered this long; no report that was asked for earlier is still to come.
constexpr Span longestReport = fromSeconds(10);
/// Adapters a summary names as waited for; twice the slots of an engine.
constexpr std::size_t mostWanted = 16;

void forgetAdapters(Step &step, KeptEngine &kept)
{
    std::vector<AdapterRef> known;
    for (const auto &[ref, adapter] : kept.adapters.adapters)
        known.push_back(ref);
    for (const AdapterRef &ref : known)
        applyEvent(kept.adapters, step.state.charts.adapter, ref, AdapterEvent::EngineRestarted,
                   step.now);
    kept.orders.clear();
    kept.doubtfulUntil.clear();
}

/// Whether \a report was asked for after the newest order for \a ref had ended. An older one shows
/// the engine as it was before: it would bring an unloaded adapter back, or hide a loaded one.
bool tellsOf(const KeptEngine &kept, const LoadReported &report, const AdapterRef &ref)
{
    if (kept.orders.contains(ref) || kept.doubtfulUntil.contains(ref))
        return false;
    const auto ended = kept.orderEndedAt.find(ref);
    return ended == kept.orderEndedAt.end() || report.askedAt > ended->second;
}

/// Takes over what the engine has loaded, and drops what it has lost.
void reconcile(Step &step, KeptEngine &kept, const LoadReported &report)
{
    const Chart &chart = step.state.charts.adapter;
    for (const AdapterRef &ref : report.loaded) {
        if (!isLoaded(kept.adapters, ref) && tellsOf(kept, report, ref))
            applyEvent(kept.adapters, chart, ref, AdapterEvent::LoadDone, step.now);
    }
    std::vector<AdapterRef> lost;
    for (const auto &[ref, adapter] : kept.adapters.adapters) {
        const bool isReported = std::find(report.loaded.begin(), report.loaded.end(), ref)
                != report.loaded.end();
        if (adapter.state == AdapterState::Loaded && !isReported && tellsOf(kept, report, ref))
            lost.push_back(ref);
    }
    for (const AdapterRef &ref : lost)
        applyEvent(kept.adapters, chart, ref, AdapterEvent::UnloadDone, step.now);
}

} // namespace

void endDoubts(Step &step, KeptEngine &kept)
{
    std::erase_if(kept.doubtfulUntil, [&](const auto &entry) {
        if (entry.second > step.now)
            return false;
        applyEvent(kept.adapters, step.state.charts.adapter, entry.first,
                   AdapterEvent::UnloadFailed, step.now);
        kept.orderEndedAt[entry.first] = step.now;
        return true;
    });
}

void onLoadReported(Step &step, const LoadReported &report)
{
    const auto found = step.state.kept.find(report.engine);
    if (found == step.state.kept.end() || !report.isReachable)
        return;
    KeptEngine &kept = found->second;
    if (report.askedAt < kept.newestReportAsked)
        return; // overtaken by a newer one
    kept.newestReportAsked = report.askedAt;
    if (kept.engineStart != 0 && kept.engineStart != report.engineStart)
        forgetAdapters(step, kept);
    kept.engineStart = report.engineStart;
    std::erase_if(kept.orderEndedAt,
                  [&step](const auto &entry) { return step.now - entry.second > longestReport; });
    reconcile(step, kept, report);
    // Requests that nobody registered here can run on slots of a former keeper, their host stopped
    // or cut off. They show as more running than granted.
    const bool isAfterLeases = kept.evictFrom != never && report.askedAt >= kept.evictFrom;
    if (isAfterLeases && report.running + report.queued <= kept.granted.size())
        kept.isQuiet = true;
    const Upstream *engine = upstreamInForce(step.state, report.engine);
    if (engine)
        grantReady(step, kept, *engine);
}

void onOrderEnded(Step &step, const OrderEnded &event)
{
    HostState &state = step.state;
    if (event.refusedBy > FencingNumber{}) {
        // Another keeper has gone further; the next order has to be above its number.
        ++state.counters.ordersRefused;
        state.fencing = std::max(state.fencing, event.refusedBy);
    }
    const auto kept = state.kept.find(event.engine);
    const Upstream *engine = upstreamInForce(state, event.engine);
    if (kept == state.kept.end() || !engine)
        return;
    const auto order = kept->second.orders.find(event.adapter);
    const bool isNumbered = event.fencing > FencingNumber{};
    if (isNumbered && (order == kept->second.orders.end() || order->second != event.fencing))
        return; // ordered before the engine restarted, or in an earlier term as its keeper
    if (order != kept->second.orders.end())
        kept->second.orders.erase(order);
    kept->second.orderEndedAt[event.adapter] = step.now;
    const Chart &chart = state.charts.adapter;
    EngineAdapters &adapters = kept->second.adapters;
    const auto adapter = adapters.adapters.find(event.adapter);
    if (event.isLoad && adapter != adapters.adapters.end()
        && adapter->second.state == AdapterState::Loading)
        noteLoadEnded(state.loadPacer, listedHosts(state), step.now - adapter->second.orderedAt,
                      step.now);
    if (event.isLoad && !event.isDone) {
        ++state.counters.loadsFailed;
        applyEvent(adapters, chart, event.adapter, AdapterEvent::LoadFailed, step.now);
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        backOff(adapters, event.adapter, jitter(state.random), step.now);
        return;
    }
    if (!event.isLoad && !event.isDone) {
        kept->second.doubtfulUntil[event.adapter] = step.now + orderFlight;
        return;
    }
    applyEvent(adapters, chart, event.adapter,
               event.isLoad ? AdapterEvent::LoadDone : AdapterEvent::UnloadDone, step.now);
    grantReady(step, kept->second, *engine);
    // A load has ended: the next may be for any of the engines kept here.
    for (auto &[id, other] : state.kept) {
        if (const Upstream *upstream = upstreamInForce(state, id))
            orderLoads(step, other, *upstream);
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
