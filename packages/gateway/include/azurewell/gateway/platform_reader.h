#pragma once

#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>

namespace azurewell::gateway {

/// Why a call to the platform's store brought nothing.
enum class ReadFailure : std::uint8_t {
    NoAnswer,         ///< No whole answer until the call's deadline.
    ConnectionFailed, ///< The connection was refused, reset or closed.
    TurnedAway,       ///< The store answered with an error status.
    Unreadable,       ///< The body is not what the store's protocol says.
};

std::string_view nameOf(ReadFailure failure);

/// Spans of a host's calls to the store.
struct ReadTimes
{
    Span watchWait{};   ///< The store holds a watch for so long while nothing changes.
    Span probeWait{};   ///< The same for the calls after a failure.
    Span answerSlack{}; ///< A call is given up so long after its answer was due.
    Span firstBackOff{};
    Span longestBackOff{};
    Span shortestPause{}; ///< After changes.
    Span longestPause{};
};

/// Spans with which a confirmed change is known to all hosts after \a inForceWithin at the latest,
/// counted from the store's return where it was silent. A silent store or connection looks like one
/// without changes, so a call that nothing answers has to end, and the next one to begin, within
/// that time.
ReadTimes planReads(Span inForceWithin);

/// When a host calls the store and when it gives a call up. One call at a time; the shell makes it.
struct PlatformReader
{
    ReadTimes times;
    bool isUnderWay = false;
    Instant calledAt; ///< The last call began then.
    Instant nextCallAt;
    std::uint32_t failuresInARow = 0;
    Instant answeredAt; ///< The store's last usable answer; zero: none yet.

    std::uint64_t calls = 0; ///< Since the start of the process, as are the failures.
    std::map<ReadFailure, std::uint64_t> failures;
};

/// A call to make now.
struct ReadCall
{
    Span wait{};      ///< For a watch: how long the store may hold it.
    Instant giveUpAt; ///< It counts as failed then.
};

/// The call that is due, if any. A watch waits at the store for changes, a listing does not. After
/// a failure a watch waits only briefly: whether the store is back shows in its answer.
std::optional<ReadCall> beginRead(PlatformReader &reader, bool isWatch, Instant now);

/// The call was answered. After changes there is a pause, which differs from host to host.
void noteReadAnswer(PlatformReader &reader, bool hasChanges, std::mt19937_64 &random, Instant now);

void noteReadFailure(PlatformReader &reader, ReadFailure failure, Instant now);

} // namespace azurewell::gateway
