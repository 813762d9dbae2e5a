#include "known_versions.h"

#include "internal.h"

#include <algorithm>
#include <set>

namespace azurewell::gateway {

namespace {

/// A host that has heard nobody for this long is out of touch before its members time out: somebody
/// sends to it every 250 ms or more often, in fleets of any size.
constexpr Span maxSilence = std::chrono::milliseconds(600);

/// A message that tells of mixed versions is repeated after this time until it is confirmed.
constexpr Span tellInterval = std::chrono::milliseconds(200);

constexpr Span versionCheckInterval = std::chrono::milliseconds(250);

/// Time for a message to arrive. It also covers hosts whose heartbeat plans differ.
constexpr Span noticeMargin = std::chrono::milliseconds(400);

/// A host that hears no message of most hosts for this long is out of touch.
Span noticeTime(const GatewayState &state)
{
    const HeartbeatPlan &plan = state.members.plan;
    return std::max(plan.inZone, plan.inOtherZones) + maxSilence + noticeMargin;
}

/// Where no other version is usable and most hosts are not reached, a version is held for this
/// long: nothing would be served until those hosts are back or forgotten.
constexpr Span loneHoldMargin = std::chrono::seconds(1);

Span loneHoldTime(const GatewayState &state)
{
    const HeartbeatPlan &plan = state.members.plan;
    return std::max(plan.timeoutInZone, plan.timeoutElsewhere) + loneHoldMargin;
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

/// The hosts of the fleet, with this one: those that it knows, or knew when it lost most of them.
std::size_t fleetSize(const GatewayState &state)
{
    return std::max(countKnown(state.members) + 1, state.knownWhenLost);
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
    return 2 * (heard + 1) > fleetSize(state);
}

/// Whether an upstream of \a service is usable whose version is among \a held, or is not, as
/// \a isHeld says.
bool isAnyUsable(const GatewayState &state, const ServiceId &service,
                 const std::set<SoftwareVersion> &held, bool isHeld, Instant now)
{
    return std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto &entry) {
        const ListedUpstream &listed = entry.second.listed;
        return listed.service == service && held.contains(listed.softwareVersion) == isHeld
                && isUsable(entry.second, now);
    });
}

/// Whether \a member has stated that the versions of \a service are mixed, so that it does not take
/// the one that it knows for the only one.
bool knowsMixed(const GatewayState &state, const Member &member, const ServiceId &service,
                Instant now)
{
    const auto stated = member.mixedServices.find(service);
    return stated != member.mixedServices.end()
            && now + noticeTime(state) < stated->second + resumptionWindow;
}

/// How many hosts know that the versions of a service are mixed.
struct MixedKnowledge
{
    std::size_t uninformed = 0;      ///< Other hosts that have not stated it.
    bool isMajorityInformed = false; ///< Among the hosts that have not announced that they leave.
};

MixedKnowledge mixedKnowledge(const GatewayState &state, const ServiceId &service, Instant now)
{
    MixedKnowledge knowledge;
    std::size_t informed = 1;
    for (const auto &[id, member] : state.members.others) {
        const bool isInformed = knowsMixed(state, member, service, now);
        knowledge.uninformed += isInformed ? 0 : 1;
        informed += isInformed && !member.isLeaving ? 1 : 0;
    }
    knowledge.isMajorityInformed = 2 * informed > fleetSize(state);
    return knowledge;
}

/// Sets \a since to \a now if \a isTrue and was not before; to zero if it is not.
void setSince(Instant &since, bool isTrue, Instant now)
{
    if (!isTrue)
        since = Instant{};
    else if (since.micros == 0)
        since = now;
}

bool isTrueFor(Instant since, Span span, Instant now)
{
    return since.micros != 0 && now >= since + span;
}

bool isAnyHeld(const ServiceVersions &versions)
{
    return std::any_of(versions.heldSince.begin(), versions.heldSince.end(),
                       [](const auto &entry) { return entry.second.micros != 0; });
}

/// Lets new streams begin at versions that were held, once no host can take another version for the
/// only one. A host does that only while it has heard another host within maxSilence, and a
/// majority within noticeTime(). So it cannot if all hosts are informed; if it is the only
/// uninformed host, since whoever it hears informs it; or if a majority has been informed for
/// noticeTime(), since two majorities have a host in common.
void endHolds(const GatewayState &state, const ServiceId &service, ServiceVersions &versions,
              Instant now)
{
    if (!isAnyHeld(versions))
        return;
    const MixedKnowledge knowledge = mixedKnowledge(state, service, now);
    setSince(versions.allButOneKnowAt, knowledge.uninformed <= 1, now);
    setSince(versions.mostKnowAt, knowledge.isMajorityInformed, now);
    const bool isOver = knowledge.uninformed == 0
            || isTrueFor(versions.allButOneKnowAt, maxSilence + noticeMargin, now)
            || isTrueFor(versions.mostKnowAt, noticeTime(state), now);
    if (!isOver)
        return;
    for (auto &[version, since] : versions.heldSince)
        since = Instant{};
}

/// The versions of \a service at which no new streams begin.
std::set<SoftwareVersion> heldVersionsOf(const GatewayState &state, const ServiceId &service,
                                         const ServiceVersions &versions, Instant now)
{
    std::set<SoftwareVersion> held;
    std::set<SoftwareVersion> heldBriefly;
    for (const auto &[version, since] : versions.heldSince) {
        if (since.micros == 0)
            continue;
        held.insert(version);
        if (now < since + loneHoldTime(state))
            heldBriefly.insert(version);
    }
    return isAnyUsable(state, service, held, false, now) ? held : heldBriefly;
}

/// The others must know before a stream begins at a new version.
void tellAll(GatewayState &state, Instant now)
{
    state.mixedToldAt = now;
    state.nextTellAt = now + tellInterval;
    for (auto &[id, member] : state.members.others)
        setHeartbeat(state.members, member, now);
}

/// Tells hosts again that have not said that they know: the message, or theirs, may be lost.
void tellUninformed(GatewayState &state, Instant now)
{
    if (now < state.nextTellAt)
        return;
    state.nextTellAt = now + tellInterval;
    for (const auto &[service, versions] : state.serviceVersions) {
        if (!isAnyHeld(versions))
            continue;
        for (auto &[id, member] : state.members.others) {
            if (!knowsMixed(state, member, service, now))
                setHeartbeat(state.members, member, now);
        }
    }
}

void checkAllVersions(GatewayState &state, Instant now)
{
    std::set<ServiceId> services;
    for (const auto &[id, upstream] : state.upstreams)
        services.insert(upstream.listed.service);
    for (const ServiceId &service : services)
        checkVersions(state, service, now);
}

/// Records that this host has lost most others, or reaches them again.
void checkTouch(GatewayState &state, Instant now)
{
    if (isInTouch(state, now)) {
        state.knownWhenLost = 0;
        return;
    }
    state.knownWhenLost = fleetSize(state);
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
    updateVersions(versions, listed, now);
    if (isAnyUnknown)
        versions.mixedAt = now;
    endHolds(state, service, versions, now);
    state.heldVersions[service] = heldVersionsOf(state, service, versions, now);
    if (!wasMixed && isServiceMixed(state, service, now))
        tellAll(state, now);
}

void takeMixedServices(GatewayState &state, const HostId &from,
                       const std::vector<MixedService> &mixedServices, Instant now)
{
    Member &sender = state.members.others.at(from);
    const bool hasHeard = sender.heardByAt.micros == 0 || sender.heardByAt >= state.mixedToldAt;
    if (!mixedServices.empty() && !hasHeard)
        setHeartbeat(state.members, sender, now);
    for (const MixedService &mixed : mixedServices) {
        const bool wasMixed = isServiceMixed(state, mixed.service, now);
        ServiceVersions &versions = versionsOf(state, mixed.service, now);
        versions.mixedAt = std::max(versions.mixedAt, std::min(mixed.mixedAt, now));
        if (!wasMixed && isServiceMixed(state, mixed.service, now))
            tellAll(state, now);
        if (isAnyHeld(versions))
            state.nextVersionCheckAt = now;
    }
}

bool isOnlyHeldUsable(const GatewayState &state, const ServiceId &service, Instant now)
{
    const auto held = state.heldVersions.find(service);
    return held != state.heldVersions.end() && !held->second.empty()
            && !isAnyUsable(state, service, held->second, false, now)
            && isAnyUsable(state, service, held->second, true, now);
}

void checkVersionsIfDue(GatewayState &state, Instant now)
{
    if (now < state.nextVersionCheckAt)
        return;
    state.nextVersionCheckAt = now + versionCheckInterval;
    checkAllVersions(state, now);
    tellUninformed(state, now);
    checkTouch(state, now);
}

} // namespace azurewell::gateway
