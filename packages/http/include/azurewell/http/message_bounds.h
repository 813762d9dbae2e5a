#pragma once

#include <cstddef>
#include <cstdint>

namespace azurewell {

/// Bounds on the bytes that a message may have beside its body. A server or a caller in trouble may
/// send such bytes without end; without bounds they fill the host's memory or hold a request until
/// its deadline. docs/design/bounded-messages.md lists where each applies.

/// The status line and the fields of an answer. Observed heads of upstreams are under 1 KiB.
inline constexpr std::uint32_t maxAnswerHeadBytes = 64 * 1024;

/// A chunk's size line with its extension, or the last chunk with the trailer fields.
inline constexpr std::size_t maxChunkFramingBytes = 16ULL * 1024;

} // namespace azurewell
