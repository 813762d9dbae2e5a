#include "azurewell/gateway/members.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Maximum number of heartbeats per second that a host sends to its zone and to other zones.
/// Together with the replies they take about a twentieth of a host with 0.12 cores, and some 20
/// KB/s.
constexpr double maxPerSecondInZone = 40;
constexpr double maxPerSecondElsewhere = 32;

/// Consecutive missed heartbeats before a host counts as unreachable. UDP messages are lost
/// occasionally, one in forty on a bad link. Other zones learn of a loss from the hosts of its
/// zone.
constexpr double missedInZone = 4.4;
constexpr double missedElsewhere = 3.2;

/// Ten times the planned fleet. Messages name their senders freely, so that strangers who reach the
/// port between hosts could make up any number of them.
constexpr std::size_t maxMembers = 4096;

/// Clocks of two hosts drift apart by less than this.
constexpr double maxClockDrift = 0.001;

/// The start of the process of \a sender: the earliest that its messages tell, as each is delayed
/// on its way or by this host.
Instant earliestStart(const Member &before, const Member &sender)
{
    const bool isFirstMessage = before.heardAt.micros == 0
            || before.incarnation != sender.incarnation;
    if (isFirstMessage)
        return sender.startedAt;
    const Span sinceLast = sender.lastMessageAt - before.lastMessageAt;
    const Instant latest = before.startedAt + fromSeconds(toSeconds(sinceLast) * maxClockDrift);
    return std::min(sender.startedAt, latest);
}

Span intervalOf(std::size_t hosts, double maxPerSecond)
{
    return std::max(minHeartbeatInterval, fromSeconds(static_cast<double>(hosts) / maxPerSecond));
}

Span timeoutOf(Span interval, double missed)
{
    return std::max(minHeartbeatTimeout, fromSeconds(toSeconds(interval) * missed));
}

Span heartbeatTimeout(const Members &members, const Member &member)
{
    return member.zone == members.zone ? members.plan.timeoutInZone : members.plan.timeoutElsewhere;
}

bool isAlive(const Members &members, const Member &member, Instant now)
{
    return !member.isLeaving && now - member.lastAliveAt < heartbeatTimeout(members, member);
}

/// A host to be ranked.
struct Candidate
{
    bool isWithoutPath;
    bool isInOtherZone;
    std::uint64_t weight;
    const HostId *id;
};

Candidate candidateOf(const Members &members, const ZoneId &zone, std::uint64_t keyHash,
                      const ServiceId &service)
{
    return { members.unreachableServices.contains(service), members.zone != zone,
             rendezvousMix(keyHash, stableHash(members.self.value)), &members.self };
}

Candidate candidateOf(const Member &member, const ZoneId &zone, std::uint64_t keyHash,
                      const ServiceId &service)
{
    return { member.unreachableServices.contains(service), member.zone != zone,
             rendezvousMix(keyHash, member.idHash), &member.id };
}

bool ranksBefore(const Candidate &a, const Candidate &b)
{
    if (a.isWithoutPath != b.isWithoutPath)
        return b.isWithoutPath;
    if (a.isInOtherZone != b.isInOtherZone)
        return b.isInOtherZone;
    return a.weight != b.weight ? a.weight > b.weight : *a.id < *b.id;
}

/// Returns how long after its last message a member is kept.
Span retentionOf(const Members &members, const Member &member)
{
    return member.isLeaving ? heartbeatTimeout(members, member) : memberRetention;
}

/// Returns when the reachability of \a member may change next, or it is due for removal, if no
/// message arrives.
Instant nextCheckAt(const Members &members, const Member &member, Instant now)
{
    const Span timeout = heartbeatTimeout(members, member);
    Instant next = member.lastMessageAt + retentionOf(members, member);
    for (const Instant at : { member.lastMessageAt + timeout, member.lastAliveAt + timeout }) {
        if (at > now)
            next = std::min(next, at);
    }
    return next;
}

/// Records that another host may rank first for engines than before.
void recordChange(Members &members, Instant now)
{
    ++members.generation;
    members.changedAt = std::max(members.changedAt, now);
}

void updateReachability(Members &members, Member &member, Instant now)
{
    const bool isReachableNow = !member.isLeaving && isMemberReachable(members, member, now);
    if (isReachableNow != member.wasReachable) {
        members.changedAt = now;
        if (!isReachableNow || member.returnedAt.micros != 0)
            members.reachabilityChanges.push_back(member.id);
    }
    member.wasReachable = isReachableNow;
    const bool isAliveNow = isAlive(members, member, now);
    if (isAliveNow != member.wasAlive)
        recordChange(members, now);
    member.wasAlive = isAliveNow;
}

