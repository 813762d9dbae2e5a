#include "azurewell/proxy/proxy_metrics.h"

#include "azurewell/logging/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace azurewell {

namespace {

/// Upper bounds in seconds, from a request on a warm connection to the longest deadline of a
/// caller.
const std::vector<double> bucketEdges{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32
};

void addCounter(std::string &out, std::string_view name, std::uint64_t value)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {0} counter\n{0} {1}\n", name, value);
}

void addGauge(std::string &out, std::string_view name, double value)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {0} gauge\n{0} {1}\n", name, value);
}

void addByCode(std::string &out, std::string_view name,
               const std::map<ResultCode, std::uint64_t> &counts)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {} counter\n", name);
    for (const auto &[code, count] : counts)
        fmt::format_to(std::back_inserter(out), "{}{{reason=\"{}\"}} {}\n", name, infoOf(code).name,
                       count);
}

template <typename Value>
void addByLabel(std::string &out, std::string_view name, std::string_view label,
                const std::map<Value, std::uint64_t> &counts)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {} counter\n", name);
    for (const auto &[value, count] : counts)
        fmt::format_to(std::back_inserter(out), "{}{{{}=\"{}\"}} {}\n", name, label,
                       gateway::nameOf(value), count);
}

template <typename Reason>
void addByReason(std::string &out, std::string_view name,
                 const std::map<Reason, std::uint64_t> &counts)
{
    addByLabel(out, name, "reason", counts);
}

void addByFraming(std::string &out, const std::map<BodyFraming, std::uint64_t> &counts)
{
    fmt::format_to(std::back_inserter(out), "# TYPE azurewell_answer_heads_total counter\n");
    for (const auto &[framing, count] : counts)
        fmt::format_to(std::back_inserter(out),
                       "azurewell_answer_heads_total{{framing=\"{}\"}} {}\n", nameOf(framing),
                       count);
}

void addPlatformReads(std::string &out, const gateway::PlatformReader &reader, Instant now)
{
    addCounter(out, "azurewell_store_calls_total", reader.calls);
    addByReason(out, "azurewell_store_call_failures_total", reader.failures);
    if (reader.answeredAt.micros != 0)
        addGauge(out, "azurewell_store_answer_age_seconds", toSeconds(now - reader.answeredAt));
}

void addSentTo(std::string &out, const gateway::SentCounts &sent, std::string_view metric,
               std::uint64_t gateway::SentCount::*value)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {} counter\n", metric);
    for (const auto &[kind, byZone] : sent) {
        const std::string_view name = gateway::nameOf(kind);
        fmt::format_to(std::back_inserter(out), "{}{{kind=\"{}\",to=\"zone\"}} {}\n", metric, name,
                       byZone.inZone.*value);
        fmt::format_to(std::back_inserter(out), "{}{{kind=\"{}\",to=\"elsewhere\"}} {}\n", metric,
                       name, byZone.inOtherZones.*value);
    }
}

void addPacing(std::string &out, const gateway::PacingCounters &pacing)
{
    using ByPriority = gateway::PacingCounters::ByPriority;
    const std::pair<std::string_view, const ByPriority *> decisions[] = {
        { "admitted", &pacing.admittedAtOnce },
        { "queued", &pacing.queued },
        { "admitted_later", &pacing.admittedFromQueue },
        { "unservable", &pacing.unservable }
    };
    fmt::format_to(std::back_inserter(out), "# TYPE azurewell_prompt_admissions_total counter\n");
    for (const auto &[name, counts] : decisions) {
        for (std::size_t level = 0; level < counts->size(); ++level) {
            if ((*counts)[level] > 0)
                fmt::format_to(
                        std::back_inserter(out),
                        "azurewell_prompt_admissions_total{{decision=\"{}\",priority=\"{}\"}} {}\n",
                        name, level, (*counts)[level]);
        }
    }
    addCounter(out, "azurewell_prompt_admissions_reserved_total", pacing.reserved);
    addCounter(out, "azurewell_prompt_reports_lost_total", pacing.expired);
}

std::ptrdiff_t countLimited(const gateway::GatewayState &state, Instant now)
{
    return std::count_if(state.upstreams.begin(), state.upstreams.end(), [now](const auto &entry) {
        return gateway::isInForce(entry.second.limit, now);
    });
}

std::ptrdiff_t countCold(const gateway::GatewayState &state, Instant now)
{
    return std::count_if(state.upstreams.begin(), state.upstreams.end(),
                         [now](const auto &entry) { return gateway::isCold(entry.second, now); });
}

