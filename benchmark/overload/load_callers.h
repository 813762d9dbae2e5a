#pragma once

#include "azurewell/units/endpoint.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace azurewell {

/// What became of the requests of a play.
struct LoadOutcomes
{
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;  ///< Answered before their callers gave up.
    std::uint32_t told = 0;    ///< Told to come back later.
    std::uint32_t closed = 0;  ///< Closed without an answer.
    std::uint32_t givenUp = 0; ///< Heard nothing until their callers gave up.
};

/// Callers that each open a connection of their own for one request.
struct Load
{
    Endpoint host;
    std::string sourceIp;
    double perSecond = 0;
    Span wait{}; ///< From the connection until a caller gives up.
    Span length{};
    /// The bytes of the request with a number.
    std::function<std::string(std::uint32_t)> request;
};

/// Plays \a load; returns when the last caller has its answer or has given up.
LoadOutcomes play(const Load &load);

/// Requests a second that \a callers that each ask again as soon as they are answered get answered
/// in load.length; load.perSecond doesn't count.
double measureCapacity(const Load &load, std::size_t callers);

} // namespace azurewell
