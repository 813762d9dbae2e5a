#pragma once

#include "azurewell/gateway/upstreams.h"

namespace azurewell::gateway {

/// Time from a load order until the engine accepts requests for the adapter, learnt from requests
/// that were sent when the load was expected to be done.
struct LoadTime
{
    Span expected{};                         ///< A learnt estimate, not a deadline.
    std::uint32_t consecutiveRejections = 0; ///< Requests that the engine rejected.
    std::uint32_t consecutiveAccepts = 0;
};

/// Load times of adapters from the weight store and from the host memory of the engine.
///
/// Load pattern: thousands of rare adapters, each of which is loaded in a quarter of a second.
/// Reports are 200 ms old and queried every 70 ms: a host that waits for a report starts its
/// requests after 570 ms, half of their objective, and occupies an adapter slot for twice the load
/// time. The first request is therefore sent when the load is expected to be done. An engine that
/// is still loading rejects it without running it, which costs a retry. The expected time is learnt
/// so that this happens for about one load in ten, for any engine and adapter size.
struct LoadTimes
{
    LoadTimes();

    LoadTime fromStore;
    LoadTime fromHostMemory;
};

/// The load time that applies to \a load.
LoadTime &timeOf(LoadTimes &times, const LoadInProgress &load);
const LoadTime &timeOf(const LoadTimes &times, const LoadInProgress &load);

/// Records that an engine accepted a request \a elapsed after the load was ordered.
void recordAccepted(LoadTime &time, Span elapsed);

/// Records that an engine rejected a request \a elapsed after the load was ordered.
void recordRejected(LoadTime &time, Span elapsed);

/// Whether a request may be sent for \a load before a report shows it as done.
bool isEarlyAttemptDue(const LoadTimes &times, const LoadInProgress &load, Instant now);

/// Records that a request is sent for \a load before a report shows it as done.
void beginEarlyAttempt(LoadInProgress &load, Instant now);

/// Records that the request of beginEarlyAttempt() was rejected, or failed for another reason.
void endEarlyAttempt(LoadInProgress &load, Instant now);

/// Whether the request of beginEarlyAttempt() counts as accepted: engines reject requests without
/// delay.
bool isEarlyAttemptAccepted(const LoadInProgress &load, Instant now);

} // namespace azurewell::gateway
