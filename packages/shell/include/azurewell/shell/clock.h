#pragma once

#include "azurewell/units/time.h"

#include <chrono>

namespace azurewell {

/// The monotonic clock of this host. It goes on while the process is stopped, so a process that
/// wakes late sees that its leases have ended.
inline Instant monotonicNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return Instant{ std::chrono::duration_cast<std::chrono::microseconds>(sinceBoot).count() };
}

/// Milliseconds of wall time since 1970: an incarnation that rises with each start of a host.
inline std::uint64_t wallMillis()
{
    const auto since1970 = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(since1970).count());
}

} // namespace azurewell
