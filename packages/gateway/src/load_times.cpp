#include "azurewell/gateway/load_times.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Before anything was learnt. A longer time than the true one costs its callers the difference, a
/// shorter one costs retries.
constexpr Span firstFromStore = std::chrono::milliseconds(300);
constexpr Span firstHeldLately = std::chrono::milliseconds(45);

constexpr Span shortestExpected = std::chrono::milliseconds(5);
constexpr Span longestExpected = std::chrono::seconds(6);

/// A load that was not over makes the next ones be expected later by a part of the time; twice as
/// much with each further one in a row, so that loads of seconds are learnt from a few.
constexpr int growthDivisor = 40;
constexpr Span shortestGrowth = std::chrono::milliseconds(4);
constexpr std::uint32_t mostDoublings = 8;

/// So many loads are expected after the same time before a shorter one is tried, which may cost a
/// retry. Then the time shrinks by 1 %, 2 %, ... with each: a crowded weight store has made it much
/// too long.
constexpr std::uint32_t takenBeforeShrinking = 12;
constexpr std::uint32_t mostShrinkPercent = 10;

/// Requests sent for one load before a report shows it. Each that is turned away is a retry.
constexpr std::uint32_t mostTries = 3;

/// After a request was turned away the next one goes so much later, and twice that after two.
constexpr Span firstRepeat = std::chrono::milliseconds(15);

/// A request that is turned away is back by then: hosts and engines are some milliseconds apart.
constexpr Span turnedAwayWithin = std::chrono::milliseconds(15);

} // namespace

LoadTimes::LoadTimes()
    : fromStore{ firstFromStore, 0, takenBeforeShrinking }
    , heldLately{ firstHeldLately, 0, takenBeforeShrinking }
{
}

LoadTime &timeOf(LoadTimes &times, const LoadUnderWay &load)
{
    return load.isHeldLately ? times.heldLately : times.fromStore;
}

const LoadTime &timeOf(const LoadTimes &times, const LoadUnderWay &load)
{
    return load.isHeldLately ? times.heldLately : times.fromStore;
}

void noteTaken(LoadTime &time, Span elapsed)
{
    // A request that came much later than expected says nothing about the expectation.
    if (elapsed > time.expected * 2)
        return;
    time.missedInARow = 0;
    ++time.takenInARow;
    if (time.takenInARow <= takenBeforeShrinking)
        return;
    const std::uint32_t percent = std::min(time.takenInARow - takenBeforeShrinking,
                                           mostShrinkPercent);
    time.expected = std::max(time.expected - time.expected * percent / 100, shortestExpected);
}

void noteMissed(LoadTime &time, Span elapsed)
{
    const Span growth = std::max(time.expected / growthDivisor, shortestGrowth)
            * (1LL << std::min(time.missedInARow, mostDoublings));
    ++time.missedInARow;
    time.takenInARow = 0;
    time.expected = std::min(std::max(time.expected, elapsed) + growth, longestExpected);
}

bool isTryDue(const LoadTimes &times, const LoadUnderWay &load, Instant now)
{
    return !load.isDone && load.triedAt.micros == 0 && load.tries < mostTries
            && now >= load.nextTryAt && now >= load.since + timeOf(times, load).expected;
}

void beginTry(LoadUnderWay &load, Instant now)
{
    ++load.tries;
    load.triedAt = now;
}

void endTry(LoadUnderWay &load, Instant now)
{
    load.triedAt = Instant{};
    load.nextTryAt = now + firstRepeat * (1LL << load.tries);
}

bool isTryTaken(const LoadUnderWay &load, Instant now)
{
    return load.triedAt.micros != 0 && now >= load.triedAt + turnedAwayWithin;
}

} // namespace azurewell::gateway
