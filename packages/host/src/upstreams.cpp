#include "azurewell/routing/rendezvous.h"
#include "internal.h"

namespace azurewell::internal {

namespace {

/// Consecutive failures after which an upstream is ejected, that is, gets no requests for a while.
constexpr std::uint32_t failuresToEject = 3;
constexpr Span ejectionDuration = fromSeconds(5);
/// Minimum duration of a stream before its token rate is recorded: some fifty tokens of a healthy
/// engine, five of one that is ten times slower.
constexpr Span minRateSampleTime = fromSeconds(2);

const AdapterRef noAdapter;

} // namespace

std::optional<UpstreamId> chooseFor(Step &step, const RequestRecord &record)
{
    const HostState &state = step.state;
    const std::uint64_t salt = stableHash(record.arrival.request.value);
    if (record.arrival.kind == RequestKind::ServiceCall) {
        const RouteRequest ask{ record.arrival.service.value, noAdapter, salt,
                                record.excludedUpstreams };
        return chooseUpstream(state.routing, ask, step.now);
    }
    const std::optional<AdapterView> adapter = state.inForce.adapters.find(record.arrival.adapter);
    if (!adapter)
        return std::nullopt;
    const RouteRequest ask{ *adapter->baseModel, record.arrival.adapter, salt,
                            record.excludedUpstreams };
    return chooseUpstream(state.routing, ask, step.now);
}

void countRouted(Step &step, RequestRecord &record)
{
    uncountRouted(step, record);
    const bool isCall = record.arrival.kind == RequestKind::ServiceCall;
    recordSent(step.state.routing, record.upstream, isCall ? noAdapter : record.arrival.adapter,
               step.now);
    record.isRouted = true;
}

void uncountRouted(Step &step, RequestRecord &record)
{
    if (record.isRouted)
        recordEnded(step.state.routing, record.upstream);
    record.isRouted = false;
}

void recordStreamRate(Step &step, RequestRecord &record, bool isWhole)
{
    const Span took = step.now - record.dispatchedAt;
    const bool isKnown = took >= minRateSampleTime && !record.isStreamRateRecorded;
    if (record.arrival.kind != RequestKind::Completion || !(isWhole || isKnown))
        return;
    record.isStreamRateRecorded = true;
    const std::optional<Span> held = isWhole ? std::optional<Span>(took) : std::nullopt;
    recordPace(step.state.routing, record.upstream, record.generated - record.resumedFrom, took,
               held, step.now);
}

void setUpstreamState(Step &step, const UpstreamId &id, UpstreamEvent event)
{
    UpstreamHealth &upstream = step.state.upstreams[id];
    upstream.state = advance(step.state.charts.upstream, upstream.state, event);
    setState(step.state.routing, id, upstream.state);
}

void recordUpstreamOutcome(Step &step, const UpstreamId &id, AttemptOutcome outcome)
{
    UpstreamHealth &upstream = step.state.upstreams[id];
    if (outcome == AttemptOutcome::Cancelled)
        return; // says nothing about the upstream
    if (outcome == AttemptOutcome::Done) {
        upstream.consecutiveFailures = 0;
        setUpstreamState(step, id, UpstreamEvent::Answered);
        return;
    }
    if (outcome == AttemptOutcome::Mismatch)
        ++step.state.counters.answerMismatches;
    ++upstream.consecutiveFailures;
    if (upstream.consecutiveFailures >= failuresToEject
        && accepts(step.state.charts.upstream, upstream.state, UpstreamEvent::Failed)) {
        setUpstreamState(step, id, UpstreamEvent::Failed);
        upstream.ejectedUntil = step.now + ejectionDuration;
    }
}

void endEjections(Step &step)
{
    for (const auto &[id, upstream] : step.state.upstreams) {
        if (upstream.state == UpstreamState::Ejected && upstream.ejectedUntil <= step.now)
            setUpstreamState(step, id, UpstreamEvent::EjectionOver);
    }
}

void recordSummaries(Step &step, const std::vector<EngineSummary> &summaries)
{
    for (const EngineSummary &summary : summaries) {
        EngineReport report;
        report.running = summary.running;
        report.queued = summary.queued;
        report.openSlots = summary.openSlots;
        report.loaded = summary.loaded;
        report.keepsLoaded = summary.isPartial;
        report.wanted = summary.wanted;
        recordReport(step.state.routing, summary.engine, std::move(report), step.now);
    }
}

} // namespace azurewell::internal
