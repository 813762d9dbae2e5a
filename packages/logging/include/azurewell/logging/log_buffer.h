#pragma once

#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// Holds log lines until the reader takes them, within bounds of memory and of bytes a second.
///
/// Load pattern: a flood of refusals, each with a line, while the collector that reads standard
/// output has stopped. Without a bound the lines fill the memory, or the process waits for its
/// reader and no request is answered.
struct LogBuffer
{
    std::string bytes;         ///< Whole lines, not yet written.
    std::uint64_t leftOut = 0; ///< Lines left out since the start.
    std::uint64_t untold = 0;  ///< Of these, the ones that no line has told of yet.
    double budget = 0;         ///< Bytes that may be added now.
    Instant budgetAt;
};

/// Bytes held at the most: 20 s of the budget.
inline constexpr std::size_t mostHeldBytes = 256ULL * 1024;

/// Bytes a second and host over a longer time: at 12 lines a second of 150 bytes for the requests
/// of a busy host, with room for as many refusals again.
inline constexpr double bytesPerSecond = 12 * 1024;

/// Bytes that may come at once after a quiet time.
inline constexpr double mostSavedBytes = 64 * 1024;

/// Of the saved bytes, lines that are not urgent leave this part to those that are.
inline constexpr double keptForUrgent = 16 * 1024;

/// Adds \a line, which ends with a line feed. False where it was left out.
bool addLine(LogBuffer &buffer, std::string_view line, bool isUrgent, Instant now);

/// How many lines were left out since the last call; to be told in a line of its own.
std::uint64_t takeUntold(LogBuffer &buffer);

} // namespace azurewell
