#pragma once

#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// Buffers log lines until they can be written, bounded in memory and in bytes per second.
///
/// Guards against a flood of refusals, each with a log line, while the log collector does not read
/// standard output. Without the bounds the lines would exhaust memory, or the process would block
/// on its output and answer no requests.
struct LogBuffer
{
    std::string bytes;                 ///< Complete lines that are not yet written.
    std::uint64_t droppedLines = 0;    ///< Lines dropped since the start of the process.
    std::uint64_t unreportedLines = 0; ///< Dropped lines that no log line has reported yet.
    double budget = 0;                 ///< Token bucket: bytes that may be added now.
    Instant budgetAt;                  ///< Last refill of the budget; 0: never filled.
};

/// Maximum number of buffered bytes: 20 s at the sustained rate.
inline constexpr std::size_t maxBufferedBytes = 256ULL * 1024;

/// Sustained bytes per second and host. A busy host writes 12 lines of 150 bytes per second for its
/// requests; the rest leaves capacity for as many refusals.
inline constexpr double sustainedBytesPerSecond = 12 * 1024;

/// Burst size in bytes.
inline constexpr double maxBurstBytes = 64 * 1024;

/// Bytes of the budget that only urgent lines may use.
inline constexpr double reservedForUrgentBytes = 16 * 1024;

/// Adds \a line, which ends with a line feed. Returns false if it was dropped.
bool addLine(LogBuffer &buffer, std::string_view line, bool isUrgent, Instant now);

/// Returns the number of lines dropped since the last call, for a log line that reports them.
std::uint64_t takeUnreportedLines(LogBuffer &buffer);

} // namespace azurewell
