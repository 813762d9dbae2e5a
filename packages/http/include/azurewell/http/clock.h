#pragma once

#include "azurewell/units/time.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace azurewell {

/// The monotonic clock of this host. It advances while the process is stopped and while the machine
/// is suspended (CLOCK_MONOTONIC, which std::chrono::steady_clock uses, does not), so a process
/// that resumes late sees that its leases have expired.
inline Instant monotonicNow()
{
    timespec sinceBoot{};
    ::clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    constexpr std::int64_t microsInSecond = 1'000'000;
    constexpr std::int64_t nanosInMicro = 1'000;
    return Instant{ sinceBoot.tv_sec * microsInSecond + sinceBoot.tv_nsec / nanosInMicro };
}

/// Milliseconds of wall time since 1970. Used as incarnation, which increases with each start of a
/// host.
inline std::uint64_t wallMillis()
{
    const auto since1970 = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(since1970).count());
}

} // namespace azurewell
