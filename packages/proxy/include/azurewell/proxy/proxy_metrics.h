#pragma once

#include "azurewell/gateway/gateway.h"
#include "azurewell/http/message.h"

#include <boost/histogram.hpp>

#include <map>
#include <string>

namespace azurewell {

/// A histogram of durations in seconds.
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

/// Metrics of the socket layer, in addition to the core's counters.
struct ProxyMetrics
{
    TimeHistogram timeToFirstByte;   ///< From a request's arrival to the first byte of its answer.
    TimeHistogram requestDuration;   ///< From arrival to the end of the answer.
    TimeHistogram timeBetweenChunks; ///< Between two chunks of a stream.
    TimeHistogram timeToDispatch;    ///< From arrival to the first dispatch to an upstream.
    TimeHistogram reportDuration;    ///< Engine reports: from the request to the answer.
    std::map<BodyFraming, std::uint64_t> answersByFraming; ///< Heads received, also of other hosts.
    std::uint64_t truncatedAnswers = 0;     ///< Streams that ended in order, but inside an event.
    std::uint64_t oversizedAnswers = 0;     ///< Of which a part exceeded its bound.
    std::uint64_t oversizedCallAnswers = 0; ///< The same of reports, orders and the store.
    std::uint64_t connectionFaults = 0;     ///< Connections that ended as a handler threw.
    std::uint64_t callersAccepted = 0;
    std::uint64_t connectionsRejected = 0; ///< Closed unread, for want of processor time.
    std::size_t callersUnread = 0;         ///< Connections that wait to be read.
    Span usualUnreadWait{};                ///< See AcceptQueue::usualWait.
    std::uint64_t malformedStatements = 0; ///< Of upstreams, in headers of answers.
    std::uint64_t peerConnectionsRejected = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t pipelinedDropped = 0;   ///< Connections that close after their open request.
    std::uint64_t idleCallersClosed = 0;  ///< Connections that were closed for want of descriptors.
    std::uint64_t refusedForMemory = 0;   ///< Requests, whole or not, for want of memory.
    std::uint64_t unreadAnswersEnded = 0; ///< Connections that were reset for want of memory.
    std::size_t callerMemoryHeld = 0;     ///< See CallerMemory.
    std::size_t callerMemoryLimit = 0;
    std::uint64_t wakeUps = 0; ///< Wake-ups of the control thread's event loop.
};

/// The metrics in the Prometheus text format (docs/METRICS.md).
std::string metricsText(const gateway::GatewayState &state, const ProxyMetrics &metrics,
                        std::size_t upstreamConnections, std::size_t callers, Instant now);

} // namespace azurewell
