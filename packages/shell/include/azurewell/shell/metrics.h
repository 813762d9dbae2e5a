#pragma once

#include "azurewell/host/host_state.h"
#include "azurewell/shell/peer_links.h"

#include <boost/histogram.hpp>

#include <string>
#include <unordered_map>

namespace azurewell {

using LatencyHistogram = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::variable<double>()));

/// Metrics kept by the control thread in addition to the host state's counters; times in seconds.
struct Metrics
{
    Metrics();

    LatencyHistogram admissionSeconds; ///< From arrival to first dispatch.
    LatencyHistogram requestSeconds;   ///< From arrival to the end of the response.
    PeerLinkCounters peerLinks;
    double admissionSum = 0;
    double requestSum = 0;
    std::unordered_map<RequestId, Instant> arrivedAt; ///< Open requests.
};

void recordArrival(Metrics &metrics, const RequestId &request, Instant now);
void recordDispatch(Metrics &metrics, const RequestId &request, Instant now);
void recordEnd(Metrics &metrics, const RequestId &request, Instant now);

/// Returns the body of /metrics in the Prometheus text format (docs/METRICS.md).
std::string metricsText(const HostState &state, const Metrics &metrics);

} // namespace azurewell
