#include "azurewell/gateway/warmup.h"

#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Requests within a second that the permits of one coordinator do not cover: those of hosts whose
/// coordinator does not answer, and the permits of others while hosts cannot reach each other.
///
/// Bound: permits * (1 + shareOfLostZone) + own shares <= what a cold upstream bears in a second.
constexpr double requestsWithoutPermit = 5.5;

/// The part of the permits that all hosts together send as their own shares.
constexpr double partOfOwnShares = 0.125;

/// Permits at once while an upstream is not known to be cold. With more, the rate would have to be
/// lower.
constexpr double maxBurst = 1;

/// Hosts that may issue permits for one upstream at the same time.
constexpr double maxCoordinators = 2;

/// Hosts that are lost or restarting do not reduce the limit up to this part of a zone.
constexpr double wholeZone = 0.9;

/// The part of the limit for upstreams of a zone whose hosts are all out of reach: they may be lost
/// or behind a partition.
constexpr double shareOfLostZone = 0.25;

/// Hosts that are cut off from most others issue this part of their share, as the permits of many
/// such hosts may coincide.
constexpr double shareOfMinority = 0.5;

/// The part of the permits that such hosts issue, all together, for upstreams of a zone of which
/// they reach no host.
constexpr double shareOfOtherZones = 0.2;

double partOf(std::size_t some, std::size_t all)
{
    return static_cast<double>(some) / static_cast<double>(all);
}

/// Whether this host is on the smaller side of a partition, as far as it knows. The loss of its own
/// zone is noticed first.
bool isCutOff(const GatewayState &state, const ReachCounts &all, Instant now)
{
    const ReachCounts own = countReach(state.members, state.self.zone, now);
    return 2 * own.linked < own.known || 2 * all.linked <= all.known;
}

/// The part of the permits for upstreams of a zone with \a hosts that this host may issue if it is
/// cut off.
double shareOfCutOff(const ReachCounts &hosts, const ReachCounts &all)
{
    if (hosts.linked > 0)
        return partOf(hosts.linked, hosts.known) * shareOfMinority;
    return partOf(all.linked, all.known) * shareOfOtherZones;
}

/// The part of the permits for cold upstreams of \a zone that this host may issue.
double shareOfPermits(const GatewayState &state, const ZoneId &zone, Instant now)
{
    const ReachCounts hosts = countReach(state.members, zone, now);
    if (hosts.known == 0)
        return 1;
    const double linked = partOf(hosts.linked, hosts.known);
    if (linked >= wholeZone)
        return 1;
    const ReachCounts all = countReach(state.members, now);
    if (isCutOff(state, all, now))
        return shareOfCutOff(hosts, all);
    return linked > 1 - wholeZone ? 1 - shareOfMinority * (1 - linked) : shareOfLostZone;
}

/// The part of a stated limit that this host may issue permits for. The limit's tolerance bears
/// what cut-off hosts issue beside all permits of the others.
double shareOfStatedLimit(const GatewayState &state, const ZoneId &zone, Instant now)
{
    const ReachCounts all = countReach(state.members, now);
    if (!isCutOff(state, all, now))
        return 1;
    return shareOfCutOff(countReach(state.members, zone, now), all);
}

const Service *serviceOf(const GatewayState &state, const Upstream &upstream)
{
    return findService(state.configuration, upstream.listed.service);
}

} // namespace

WarmupLimit warmupLimit(double requestsPerSecond, const WarmupBound &bound)
{
    WarmupLimit limit;
    if (requestsPerSecond <= 0)
        return limit;
    const double inASecond = requestsPerSecond * bound.overshoot + bound.tolerance;
    const double permits = std::max(inASecond - requestsWithoutPermit, inASecond / maxCoordinators);
    limit.burst = std::min(maxBurst, permits / maxCoordinators);
    limit.perSecondWarm = permits - limit.burst;
    limit.perSecond = std::min(requestsPerSecond, permits / maxCoordinators);
    return limit;
}

bool limitsColdUpstreams(const GatewayState &state, const Upstream &upstream)
{
    const Service *service = serviceOf(state, upstream);
    return service && service->warmupPerSecond > 0;
}

WarmupLimit warmupLimitOf(const GatewayState &state, const Upstream &upstream, Instant now)
{
    if (!limitsColdUpstreams(state, upstream))
        return {};
    WarmupLimit limit = warmupLimit(serviceOf(state, upstream)->warmupPerSecond,
                                    state.self.warmupBound);
    const double share = shareOfPermits(state, upstream.listed.zone, now);
    limit.perSecond *= share;
    limit.perSecondWarm *= share;
    limit.burst *= share;
    limit.isShared = share < 1;
    return limit;
}

double permitsPerSecond(const GatewayState &state, const Upstream &upstream, Instant now)
{
    const double stated = isInForce(upstream.limit, now)
            ? upstream.limit.perSecond * shareOfStatedLimit(state, upstream.listed.zone, now)
            : 0;
    const double cold = isCold(upstream, now) ? warmupLimitOf(state, upstream, now).perSecond : 0;
    if (stated > 0 && cold > 0)
        return std::min(stated, cold);
    return std::max(stated, cold);
}

bool takeOwnShare(GatewayState &state, const Upstream &upstream, Instant now)
{
    const Service *service = serviceOf(state, upstream);
    const WarmupLimit limit = warmupLimit(service->warmupPerSecond, state.self.warmupBound);
    const double hosts = static_cast<double>(countKnown(state.members) + 1);
    const Span turn = fromSeconds(hosts / ((limit.perSecondWarm + limit.burst) * partOfOwnShares));
    PermitPacer &share = state.engines[upstream.listed.id].ownShare;
    // The hosts' first turns are spread over the time between two turns of one.
    if (share.nextAt.micros == 0)
        share.nextAt = now + std::chrono::duration_cast<Span>(turn * draw(state));
    if (now < share.nextAt)
        return false;
    share.nextAt = now + turn;
    return true;
}

void markCold(const GatewayState &state, Upstream &upstream, Span left, Instant now)
{
    const Service *service = serviceOf(state, upstream);
    const bool isLimited = !service || service->warmupPerSecond > 0;
    upstream.coldUntil = isLimited && left > Span{} ? now + left : Instant{};
}

void markColdFromNow(const GatewayState &state, Upstream &upstream, Instant now)
{
    const Service *service = serviceOf(state, upstream);
    if (service)
        markCold(state, upstream, service->warmupTime, now);
}

} // namespace azurewell::gateway
