#pragma once

#include <cstddef>
#include <cstdint>

namespace azurewell {

/// Bounds on the bytes that a message may have beside its body. A server or a caller in trouble may
/// send such bytes without end; without bounds they fill the host's memory or hold a request until
/// its deadline. docs/design/bounded-messages.md lists where each applies.

/// The status line and the fields of an answer. Observed heads of upstreams are under 1 KiB.
inline constexpr std::uint32_t maxAnswerHeadBytes = 32 * 1024;

/// A chunk's size line with its extension, or the last chunk with the trailer fields.
inline constexpr std::size_t maxChunkFramingBytes = 16ULL * 1024;

/// Answers on a connection that precede the final answer to a request: interim ones, and strays to
/// an earlier request. A server that says from time to time that it still works stays below it.
inline constexpr std::uint32_t maxAnswersBefore = 64;

/// All interim answers to a request together.
inline constexpr std::size_t maxInterimAnswerBytes = 64ULL * 1024;

/// All strays before an answer together; they have bodies.
inline constexpr std::size_t maxStrayAnswerBytes = 4ULL * 1024 * 1024;

/// What a caller may send behind a request that isn't answered yet; beyond it the connection isn't
/// read from until the host allows more.
inline constexpr std::size_t maxPipelinedBytes = 64ULL * 1024;

/// Unsent bytes of answers beyond which a caller's next request is not read: one that reads none of
/// its answers would fill the host's memory with short requests.
inline constexpr std::size_t maxUnsentAnswerBytes = 64ULL * 1024;

/// What the host then allows at a time, and at most for one connection.
inline constexpr std::size_t pipelinedBytesStep = 512ULL * 1024;
inline constexpr std::size_t maxPipelinedBytesExtended = 1024ULL * 1024;

/// All bytes behind open requests that a host holds beyond maxPipelinedBytes a connection.
inline constexpr std::size_t maxPipelinedBytesOfHost = 4ULL * 1024 * 1024;

/// What is read and dropped of a connection that closes with the answer to its open request, so
/// that its end is seen; beyond it the connection is reset.
inline constexpr std::size_t maxDroppedBytes = 16ULL * 1024 * 1024;

/// The body of an engine's answer to a report or order call, which is held whole.
inline constexpr std::size_t maxReportBytes = 1024ULL * 1024;

/// A value of the configuration service that hosts of their own read (docs/TICKETS.md: 1 MB).
inline constexpr std::size_t maxTicketBytes = 1024ULL * 1024;

/// The body of one answer of the platform's store, which is held whole: a page of the listing, or
/// the changes of a watch.
inline constexpr std::size_t maxStoreAnswerBytes = 16ULL * 1024 * 1024;

/// The bytes of a stream since the end of its last event. They are passed on, not held; a stream
/// that goes on beyond this isn't one of events.
inline constexpr std::size_t maxEventBytes = 4ULL * 1024 * 1024;

/// The body of an answer that is held until it is whole, so that another can replace it.
inline constexpr std::size_t maxHeldBodyBytes = 8ULL * 1024 * 1024;

/// The memory of all bodies that a host holds so. Beyond it the attempt with the longest one ends.
inline constexpr std::size_t maxHeldBytesOfHost = 10ULL * 1024 * 1024;

} // namespace azurewell
