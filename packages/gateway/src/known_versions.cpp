#include "known_versions.h"

#include "internal.h"

#include <algorithm>
#include <set>

namespace azurewell::gateway {

namespace {

/// A host that has heard nobody for this long is out of touch before its members time out: somebody
/// sends to it every 250 ms or more often, in fleets of any size.
constexpr Span maxSilence = std::chrono::milliseconds(600);

constexpr Span versionCheckInterval = std::chrono::milliseconds(250);

/// New streams do not begin at servers of a version that is new beside another one until each host
/// either knows of it or has noticed that it is out of touch, and a little longer. Otherwise a host
/// that knows of the other version only would go on with such a stream there.
constexpr Span holdMargin = std::chrono::seconds(1);

Span holdTime(const GatewayState &state)
{
    const HeartbeatPlan &plan = state.members.plan;
    return std::max(plan.timeoutInZone, plan.timeoutElsewhere) + holdMargin;
}

/// How long after it began a stream may be taken up again. A route's timeout bounds one attempt,
/// not how long a caller goes on to try.
constexpr Span resumptionWindow = maxOriginAge;

bool hasResumableStreams(const GatewayState &state)
{
    const std::vector<Route> &routes = state.configuration.routes;
    return std::any_of(routes.begin(), routes.end(), [](const Route &route) {
        return route.repeat == RepeatPolicy::Stream && route.isResumable;
    });
}

bool isAnyHeard(const GatewayState &state, Instant now)
{
    const auto &others = state.members.others;
    return others.empty() || std::any_of(others.begin(), others.end(), [&](const auto &entry) {
               return now - entry.second.sentAt < maxSilence;
           });
}

/// Whether \a member was heard when its last heartbeat was due. Its timeout is no measure of that:
/// it is several heartbeats, and 16 s in a fleet of 200 hosts.
bool isHeardWhenDue(const GatewayState &state, const Member &member, Instant now)
{
    const Span interval = heartbeatInterval(state.members, member);
    return isMemberReachable(state.members, member, now)
            && now - member.sentAt < interval + maxSilence;
}

/// Whether this host reaches most of the hosts that it knows, or knew when it lost them. Only then
/// it has heard of all versions that streams may have begun at.
bool isInTouch(const GatewayState &state, Instant now)
{
    if (!isAnyHeard(state, now))
        return false;
    const auto &others = state.members.others;
    const std::size_t heard = static_cast<std::size_t>(
            std::count_if(others.begin(), others.end(), [&](const auto &entry) {
                return !entry.second.isLeaving && isHeardWhenDue(state, entry.second, now);
            }));
    const std::size_t known = std::max(countKnown(state.members) + 1, state.knownWhenLost);
    return 2 * (heard + 1) > known;
}

/// The held versions of \a service, unless no server of another version is usable.
std::set<SoftwareVersion> heldVersionsOf(const GatewayState &state, const ServiceId &service,
                                         const ServiceVersions &versions, Instant now)
{
    std::set<SoftwareVersion> held;
    for (const auto &[version, until] : versions.heldUntil) {
        if (now < until)
            held.insert(version);
    }
    if (held.empty())
        return held;
    const bool isOtherUsable = std::any_of(
            state.upstreams.begin(), state.upstreams.end(), [&](const auto &entry) {
                const ListedUpstream &listed = entry.second.listed;
                return listed.service == service && !held.contains(listed.softwareVersion)
                        && isUsable(entry.second, now);
            });
    return isOtherUsable ? held : std::set<SoftwareVersion>{};
}

void checkAllVersions(GatewayState &state, Instant now)
{
    std::set<ServiceId> services;
    for (const auto &[id, upstream] : state.upstreams)
        services.insert(upstream.listed.service);
    for (const ServiceId &service : services)
        checkVersions(state, service, now);
}

/// Records that this host has lost most others, or reaches them again. Versions that are held stay
/// so until it has been in touch for long enough.
void checkTouch(GatewayState &state, Instant now)
{
    if (isInTouch(state, now)) {
        state.knownWhenLost = 0;
        return;
    }
    state.knownWhenLost = std::max(state.knownWhenLost, countKnown(state.members) + 1);
    for (auto &[service, versions] : state.serviceVersions) {
        for (auto &[version, until] : versions.heldUntil) {
            if (now < until)
                until = now + holdTime(state);
        }
    }
}

} // namespace

bool areEntriesFresh(const GatewayState &state, Instant now)
{
    if (state.platform == PlatformView::Answering)
        return true;
    if (!isAnyHeard(state, now))
        return false;
    const auto &others = state.members.others;
    return isInTouch(state, now)
            || std::any_of(others.begin(), others.end(), [&](const auto &entry) {
                   return entry.second.platform == PlatformView::Answering
                           && isHeardWhenDue(state, entry.second, now);
               });
}

bool isAnyHostMissing(const GatewayState &state, Instant now)
{
    const auto &others = state.members.others;
    return !isInTouch(state, now)
            || std::any_of(others.begin(), others.end(), [&](const auto &entry) {
                   return !entry.second.isLeaving && !isHeardWhenDue(state, entry.second, now);
               });
}

ServiceVersions &versionsOf(GatewayState &state, const ServiceId &service, Instant now)
{
    const auto [entry, isNew] = state.serviceVersions.try_emplace(service);
    if (isNew && !state.self.isFirstStart)
        entry->second.since = now;
    return entry->second;
}

bool isServiceMixed(const GatewayState &state, const ServiceId &service, Instant now)
{
    const auto found = state.serviceVersions.find(service);
    return found != state.serviceVersions.end() && hasResumableStreams(state)
            && isMixed(found->second, resumptionWindow, now);
}

std::set<ServiceId> servicesWithoutLoneVersion(const GatewayState &state, Instant now)
{
    std::set<ServiceId> services;
    for (const auto &[service, versions] : state.serviceVersions) {
        if (!loneVersion(versions, resumptionWindow, now))
            services.insert(service);
    }
    return services;
}

const SoftwareVersion *onlyVersion(const GatewayState &state, const ServiceId &service, Instant now)
{
    const auto found = state.serviceVersions.find(service);
    if (found == state.serviceVersions.end() || !isInTouch(state, now))
        return nullptr;
    return loneVersion(found->second, resumptionWindow, now);
}

std::vector<MixedService> mixedServices(const GatewayState &state, Instant now)
{
    std::vector<MixedService> mixed;
    for (const auto &[service, versions] : state.serviceVersions) {
        if (isServiceMixed(state, service, now))
            mixed.push_back({ service, versions.mixedAt });
    }
    return mixed;
}

void checkVersions(GatewayState &state, const ServiceId &service, Instant now)
{
    if (!hasResumableStreams(state))
        return;
    std::set<SoftwareVersion> listed;
    bool isAnyUnknown = false;
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.service != service)
            continue;
        listed.insert(upstream.listed.softwareVersion);
        isAnyUnknown = isAnyUnknown || !isVersionKnown(upstream);
    }
    if (listed.empty())
        return;
    const bool wasMixed = isServiceMixed(state, service, now);
    ServiceVersions &versions = versionsOf(state, service, now);
    updateVersions(versions, listed, now, now + holdTime(state));
    if (isAnyUnknown)
        versions.mixedAt = now;
    state.heldVersions[service] = heldVersionsOf(state, service, versions, now);
    if (wasMixed || !isServiceMixed(state, service, now))
        return;
    // The others must know before a stream begins at the new version.
    for (auto &[id, member] : state.members.others)
        setHeartbeat(state.members, member, now);
}

void checkVersionsIfDue(GatewayState &state, Instant now)
{
    if (now < state.nextVersionCheckAt)
        return;
    state.nextVersionCheckAt = now + versionCheckInterval;
    checkAllVersions(state, now);
    checkTouch(state, now);
}

} // namespace azurewell::gateway
