#pragma once

#include "azurewell/units/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurewell {

/// What the kernel has counted for the main thread of a process since its start.
struct ScheduledTime
{
    Span used{};   ///< On a processor.
    Span waited{}; ///< Runnable, while others had the processors.
};

/// Reads the content of /proc/PID/schedstat; none if it has another form.
std::optional<ScheduledTime> parseScheduledTime(std::string_view text);

/// None if the kernel doesn't say, for instance as the process has ended.
std::optional<ScheduledTime> scheduledTimeOf(std::int64_t process);

/// The turns of a process in a play.
struct TurnsGot
{
    Span elapsed{};
    Span continued{};                       ///< From each SIGCONT to the following SIGSTOP.
    std::optional<ScheduledTime> scheduled; ///< In the play.
};

/// The share of a processor that the process could use; none if it isn't known. A process that had
/// nothing to do could have used the time, one that waited for a processor could not.
std::optional<double> usableShare(const TurnsGot &turns);

/// Whether \a share is so near to \a intended that what was measured with it is valid.
bool isShareKept(std::optional<double> share, double intended);

} // namespace azurewell
