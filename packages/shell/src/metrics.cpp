#include "azurewell/shell/metrics.h"

#include <fmt/format.h>

namespace azurewell {

namespace {

/// Bucket bounds in seconds; 0.31 s is the target for the first token.
const std::vector<double> bounds{ 0.0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                  0.2, 0.31,   0.5,   1.0,   2.0,   5.0,  10.0, 30.0, 120.0 };

LatencyHistogram makeLatencyHistogram()
{
    return boost::histogram::make_histogram(boost::histogram::axis::variable<double>(bounds));
}

std::string counterText(std::string_view name, std::string_view help, std::uint64_t value)
{
    return fmt::format(
            "# HELP azurewell_{0} {1}\n# TYPE azurewell_{0} counter\nazurewell_{0} {2}\n", name,
            help, value);
}

std::string gaugeText(std::string_view name, std::string_view help, double value)
{
    return fmt::format("# HELP azurewell_{0} {1}\n# TYPE azurewell_{0} gauge\nazurewell_{0} {2}\n",
                       name, help, value);
}

std::string histogramText(std::string_view name, std::string_view help,
                          const LatencyHistogram &histogram, double sum)
{
    std::string text = fmt::format("# HELP azurewell_{0} {1}\n# TYPE azurewell_{0} histogram\n",
                                   name, help);
    std::uint64_t cumulative = 0;
    for (int index = 0; index < histogram.axis().size(); ++index) {
        cumulative += static_cast<std::uint64_t>(histogram.at(index));
        text += fmt::format("azurewell_{}_bucket{{le=\"{}\"}} {}\n", name,
                            bounds[static_cast<std::size_t>(index) + 1], cumulative);
    }
    cumulative += static_cast<std::uint64_t>(histogram.at(histogram.axis().size()));
    text += fmt::format("azurewell_{0}_bucket{{le=\"+Inf\"}} {1}\nazurewell_{0}_sum "
                        "{2}\nazurewell_{0}_count {1}\n",
                        name, cumulative, sum);
    return text;
}

std::string refusalsText(const Counters &counters)
{
    std::string text = "# HELP azurewell_refusals_total Refused requests by reason.\n# TYPE "
                       "azurewell_refusals_total counter\n";
    for (const ResultCodeInfo &info : resultCodeTable()) {
        const auto found = counters.refusals.find(info.code);
        const std::uint64_t count = found == counters.refusals.end() ? 0 : found->second;
        if (info.code != ResultCode::Ok && info.code < ResultCode::SettingsInvalid)
            text += fmt::format("azurewell_refusals_total{{reason=\"{}\"}} {}\n", info.name, count);
    }
    return text;
}

std::string retriesText(const Counters &counters)
{
    std::string text = "# HELP azurewell_retries_total Retries by reason.\n# TYPE "
                       "azurewell_retries_total counter\n";
    for (std::size_t reason = 0; reason < retryReasonNames.size(); ++reason)
        text += fmt::format("azurewell_retries_total{{reason=\"{}\"}} {}\n",
                            retryReasonNames[reason], counters.retries[reason]);
    return text;
}

} // namespace

Metrics::Metrics()
    : admissionSeconds(makeLatencyHistogram())
    , requestSeconds(makeLatencyHistogram())
{
}

void recordArrival(Metrics &metrics, const RequestId &request, Instant now)
{
    metrics.arrivedAt[request] = now;
}

void recordDispatch(Metrics &metrics, const RequestId &request, Instant now)
{
    const auto arrived = metrics.arrivedAt.find(request);
    if (arrived == metrics.arrivedAt.end())
        return;
    const double seconds = toSeconds(now - arrived->second);
    metrics.admissionSeconds(seconds);
    metrics.admissionSum += seconds;
}

void recordEnd(Metrics &metrics, const RequestId &request, Instant now)
{
    const auto arrived = metrics.arrivedAt.find(request);
    if (arrived == metrics.arrivedAt.end())
        return;
    const double seconds = toSeconds(now - arrived->second);
    metrics.requestSeconds(seconds);
    metrics.requestSum += seconds;
    metrics.arrivedAt.erase(arrived);
}

std::string shareText(const ShareCounters &counters)
{
    std::string text;
    text += counterText("share_asks_total", "Asks for tokens of other hosts.",
                        counters.requestsSent);
    text += counterText("share_empty_grants_total", "Asks that brought nothing.",
                        counters.emptyGrants);
    text += counterText("share_late_grants_total", "Grants dropped as late or doubled.",
                        counters.lateGrants);
    text += counterText("share_borrowed_tokens_total", "Tokens borrowed.", counters.borrowedTokens);
    text += counterText("share_lent_tokens_total", "Tokens lent.", counters.lentTokens);
    text += counterText("share_doubts_total", "Pauses after which this host doubted its seat.",
                        counters.unconfirmedPauses);
    text += counterText("share_overdue_requests_total", "Requests ended with their lent tokens.",
                        counters.overdueRequests);
    return text;
}

std::string metricsText(const HostState &state, const Metrics &metrics)
{
    const Counters &counters = state.counters;
    std::string text;
    text += counterText("requests_total", "Requests that arrived.", counters.requestsArrived);
    text += counterText("requests_completed_total", "Requests answered whole.", counters.completed);
    text += counterText("dispatches_total", "Requests sent to an upstream, retries included.",
                        counters.dispatched);
    text += counterText("resumes_total", "Streams resumed after a failure.", counters.resumed);
    text += counterText("answer_mismatches_total", "Answers that belonged to another request.",
                        counters.answerMismatches);
    text += counterText("generated_tokens_total", "Tokens passed on to callers.",
                        counters.generatedTokens);
    text += counterText("adapter_loads_total", "Adapter loads ordered.", counters.loadsOrdered);
    text += counterText("adapter_load_failures_total", "Adapter loads that failed.",
                        counters.loadsFailed);
    text += counterText("adapter_evictions_total", "Adapter evictions ordered.",
                        counters.evictionsOrdered);
    text += counterText("late_wakes_total", "Stops of this process of a second or more.",
                        counters.processSuspensions);
    text += counterText("leases_expired_total", "Slots that were not renewed in time.",
                        counters.leasesExpired);
    text += counterText("orders_refused_total", "Orders refused for an old fencing number.",
                        counters.ordersRefused);
    text += counterText("tickets_refused_total", "Tickets that were not valid.",
                        counters.ticketsRefused);
    text += counterText("peer_messages_stale_total", "Messages of a host's earlier life.",
                        counters.staleMessages);
    text += counterText("peer_messages_unknown_total", "Messages of an unknown kind.",
                        counters.unknownMessages);
    text += counterText("peer_frames_refused_total", "Frames on the peer port that were refused.",
                        metrics.peerLinks.framesRefused);
    text += shareText(state.shares.counters);
    text += counterText("peer_links_reopened_total", "Links to hosts that went silent.",
                        metrics.peerLinks.linksReopened);
    text += counterText("peer_links_dropped_total", "Links to hosts that did not read.",
                        metrics.peerLinks.messagesDropped);
    text += refusalsText(counters);
    text += retriesText(counters);
    text += gaugeText("ticket_in_force", "The newest ticket in force.",
                      static_cast<double>(state.inForce.ticket.value));
    text += gaugeText("ticket_refused", "The ticket that is refused and awaited, or 0.",
                      static_cast<double>(state.tickets.refused.value));
    text += counterText("call_numbers_issued_total", "Call numbers issued.",
                        state.calls.callNumbersIssued);
    text += counterText("call_issuers_silent_total",
                        "Calls whose number's issuer did not answer in time.",
                        state.calls.unreachableIssuers);
    text += gaugeText("call_records", "Calls that this instance remembers.",
                      static_cast<double>(state.calls.ledger.records));
    text += gaugeText("open_requests", "Requests on their way.",
                      static_cast<double>(state.requests.size()));
    text += gaugeText("kept_engines", "Engines this host keeps.",
                      static_cast<double>(state.coordinatedEngines.size()));
    text += histogramText("admission_seconds", "From arrival to the first dispatch.",
                          metrics.admissionSeconds, metrics.admissionSum);
    text += histogramText("request_seconds", "From arrival to the end of the answer.",
                          metrics.requestSeconds, metrics.requestSum);
    return text;
}

} // namespace azurewell