std::ptrdiff_t countUnreachableServices(const gateway::GatewayState &state)
{
    return std::count_if(state.paths.begin(), state.paths.end(), [](const auto &entry) {
        return entry.second.state == gateway::PathState::Lost;
    });
}

void addCallers(std::string &out, const ProxyMetrics &metrics)
{
    addCounter(out, "azurewell_callers_accepted_total", metrics.callersAccepted);
    addCounter(out, "azurewell_connections_closed_unread_total", metrics.connectionsRejected);
    addGauge(out, "azurewell_callers_unread", static_cast<double>(metrics.callersUnread));
    addGauge(out, "azurewell_usual_unread_wait_seconds", toSeconds(metrics.usualUnreadWait));
    addCounter(out, "azurewell_bad_requests_total", metrics.badRequests);
    addCounter(out, "azurewell_pipelined_dropped_total", metrics.pipelinedDropped);
    addCounter(out, "azurewell_idle_callers_closed_total", metrics.idleCallersClosed);
    addCounter(out, "azurewell_refused_for_memory_total", metrics.refusedForMemory);
    addCounter(out, "azurewell_unread_answers_ended_total", metrics.unreadAnswersEnded);
    addGauge(out, "azurewell_caller_memory_bytes", static_cast<double>(metrics.callerMemoryHeld));
    addGauge(out, "azurewell_caller_memory_limit_bytes",
             static_cast<double>(metrics.callerMemoryLimit));
}

void addHistogram(std::string &out, std::string_view name, const TimeHistogram &histogram)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {} histogram\n", name);
    double total = 0;
    for (int i = -1; i < histogram.buckets.axis().size(); ++i) {
        total += histogram.buckets.at(i);
        fmt::format_to(std::back_inserter(out), "{}_bucket{{le=\"{}\"}} {}\n", name,
                       bucketEdges[static_cast<std::size_t>(i) + 1], total);
    }
    fmt::format_to(std::back_inserter(out),
                   "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name,
                   histogram.count, histogram.sum);
}

} // namespace

TimeHistogram::TimeHistogram()
    : buckets(
            boost::histogram::make_histogram(boost::histogram::axis::variable<double>(bucketEdges)))
{
}

void TimeHistogram::add(Span span)
{
    const double seconds = toSeconds(span);
    this->buckets(seconds);
    this->sum += seconds;
    ++this->count;
}

