#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <set>

namespace azurewell::gateway {

/// The request that a permit was issued for.
struct PermitHolder
{
    HostId host;
    std::uint64_t request = 0; ///< Its number at that host.

    auto operator<=>(const PermitHolder &) const = default;
};

/// Issues permits for requests to an upstream at the rate that the upstream states.
///
/// Load pattern: an overloaded server accepts one request a second from all hosts together. Hosts
/// that each apply the whole limit send 195 times as much. Hosts that each apply their share of it
/// send 195 requests at once after a pause, or none if all the callers are at one host. Therefore
/// one host, the coordinator of the upstream, issues all permits. Unused permits do not accumulate.
struct PermitPacer
{
    Instant nextAt; ///< When the next permit is available; zero: none was issued here yet.
    std::map<PermitHolder, Instant> reserved; ///< Permits that are not used up yet.
    std::set<Instant> returned;               ///< Permits that nobody holds.
};

/// Reserves a permit and returns the wait until it is valid. The first permit waits for a whole
/// interval, as the previous coordinator may just have issued one.
Span reservePermit(PermitPacer &pacer, double perSecond, Instant now,
                   const PermitHolder &holder = {});

/// Reserves a permit where up to \a burst permits may be issued at once and \a perSecond more each
/// second, and returns the wait until it is valid.
Span reserveInBurst(PermitPacer &pacer, double perSecond, double burst, Instant now,
                    const PermitHolder &holder = {});

/// Returns the unused permit of \a holder. The next request gets it, for the time that it was
/// issued for: at another time it would exceed the rate, as others hold the permits there.
void returnPermit(PermitPacer &pacer, const PermitHolder &holder);

} // namespace azurewell::gateway
