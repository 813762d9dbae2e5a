#include "azurewell/gateway/load_times.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Initial estimates. Too long a time delays callers by the difference; too short a time costs
/// retries.
constexpr Span initialFromStore = std::chrono::milliseconds(300);
constexpr Span initialFromHostMemory = std::chrono::milliseconds(45);

constexpr Span minExpected = std::chrono::milliseconds(5);
constexpr Span maxExpected = std::chrono::seconds(6);

/// A rejection raises the expected time by a fraction of it, doubled with each further rejection in
/// a row, so that load times of seconds are learnt from a few loads.
constexpr int growthDivisor = 40;
constexpr Span minGrowth = std::chrono::milliseconds(4);
constexpr std::uint32_t maxDoublings = 8;

/// Number of accepted requests in a row before a shorter time is tried, which may cost a retry. The
/// time then shrinks by 1 %, 2 %, ... with each accepted request, as an overloaded weight store may
/// have made it much too long.
constexpr std::uint32_t acceptsBeforeShrinking = 12;
constexpr std::uint32_t maxShrinkPercent = 10;

/// Maximum number of requests sent for one load before the engine's load report shows it as done.
/// Each rejection costs a retry.
constexpr std::uint32_t maxEarlyAttempts = 3;

/// Base of the delay after an early attempt that was rejected or failed; doubled with each request
/// sent for the load.
constexpr Span earlyAttemptBackoff = std::chrono::milliseconds(15);

/// An early attempt that was not rejected within this time counts as accepted: engines reject at
/// once, and the network latency is some milliseconds.
constexpr Span rejectionTimeout = std::chrono::milliseconds(15);

} // namespace

// The number of accepted requests starts at the threshold, so that the first one shortens the time.
LoadTimes::LoadTimes()
    : fromStore{ initialFromStore, 0, acceptsBeforeShrinking }
    , fromHostMemory{ initialFromHostMemory, 0, acceptsBeforeShrinking }
{
}

LoadTime &timeOf(LoadTimes &times, const LoadInProgress &load)
{
    return load.isInHostMemory ? times.fromHostMemory : times.fromStore;
}

const LoadTime &timeOf(const LoadTimes &times, const LoadInProgress &load)
{
    return load.isInHostMemory ? times.fromHostMemory : times.fromStore;
}

void recordAccepted(LoadTime &time, Span elapsed)
{
    // A request that was sent much later than expected says nothing about the estimate.
    if (elapsed > time.expected * 2)
        return;
    time.consecutiveRejections = 0;
    ++time.consecutiveAccepts;
    if (time.consecutiveAccepts <= acceptsBeforeShrinking)
        return;
    const std::uint32_t percent = std::min(time.consecutiveAccepts - acceptsBeforeShrinking,
                                           maxShrinkPercent);
    time.expected = std::max(time.expected - time.expected * percent / 100, minExpected);
}

void recordRejected(LoadTime &time, Span elapsed)
{
    const Span growth = std::max(time.expected / growthDivisor, minGrowth)
            * (1LL << std::min(time.consecutiveRejections, maxDoublings));
    ++time.consecutiveRejections;
    time.consecutiveAccepts = 0;
    time.expected = std::min(std::max(time.expected, elapsed) + growth, maxExpected);
}

bool isEarlyAttemptDue(const LoadTimes &times, const LoadInProgress &load, Instant now)
{
    return !load.isDone && load.earlyAttemptAt.micros == 0 && load.earlyAttempts < maxEarlyAttempts
            && now >= load.nextEarlyAttemptAt && now >= load.since + timeOf(times, load).expected;
}

void beginEarlyAttempt(LoadInProgress &load, Instant now)
{
    ++load.earlyAttempts;
    load.earlyAttemptAt = now;
}

void endEarlyAttempt(LoadInProgress &load, Instant now)
{
    load.earlyAttemptAt = Instant{};
    load.nextEarlyAttemptAt = now + earlyAttemptBackoff * (1LL << load.earlyAttempts);
}

bool isEarlyAttemptAccepted(const LoadInProgress &load, Instant now)
{
    return load.earlyAttemptAt.micros != 0 && now >= load.earlyAttemptAt + rejectionTimeout;
}

} // namespace azurewell::gateway
