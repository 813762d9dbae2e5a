#pragma once

#include "azurewell/units/time.h"

namespace azurewell::gateway {

/// Issues permits for requests to an upstream at the rate that the upstream states.
///
/// Load pattern: an overloaded server accepts one request a second from all hosts together. Hosts
/// that each apply the whole limit send 195 times as much. Hosts that each apply their share of it
/// send 195 requests at once after a pause, or none if all the callers are at one host. Therefore
/// one host, the coordinator of the upstream, issues all permits. Unused permits do not accumulate.
struct PermitPacer
{
    Instant nextAt; ///< When the next permit is available; zero: none was issued here yet.
};

/// Reserves a permit and returns the wait until it is valid. The first permit waits for a whole
/// interval, as the previous coordinator may just have issued one.
Span reservePermit(PermitPacer &pacer, double perSecond, Instant now);

/// Reserves a permit where up to \a burst permits may be issued at once and \a perSecond more each
/// second, and returns the wait until it is valid.
Span reserveInBurst(PermitPacer &pacer, double perSecond, double burst, Instant now);

/// Returns an unused permit.
void returnPermit(PermitPacer &pacer, double perSecond);

} // namespace azurewell::gateway