void forget(Members &members, const HostId &id)
{
    members.heartbeats.erase(id);
    members.others.erase(id);
    members.isPlanStale = true;
    ++members.generation;
}

/// Checks the members that may have timed out or are due for removal.
void checkDue(Members &members, Instant now)
{
    while (const std::optional<HostId> due = members.checks.takeDue(now)) {
        const auto found = members.others.find(*due);
        if (found == members.others.end())
            continue;
        Member &member = found->second;
        updateReachability(members, member, now);
        if (now - member.lastMessageAt >= retentionOf(members, member))
            forget(members, *due);
        else
            members.checks.set(*due, nextCheckAt(members, member, now));
    }
}

void countHost(ReachCounts &counts, const Members &members, const Member &member, Instant now)
{
    if (member.isLeaving)
        return;
    ++counts.known;
    counts.reachable += isMemberReachable(members, member, now) ? 1 : 0;
    counts.linked += isMemberLinked(members, member, now) ? 1 : 0;
}

void updatePlan(Members &members)
{
    const auto inZone = std::count_if(
            members.others.begin(), members.others.end(),
            [&](const auto &entry) { return entry.second.zone == members.zone; });
    const std::size_t near = static_cast<std::size_t>(inZone);
    members.plan = planHeartbeats(near, members.others.size() - near);
}

bool isOneTooMany(const Members &members, const HostId &id)
{
    return members.others.size() >= maxMembers && !members.others.contains(id);
}

} // namespace

HeartbeatPlan planHeartbeats(std::size_t inZone, std::size_t elsewhere)
{
    HeartbeatPlan plan;
    plan.inZone = intervalOf(inZone, maxPerSecondInZone);
    plan.inOtherZones = intervalOf(elsewhere, maxPerSecondElsewhere);
    plan.timeoutInZone = timeoutOf(plan.inZone, missedInZone);
    plan.timeoutElsewhere = timeoutOf(plan.inOtherZones, missedElsewhere);
    return plan;
}

Span heartbeatInterval(const Members &members, const Member &member)
{
    return member.zone == members.zone ? members.plan.inZone : members.plan.inOtherZones;
}

bool isMemberReachable(const Members &members, const Member &member, Instant now)
{
    return now - member.lastMessageAt < heartbeatTimeout(members, member);
}

bool isMemberLinked(const Members &members, const Member &member, Instant now)
{
    // What it states of its hearing is as old as its last message.
    const Span validity = heartbeatTimeout(members, member) + heartbeatInterval(members, member);
    const bool isHeard = member.heardByAt.micros == 0 || now - member.heardByAt < validity;
    return isHeard && isMemberReachable(members, member, now);
}

void setHeartbeat(Members &members, Member &member, Instant at)
{
    member.nextHeartbeatAt = at;
    members.heartbeats.set(member.id, at);
}

bool recordMember(Members &members, const Member &member)
{
    if (member.id == members.self || isOneTooMany(members, member.id))
        return false;
    const auto [known, isNew] = members.others.try_emplace(member.id, member);
    if (!isNew && member.incarnation < known->second.incarnation)
        return false;
    const Member before = known->second;
    const bool isNewIncarnation = isNew || member.incarnation != before.incarnation;
    if (isNewIncarnation)
        members.changedAt = member.lastMessageAt;
    known->second = member;
    known->second.lastAliveAt = std::max(member.lastMessageAt, before.lastAliveAt);
    known->second.startedAt = earliestStart(before, member);
    known->second.sentAt = member.lastMessageAt - (member.startedAt - known->second.startedAt);
    known->second.wasReachable = before.wasReachable;
    known->second.wasAlive = before.wasAlive;
    known->second.firstKnownAt = isNewIncarnation ? member.lastMessageAt : before.firstKnownAt;
    const bool hasReturned = member.lastMessageAt - before.lastMessageAt
            >= heartbeatTimeout(members, before);
    known->second.returnedAt = hasReturned ? member.lastMessageAt : before.returnedAt;
    if (!isNewIncarnation)
        known->second.heardByAt = std::max(member.heardByAt, before.heardByAt);
    known->second.nextHeartbeatAt = isNewIncarnation ? Instant{} : before.nextHeartbeatAt;
    known->second.relayRequestedAt = before.relayRequestedAt;
    known->second.nextEngineUpdateAt = isNewIncarnation ? Instant{} : before.nextEngineUpdateAt;
    known->second.idHash = isNew ? stableHash(member.id.value) : before.idHash;
    if (isNewIncarnation)
        setHeartbeat(members, known->second, Instant{});
    members.isPlanStale = members.isPlanStale || isNew || before.zone != member.zone;
    const bool hasChanged = isNew || before.isLeaving != member.isLeaving
            || before.zone != member.zone;
    if (hasChanged || before.unreachableServices != member.unreachableServices)
        recordChange(members, member.lastMessageAt);
    // For all other members the next check can only move later.
    if (hasChanged || !before.wasReachable || !before.wasAlive)
        members.checks.bringForward(member.id, member.lastMessageAt);
    return true;
}

