#pragma once

#include "azurewell/gateway/upstreams.h"

namespace azurewell::gateway {

/// How long a load takes from its order until its engine takes requests, learnt from requests that
/// were sent when it should have been over.
struct LoadTime
{
    Span expected{};                ///< A length that is learnt, not a deadline.
    std::uint32_t missedInARow = 0; ///< Requests that were turned away.
    std::uint32_t takenInARow = 0;
};

/// Loads of adapters that the weight store brings, and of those in the memory of the engine's host.
///
/// Load pattern: thousands of rare adapters, each of which waits for a load of a quarter of a
/// second. An engine's report is 200 ms old, and is asked for every 70 ms: a host that waits until
/// a report shows the adapter starts its requests after 570 ms, half of their objective, and keeps
/// a place for twice as long as the load needs. So the first request goes when the load should be
/// over. An engine that still loads turns it away unrun, which costs a retry; the time is learnt so
/// that this happens to about one load in ten, for any engine and any size of adapter.
struct LoadTimes
{
    LoadTimes();

    LoadTime fromStore;
    LoadTime heldLately;
};

/// The time that applies to \a load.
LoadTime &timeOf(LoadTimes &times, const LoadUnderWay &load);
const LoadTime &timeOf(const LoadTimes &times, const LoadUnderWay &load);

/// An engine took a request \a elapsed after the load was ordered.
void noteTaken(LoadTime &time, Span elapsed);

/// An engine turned a request away \a elapsed after the load was ordered.
void noteMissed(LoadTime &time, Span elapsed);

/// Whether a request may be tried at the engine of \a load.
bool isTryDue(const LoadTimes &times, const LoadUnderWay &load, Instant now);

/// A request is sent for \a load before a report shows it.
void beginTry(LoadUnderWay &load, Instant now);

/// The request of beginTry() was turned away, or failed and says nothing of the load.
void endTry(LoadUnderWay &load, Instant now);

/// Whether the request of beginTry() was taken: an engine that turns one away does so at once.
bool isTryTaken(const LoadUnderWay &load, Instant now);

} // namespace azurewell::gateway
