#pragma once

#include "azurewell/units/time.h"

#include <cstdint>
#include <limits>

namespace azurewell {

/// How many new connections a host keeps in a pass of its event loop.
///
/// Load pattern: more callers connect than the host has processor time for, for instance because a
/// load balancer sends it most connections of a zone. Without a limit it accepts them all, reads
/// each later than the one before, and soon only after its caller has given up: it is busy and
/// serves nobody, and so it stays until the load falls far below what it can bear. A connection
/// that is closed unread can be opened at another host at once.
struct AcceptLimit
{
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t maxInPass = unlimited;
    std::uint32_t acceptedInPass = 0;
    std::uint32_t longPasses = 0; ///< In a row; a single one may be a pause of the whole process.
    Instant passBeganAt;
};

/// Ends a pass and begins the next. The limit falls with the length of passes that are too long,
/// and rises with each that is not.
void beginPass(AcceptLimit &limit, Instant now);

inline bool isLimited(const AcceptLimit &limit)
{
    return limit.maxInPass != AcceptLimit::unlimited;
}

/// Whether the next connection is to be kept.
bool takeAccept(AcceptLimit &limit);

} // namespace azurewell