void recordReportedMember(Members &members, const Member &member)
{
    if (member.id == members.self || isOneTooMany(members, member.id))
        return;
    const auto [found, isNew] = members.others.try_emplace(member.id, member);
    Member &known = found->second;
    if (isNew) {
        known.idHash = stableHash(member.id.value);
        known.firstKnownAt = member.lastMessageAt;
        ++members.generation;
        members.isPlanStale = true;
        setHeartbeat(members, known, Instant{});
    }
    if (known.incarnation == member.incarnation)
        known.lastAliveAt = std::max(known.lastAliveAt, member.lastMessageAt);
    if (!known.wasAlive)
        members.checks.bringForward(member.id, member.lastMessageAt);
}

void updateMembers(Members &members, Instant now)
{
    if (now - members.lastUpdateAt > pauseThreshold)
        members.changedAt = now;
    members.lastUpdateAt = now;
    checkDue(members, now);
    if (!std::exchange(members.isPlanStale, false))
        return;
    updatePlan(members);
    for (const auto &[id, member] : members.others)
        members.checks.set(id, now);
    checkDue(members, now);
}

ReachCounts countReach(const Members &members, const ZoneId &zone, Instant now)
{
    const std::size_t own = members.zone == zone ? 1 : 0;
    ReachCounts counts{ own, own, own };
    for (const auto &[id, member] : members.others) {
        if (member.zone == zone)
            countHost(counts, members, member, now);
    }
    return counts;
}

ReachCounts countReach(const Members &members, Instant now)
{
    ReachCounts counts{ 1, 1, 1 };
    for (const auto &[id, member] : members.others)
        countHost(counts, members, member, now);
    return counts;
}

std::size_t countReachable(const Members &members, Instant now)
{
    return static_cast<std::size_t>(
            std::count_if(members.others.begin(), members.others.end(), [&](const auto &entry) {
                return !entry.second.isLeaving && isMemberReachable(members, entry.second, now);
            }));
}

bool haveMostRunSince(const Members &members, Instant then, Instant now)
{
    const auto running = std::count_if(members.others.begin(), members.others.end(),
                                       [&](const auto &entry) {
                                           return isMemberReachable(members, entry.second, now)
                                                   && entry.second.startedAt <= then;
                                       });
    return 2 * static_cast<std::size_t>(running) > countReachable(members, now);
}

std::size_t countKnown(const Members &members)
{
    return static_cast<std::size_t>(
            std::count_if(members.others.begin(), members.others.end(),
                          [](const auto &entry) { return !entry.second.isLeaving; }));
}

std::vector<HostId> rankedHosts(const Members &members, const ZoneId &zone, std::string_view key)
{
    const std::uint64_t keyHash = stableHash(key);
    std::vector<Candidate> ranked{ candidateOf(members, zone, keyHash, {}) };
    for (const auto &[id, member] : members.others) {
        if (!member.isLeaving)
            ranked.push_back(candidateOf(member, zone, keyHash, {}));
    }
    std::sort(ranked.begin(), ranked.end(), ranksBefore);
    std::vector<HostId> ids;
    ids.reserve(ranked.size());
    for (const Candidate &host : ranked)
        ids.push_back(*host.id);
    return ids;
}

HostId firstLiveHost(const Members &members, const ZoneId &zone, std::string_view key, Instant now,
                     const ServiceId &service)
{
    const std::uint64_t keyHash = stableHash(key);
    Candidate first = candidateOf(members, zone, keyHash, service);
    for (const auto &[id, member] : members.others) {
        if (!isAlive(members, member, now))
            continue;
        const Candidate other = candidateOf(member, zone, keyHash, service);
        if (ranksBefore(other, first))
            first = other;
    }
    return *first.id;
}

bool isAlive(const Members &members, const HostId &host, Instant now)
{
    if (host == members.self)
        return true;
    const auto found = members.others.find(host);
    return found != members.others.end() && isAlive(members, found->second, now);
}

} // namespace azurewell::gateway
