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

/// Hosts of one zone, with this host if it is its own.
struct ZoneHosts
{
    double known = 0;
    double reachable = 0;
};

ZoneHosts hostsOf(const GatewayState &state, const ZoneId &zone, Instant now)
{
    ZoneHosts hosts;
    if (zone == state.self.zone)
        hosts = { 1, 1 };
    for (const auto &[id, member] : state.members.others) {
        if (member.zone != zone || member.isLeaving)
            continue;
        hosts.known += 1;
        hosts.reachable += isMemberReachable(state.members, member, now) ? 1 : 0;
    }
    return hosts;
}

/// Whether this host is on the smaller side of a partition, as far as it knows. The loss of its own
/// zone is noticed first.
bool isCutOff(const GatewayState &state, Instant now)
{
    const ZoneHosts own = hostsOf(state, state.self.zone, now);
    const double all = static_cast<double>(countKnown(state.members) + 1);
    const double reachable = static_cast<double>(countReachable(state.members, now) + 1);
    return 2 * own.reachable < own.known || 2 * reachable <= all;
}

/// The part of the permits for upstreams of \a zone that this host may issue.
double shareOfPermits(const GatewayState &state, const ZoneId &zone, Instant now)
{
    const ZoneHosts hosts = hostsOf(state, zone, now);
    if (hosts.known == 0 || hosts.reachable >= wholeZone * hosts.known)
        return 1;
    const double reachable = hosts.reachable / hosts.known;
    if (!isCutOff(state, now))
        return reachable > 1 - wholeZone ? 1 - shareOfMinority * (1 - reachable) : shareOfLostZone;
    if (hosts.reachable > 0)
        return reachable * shareOfMinority;
    const double all = static_cast<double>(countKnown(state.members) + 1);
    return static_cast<double>(countReachable(state.members, now) + 1) / all * shareOfOtherZones;
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
    const double stated = isInForce(upstream.limit, now) ? upstream.limit.perSecond : 0;
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
