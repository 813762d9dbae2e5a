#include "azurewell/gateway/warmup.h"

#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Requests within a second that no permit covers: those sent early, before a report shows that
/// their adapter is loaded, and those of hosts whose coordinator does not answer.
constexpr double requestsWithoutPermit = 7;

/// Requests per second of a host that reaches no other host of the upstream's zone.
constexpr double minPerSecond = 0.05;

/// Hosts that may issue permits for one upstream at the same time.
constexpr double maxCoordinators = 2;

/// Hosts that are lost or restarting do not reduce the limit up to this part of a zone.
constexpr double wholeZone = 0.9;

/// The part of the limit for upstreams of a zone whose hosts are all out of reach: they may be lost
/// or behind a partition.
constexpr double shareOfLostZone = 0.3;

/// The part of the permits for upstreams of \a zone that this host may issue.
double shareOfPermits(const GatewayState &state, const ZoneId &zone, Instant now)
{
    double known = zone == state.self.zone ? 1 : 0;
    double reachable = known;
    for (const auto &[id, member] : state.members.others) {
        if (member.zone != zone || member.isLeaving)
            continue;
        known += 1;
        reachable += isMemberReachable(state.members, member, now) ? 1 : 0;
    }
    if (known == 0 || reachable >= wholeZone * known)
        return 1;
    const bool isInMajority = 2 * (countReachable(state.members, now) + 1)
            > countKnown(state.members) + 1;
    return isInMajority ? std::max(reachable / known, shareOfLostZone) : reachable / known;
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
    limit.burst = std::min(bound.tolerance / maxCoordinators, permits / maxCoordinators);
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
    limit.perSecond = std::max(limit.perSecond * share, minPerSecond);
    limit.perSecondWarm = std::max(limit.perSecondWarm * share, minPerSecond);
    limit.burst *= share;
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
    const Span turn = fromSeconds(hosts * maxCoordinators / limit.perSecond);
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
