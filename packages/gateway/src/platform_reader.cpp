#include "azurewell/gateway/platform_reader.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A pause that differs from host to host, so that their reads fall apart.
Span drawPause(const ReadTimes &times, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> spread(times.shortestPause.count(),
                                                       times.longestPause.count());
    return Span{ spread(random) };
}

/// Doubled with each failure: the store counts calls that it refuses, too.
Span backOff(const ReadTimes &times, std::uint32_t failuresInARow)
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

ReadTimes usualReadTimes()
{
    ReadTimes times;
    // A connection that has gone silent is noticed only when this has passed, and a change has to
    // be in force within 2 s of the 3 s that such trouble is excused.
    times.watchWait = std::chrono::milliseconds(3500);
    // The store answers in 4 ms; slow days make that 200 ms and more.
    times.answerSlack = std::chrono::milliseconds(1000);
    times.firstBackOff = std::chrono::milliseconds(150);
    times.longestBackOff = std::chrono::milliseconds(700);
    // A series of changes costs one call and not one for each: engines write an entry for each
    // change of their adapters. Hosts tell each other what they read, so with several of them
    // something new is known within a part of this.
    times.shortestPause = std::chrono::milliseconds(500);
    times.longestPause = std::chrono::milliseconds(1100);
    return times;
}

std::optional<ReadCall> beginRead(PlatformReader &reader, bool isWatch, Instant now)
{
    if (reader.isUnderWay || now < reader.nextCallAt)
        return std::nullopt;
    reader.isUnderWay = true;
    reader.calledAt = now;
    ++reader.calls;
    const Span wait = isWatch ? reader.times.watchWait : Span{};
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
    reader.nextCallAt = now + backOff(reader.times, reader.failuresInARow);
}

} // namespace azurewell::gateway
