#pragma once

#include "azurewell/units/time.h"

#include <cstdint>

namespace azurewell::gateway {

struct GatewayState;
struct Upstream;

/// How many requests a cold upstream of a service may get from all hosts together. In every second
/// at most `perSecond * overshoot + tolerance` may arrive, or the upstream crashes.
struct WarmupBound
{
    double overshoot = 1;
    double tolerance = 0; ///< Requests.
};

/// Permits that the coordinator of an upstream issues.
///
/// Load pattern: an engine has just started, or its whole zone is back in use, and dozens of hosts
/// send to it what they held back. It bears a few requests a second until it is warm and crashes
/// under more. It may also become cold at any moment, seconds before a host can know. Therefore its
/// coordinator issues permits one by one while it is known to be cold, and at any other time bounds
/// the number of permits within a second.
struct WarmupLimit
{
    double perSecond = 0;     ///< Evenly spaced permits while the upstream is cold; 0: no limit.
    double perSecondWarm = 0; ///< Rate of permits at other times.
    double burst = 0;         ///< Permits at once at other times.
    bool isShared = false;    ///< Other hosts may issue the rest of the permits.
};

/// \a requestsPerSecond is what the service states, 0: nothing. While hosts cannot reach each
/// other, two of them may issue permits for one cold upstream, so each issues half of the bound.
WarmupLimit warmupLimit(double requestsPerSecond, const WarmupBound &bound);

/// Whether the service of \a upstream limits the requests to cold upstreams.
bool limitsColdUpstreams(const GatewayState &state, const Upstream &upstream);

/// The limit for \a upstream by the configuration of its service, scaled to the part of its zone's
/// hosts that this host reaches: hosts that are cut off from each other issue permits on their own.
WarmupLimit warmupLimitOf(const GatewayState &state, const Upstream &upstream, Instant now);

/// The rate of permits for \a upstream: the smaller one of what it states and what it bears while
/// it is cold; 0: no limit.
double permitsPerSecond(const GatewayState &state, const Upstream &upstream, Instant now);

/// Whether this host may send a request to \a upstream, which may be cold, without a permit of its
/// coordinator. The coordinator does not answer, perhaps behind a partition; hosts that all went on
/// without it would send far more than a cold upstream bears, so each has a small share of that.
bool takeOwnShare(GatewayState &state, const Upstream &upstream, Instant now);

/// Records that \a upstream stays cold for \a left. No effect if its service states no rate for
/// cold upstreams.
void markCold(const GatewayState &state, Upstream &upstream, Span left, Instant now);

/// Records that \a upstream may have become cold just now: it has started again, or its zone was
/// out of use.
void markColdFromNow(const GatewayState &state, Upstream &upstream, Instant now);

} // namespace azurewell::gateway
