#include "azurewell/gateway/platform_reader.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Of the time until a change is in force everywhere: what hosts need that do not read the store,
/// with one message lost.
constexpr Span toldWithin = std::chrono::milliseconds(300);

/// The shell looks this often whether a call is due, and whether one is overdue.
constexpr Span lookInterval = std::chrono::milliseconds(25);

/// What is left of that time to a host that reads, at the least.
constexpr Span leastReadWithin = std::chrono::milliseconds(1300);

/// The store answers within some ms, when it is slow within some hundred; a lost packet is sent
/// again after 200 ms.
constexpr Span answerSlack = std::chrono::milliseconds(600);

constexpr Span longestWatchWait = std::chrono::milliseconds(3500);
constexpr Span probeWait = std::chrono::milliseconds(50);

constexpr Span firstBackOff = std::chrono::milliseconds(150);
constexpr Span longestBackOff = std::chrono::milliseconds(700);

/// A series of changes costs one call and not one for each: engines write an entry for each change
/// of their adapters. In hundredths of the time in which a change is to be read.
constexpr int shortestPausePercent = 30;
constexpr int longestPausePercent = 64;

/// A pause that differs from host to host, so that their reads fall apart.
Span drawPause(const ReadTimes &times, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> spread(times.shortestPause.count(),
                                                       times.longestPause.count());
    return Span{ spread(random) };
}

/// Doubled with each failure: the store counts calls that it refuses, too.
Span backOffAfter(std::uint32_t failuresInARow, const ReadTimes &times)
{
    Span span = times.firstBackOff;
    for (std::uint32_t i = 1; i < failuresInARow && span < times.longestBackOff; ++i)
        span *= 2;
    return std::min(span, times.longestBackOff);
}

} // namespace

std::string_view nameOf(ReadFailure failure)
{
    switch (failure) {
    case ReadFailure::NoAnswer:
        return "no_answer";
    case ReadFailure::ConnectionFailed:
        return "connection_failed";
    case ReadFailure::TurnedAway:
        return "turned_away";
    case ReadFailure::Unreadable:
        return "unreadable";
    }
    return "unreadable";
}

ReadTimes planReads(Span inForceWithin)
{
    ReadTimes times;
    times.answerSlack = answerSlack;
    times.probeWait = probeWait;
    times.firstBackOff = firstBackOff;
    const Span readWithin = std::max(inForceWithin - toldWithin - 2 * lookInterval,
                                     leastReadWithin);
    times.watchWait = std::min(longestWatchWait, readWithin - firstBackOff - answerSlack);
    times.longestBackOff = std::min(longestBackOff, readWithin - probeWait - answerSlack);
    times.shortestPause = readWithin * shortestPausePercent / 100;
    times.longestPause = std::min(readWithin * longestPausePercent / 100, readWithin - answerSlack);
    return times;
}

std::optional<ReadCall> beginRead(PlatformReader &reader, bool isWatch, Instant now)
{
    if (reader.isUnderWay || now < reader.nextCallAt)
        return std::nullopt;
    reader.isUnderWay = true;
    reader.calledAt = now;
    ++reader.calls;
    const bool isProbe = reader.failuresInARow > 0;
    const Span watchWait = isProbe ? reader.times.probeWait : reader.times.watchWait;
    const Span wait = isWatch ? watchWait : Span{};
    return ReadCall{ wait, now + wait + reader.times.answerSlack };
}

void noteReadAnswer(PlatformReader &reader, bool hasChanges, std::mt19937_64 &random, Instant now)
{
    reader.isUnderWay = false;
    reader.answeredAt = now;
    reader.failuresInARow = 0;
    if (hasChanges)
        reader.nextCallAt = now + drawPause(reader.times, random);
}

void noteReadFailure(PlatformReader &reader, ReadFailure failure, Instant now)
{
    reader.isUnderWay = false;
    ++reader.failuresInARow;
    ++reader.failures[failure];
    reader.nextCallAt = now + backOffAfter(reader.failuresInARow, reader.times);
}

} // namespace azurewell::gateway
