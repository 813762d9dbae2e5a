#include "azurewell/gateway/members.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>

namespace azurewell::gateway {

bool isHeard(const Member &member, Instant now)
{
    return now - member.heardAt < silentAfter;
}

bool noteMember(Members &members, const Member &member)
{
    if (member.id == members.self)
        return false;
    const auto [known, isNew] = members.others.try_emplace(member.id, member);
    if (!isNew && member.incarnation < known->second.incarnation)
        return false;
    if (isNew || member.incarnation != known->second.incarnation)
        members.changedAt = member.heardAt;
    const Instant told = known->second.aliveAt;
    const bool wasHeard = known->second.wasHeard;
    known->second = member;
    known->second.aliveAt = std::max(member.heardAt, told);
    known->second.wasHeard = wasHeard;
    return true;
}

void noteRumour(Members &members, const Member &member)
{
    if (member.id == members.self)
        return;
    Member &known = members.others.try_emplace(member.id, member).first->second;
    if (known.incarnation == member.incarnation)
        known.aliveAt = std::max(known.aliveAt, member.heardAt);
}

void updateMembers(Members &members, Instant now)
{
    if (now - members.lookedAt > pausedAfter)
        members.changedAt = now;
    members.lookedAt = now;
    for (auto &[id, member] : members.others) {
        const bool isHeardNow = !member.isLeaving && isHeard(member, now);
        if (isHeardNow != member.wasHeard)
            members.changedAt = now;
        member.wasHeard = isHeardNow;
    }
    std::erase_if(members.others, [now](const auto &entry) {
        const Span kept = entry.second.isLeaving ? silentAfter : forgottenAfter;
        return now - entry.second.heardAt >= kept;
    });
}

std::size_t countHeard(const Members &members, Instant now)
{
    return static_cast<std::size_t>(
            std::count_if(members.others.begin(), members.others.end(), [now](const auto &entry) {
                return !entry.second.isLeaving && isHeard(entry.second, now);
            }));
}

std::size_t countKnown(const Members &members)
{
    return static_cast<std::size_t>(
            std::count_if(members.others.begin(), members.others.end(),
                          [](const auto &entry) { return !entry.second.isLeaving; }));
}

bool isAnySilent(const Members &members, Instant now)
{
    return countKnown(members) > countHeard(members, now);
}

std::vector<HostId> rankedHosts(const Members &members, const ZoneId &zone, std::string_view key)
{
    struct Ranked
    {
        bool isOutside;
        std::uint64_t weight;
        HostId id;
    };
    std::vector<Ranked> ranked;
    ranked.push_back(
            { members.zone != zone, rendezvousWeight(key, members.self.value), members.self });
    for (const auto &[id, member] : members.others) {
        if (!member.isLeaving)
            ranked.push_back({ member.zone != zone, rendezvousWeight(key, id.value), id });
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        if (a.isOutside != b.isOutside)
            return b.isOutside;
        return a.weight != b.weight ? a.weight > b.weight : a.id < b.id;
    });
    std::vector<HostId> ids;
    ids.reserve(ranked.size());
    for (const Ranked &host : ranked)
        ids.push_back(host.id);
    return ids;
}

bool isAlive(const Members &members, const HostId &host, Instant now)
{
    if (host == members.self)
        return true;
    const auto found = members.others.find(host);
    return found != members.others.end() && !found->second.isLeaving
            && now - found->second.aliveAt < silentAfter;
}

} // namespace azurewell::gateway
