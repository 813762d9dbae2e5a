#include "azurewell/gateway/platform_reader.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Share of the propagation timeout for hosts that do not read the store, with one message lost.
constexpr Span forwardingTime = std::chrono::milliseconds(300);

/// Interval at which the shell checks whether a call is due or overdue.
constexpr Span pollInterval = std::chrono::milliseconds(25);

/// Minimum share of the propagation timeout for hosts that read the store.
constexpr Span minReadTime = std::chrono::milliseconds(1300);

/// The store answers within a few ms, under load within a few hundred; a lost packet is sent again
/// after 200 ms.
constexpr Span answerTimeout = std::chrono::milliseconds(600);

constexpr Span maxWatchWait = std::chrono::milliseconds(3500);
constexpr Span probeWait = std::chrono::milliseconds(50);

constexpr Span firstBackOff = std::chrono::milliseconds(150);
constexpr Span maxBackOff = std::chrono::milliseconds(700);

/// Pause after changes, in percent of the time in which a change has to be read. It makes a series
/// of changes cost one call instead of one each: engines write an entry for each change of their
/// adapters.
constexpr int minPausePercent = 30;
constexpr int maxPausePercent = 64;

/// Returns a random pause, so that the hosts' reads are spread out.
Span randomPause(const ReadTimes &times, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> spread(times.minPause.count(),
                                                       times.maxPause.count());
    return Span{ spread(random) };
}

/// The back-off doubles with each failure, because rejected calls count against the store's limit,
/// too.
Span backOffAfter(std::uint32_t failuresInARow, const ReadTimes &times)
{
    Span span = times.firstBackOff;
    for (std::uint32_t i = 1; i < failuresInARow && span < times.maxBackOff; ++i)
        span *= 2;
    return std::min(span, times.maxBackOff);
}

} // namespace

std::string_view nameOf(ReadFailure failure)
{
    switch (failure) {
    case ReadFailure::NoAnswer:
        return "no_answer";
    case ReadFailure::ConnectionFailed:
        return "connection_failed";
    case ReadFailure::Rejected:
        return "turned_away";
    case ReadFailure::Unreadable:
        return "unreadable";
    case ReadFailure::OlderEra:
        return "older_era";
    }
    return "unreadable";
}

ReadTimes planReads(Span propagationTimeout)
{
    ReadTimes times;
    times.answerTimeout = answerTimeout;
    times.probeWait = probeWait;
    times.firstBackOff = firstBackOff;
    const Span readTime = std::max(propagationTimeout - forwardingTime - 2 * pollInterval,
                                   minReadTime);
    times.watchWait = std::min(maxWatchWait, readTime - firstBackOff - answerTimeout);
    times.maxBackOff = std::min(maxBackOff, readTime - probeWait - answerTimeout);
    times.minPause = readTime * minPausePercent / 100;
    times.maxPause = std::min(readTime * maxPausePercent / 100, readTime - answerTimeout);
    return times;
}

std::optional<ReadCall> beginRead(PlatformReader &reader, bool isWatch, Instant now)
{
    if (reader.isCallActive || now < reader.nextCallAt)
        return std::nullopt;
    reader.isCallActive = true;
    reader.calledAt = now;
    ++reader.calls;
    const bool isProbe = reader.failuresInARow > 0;
    const Span watchWait = isProbe ? reader.times.probeWait : reader.times.watchWait;
    const Span wait = isWatch ? watchWait : Span{};
    return ReadCall{ wait, now + wait + reader.times.answerTimeout };
}

void recordReadAnswer(PlatformReader &reader, bool hasChanges, std::mt19937_64 &random, Instant now)
{
    reader.isCallActive = false;
    reader.answeredAt = now;
    reader.failuresInARow = 0;
    if (hasChanges)
        reader.nextCallAt = now + randomPause(reader.times, random);
}

void recordReadFailure(PlatformReader &reader, ReadFailure failure, Instant now)
{
    reader.isCallActive = false;
    ++reader.failuresInARow;
    ++reader.failures[failure];
    reader.nextCallAt = now + backOffAfter(reader.failuresInARow, reader.times);
}

} // namespace azurewell::gateway
