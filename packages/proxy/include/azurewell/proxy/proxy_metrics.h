#pragma once

#include "azurewell/gateway/gateway.h"

#include <boost/histogram.hpp>

#include <string>

namespace azurewell {

/// Times in seconds of one kind.
struct TimeHistogram
{
    using Buckets = decltype(boost::histogram::make_histogram(
            boost::histogram::axis::variable<double>()));

    TimeHistogram();
    void add(Span span);

    Buckets buckets;
    double sum = 0;
    std::uint64_t count = 0;
};

/// What the sockets measure beside the core's counters.
struct ProxyMetrics
{
    TimeHistogram toFirstByte;   ///< From a request's arrival to the first byte of its answer.
    TimeHistogram whole;         ///< From arrival to the end of the answer.
    TimeHistogram betweenPieces; ///< Of a stream.
    TimeHistogram placing;       ///< From arrival to being sent to an upstream.
    TimeHistogram reports;       ///< Of engines: from asking to the answer.
    std::uint64_t callersAccepted = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t wakeUps = 0; ///< Of the control thread.
};

/// The text of the metrics address, in the format that Prometheus reads (docs/METRICS.md).
std::string metricsText(const gateway::GatewayState &state, const ProxyMetrics &metrics,
                        std::size_t upstreamConnections, std::size_t callers, Instant now);

} // namespace azurewell
