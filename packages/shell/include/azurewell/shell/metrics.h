#pragma once

#include "azurewell/host/host_state.h"
#include "azurewell/shell/peer_links.h"

#include <boost/histogram.hpp>

#include <string>
#include <unordered_map>

namespace azurewell {

using LatencyHistogram = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::variable<double>()));

/// What the control thread measures beside the core's counters. Times are in seconds.
struct Metrics
{
    Metrics();

    LatencyHistogram admissionSeconds; ///< From a request's arrival to its first dispatch.
    LatencyHistogram requestSeconds;   ///< From arrival to the end of the answer.
    PeerLinkCounters peerLinks;
    double admissionSum = 0;
    double requestSum = 0;
    std::unordered_map<RequestId, Instant> arrivedAt; ///< Requests that are still open.
};

void noteArrived(Metrics &metrics, const RequestId &request, Instant now);
void noteDispatched(Metrics &metrics, const RequestId &request, Instant now);
void noteEnded(Metrics &metrics, const RequestId &request, Instant now);

/// The text that /metrics publishes, in the format that Prometheus reads (docs/METRICS.md).
std::string metricsText(const HostState &state, const Metrics &metrics);

} // namespace azurewell
