#pragma once

#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace azurewell::soak {

/// Callers that left before they had the answers, and requests that reached engines for them.
struct Departures
{
    std::map<std::string, Instant> leftAt; ///< By the request's id.
    std::uint64_t sentLate = 0;            ///< Requests whose callers had left long before.
};

/// Counts the request with \a id, which has just reached an engine, if its caller left long ago.
inline void noteArrival(Departures &departures, const std::string &id, Instant now)
{
    constexpr Span allowedAfterLeaving = std::chrono::milliseconds(500);
    const auto found = departures.leftAt.find(id);
    if (found != departures.leftAt.end() && now > found->second + allowedAfterLeaving)
        ++departures.sentLate;
}

} // namespace azurewell::soak