std::string metricsText(const gateway::GatewayState &state, const ProxyMetrics &metrics,
                        std::size_t upstreamConnections, std::size_t callers, Instant now)
{
    const gateway::Counters &counters = state.counters;
    std::string out;
    addCounter(out, "azurewell_requests_total", counters.requests);
    addCounter(out, "azurewell_dispatches_total", counters.dispatched);
    addCounter(out, "azurewell_answers_total", counters.answered);
    addByLabel(out, "azurewell_callers_left_total", "stage", counters.callersLeft);
    addCounter(out, "azurewell_crash_suspicions_total", state.quarantine.suspicionsRecorded);
    addCounter(out, "azurewell_crash_suspicions_refuted_total", state.quarantine.suspicionsRefuted);
    addCounter(out, "azurewell_prompt_parts_unreadable_total", counters.unreadableParts);
    addCounter(out, "azurewell_leaving_stated_total", counters.leavingStated);
    addCounter(out, "azurewell_statements_unreadable_total", metrics.malformedStatements);
    addCounter(out, "azurewell_load_values_ignored_total", counters.ignoredLoadValues);
    addCounter(out, "azurewell_pauses_stated_total", counters.pausesStated);
    addGauge(out, "azurewell_upstreams_limited", static_cast<double>(countLimited(state, now)));
    addGauge(out, "azurewell_upstreams_cold", static_cast<double>(countCold(state, now)));
    addCounter(out, "azurewell_forwards_total", counters.forwarded);
    addCounter(out, "azurewell_forwards_received_total", counters.forwardsReceived);
    addCounter(out, "azurewell_peer_connections_rejected_total", metrics.peerConnectionsRejected);
    addCounter(out, "azurewell_path_probes_total", counters.probes);
    addCounter(out, "azurewell_crash_checks_total", counters.crashChecks);
    addGauge(out, "azurewell_services_unreachable",
             static_cast<double>(countUnreachableServices(state)));
    addGauge(out, "azurewell_zones_evacuated",
             static_cast<double>(state.evacuations.closesAt.size()));
    addGauge(
            out, "azurewell_requests_quarantined",
            static_cast<double>(countQuarantined(state.quarantine, gateway::SuspectKind::Request)));
    addGauge(out, "azurewell_prompt_parts_quarantined",
             static_cast<double>(
                     countQuarantined(state.quarantine, gateway::SuspectKind::PromptPart)));
    addCallers(out, metrics);
    addByFraming(out, metrics.answersByFraming);
    addCounter(out, "azurewell_answers_truncated_total", metrics.truncatedAnswers);
    addCounter(out, "azurewell_answers_oversized_total", metrics.oversizedAnswers);
    addCounter(out, "azurewell_call_answers_oversized_total", metrics.oversizedCallAnswers);
    addCounter(out, "azurewell_connection_faults_total", metrics.connectionFaults);
    addCounter(out, "azurewell_stream_origins_recorded_total", counters.origins.recorded);
    addCounter(out, "azurewell_stream_origins_sent_total", counters.origins.sent);
    addCounter(out, "azurewell_origin_questions_total", counters.origins.questions);
    addCounter(out, "azurewell_origin_answers_total", counters.origins.answersGiven);
    addCounter(out, "azurewell_resumptions_known_here_total", counters.origins.ownAnswers);
    addCounter(out, "azurewell_resumptions_known_elsewhere_total", counters.origins.answersTaken);
    addCounter(out, "azurewell_resumptions_unknown_total", counters.origins.unknown);
    addCounter(out, "azurewell_resumptions_version_gone_total", counters.origins.versionsGone);
    addCounter(out, "azurewell_stream_versions_changed_total", counters.origins.changedVersions);
    addPacing(out, counters.pacing);
    addByCode(out, "azurewell_refusals_total", counters.refusals);
    addByCode(out, "azurewell_retries_total", counters.retries);
    addCounter(out, "azurewell_adapter_loads_total", counters.loadsOrdered);
    addCounter(out, "azurewell_adapter_unloads_total", counters.unloadsOrdered);
    addCounter(out, "azurewell_base_loads_total", counters.baseLoadsOrdered);
    addByReason(out, "azurewell_engine_orders_total", counters.orderOutcomes);
    addByReason(out, "azurewell_engine_ordering_ends_total", counters.orderingEnds);
    addSentTo(out, counters.sent, "azurewell_host_messages_total", &gateway::SentCount::messages);
    addSentTo(out, counters.sent, "azurewell_host_message_bytes_total", &gateway::SentCount::bytes);
    addCounter(out, "azurewell_host_messages_received_total", counters.gossipReceived);
    addCounter(out, "azurewell_engine_looks_total", counters.enginePolls);
    addCounter(out, "azurewell_wake_ups_total", metrics.wakeUps);
    addCounter(out, "azurewell_log_lines_left_out_total", droppedLogLines());
    addHistogram(out, "azurewell_first_byte_seconds", metrics.timeToFirstByte);
    addHistogram(out, "azurewell_request_seconds", metrics.requestDuration);
    addHistogram(out, "azurewell_between_pieces_seconds", metrics.timeBetweenChunks);
    addHistogram(out, "azurewell_placing_seconds", metrics.timeToDispatch);
    addHistogram(out, "azurewell_report_seconds", metrics.reportDuration);
    addGauge(out, "azurewell_configuration_version",
             static_cast<double>(state.configuration.version));
    addGauge(out, "azurewell_known_revision",
             static_cast<double>(state.published.position.revision));
    addGauge(out, "azurewell_store_era", static_cast<double>(state.published.era));
    addGauge(out, "azurewell_store_items_held", static_cast<double>(state.published.held.size()));
    addCounter(out, "azurewell_store_era_changes_total", state.published.eraChanges);
    addPlatformReads(out, state.platformReader, now);
    addGauge(out, "azurewell_hosts_heard",
             static_cast<double>(gateway::countReachable(state.members, now)));
    addGauge(out, "azurewell_hosts_known", static_cast<double>(gateway::countKnown(state.members)));
    addGauge(out, "azurewell_requests_open", static_cast<double>(state.requests.size()));
    addGauge(out, "azurewell_requests_waiting", static_cast<double>(state.waiting.size()));
    addGauge(out, "azurewell_upstream_connections", static_cast<double>(upstreamConnections));
    addGauge(out, "azurewell_caller_connections", static_cast<double>(callers));
    double held = 0;
    for (const auto &[id, engine] : state.engines)
        held += engine.rights.isCoordinating ? 1 : 0;
    addGauge(out, "azurewell_engines_ordered", held);
    fmt::format_to(std::back_inserter(out), "# TYPE azurewell_customer_tokens_in_window gauge\n");
    for (const auto &[customer, meter] : state.meters)
        fmt::format_to(std::back_inserter(out),
                       "azurewell_customer_tokens_in_window{{customer=\"{}\"}} {}\n",
                       customer.value, meter.own.window.sum);
    return out;
}

} // namespace azurewell
