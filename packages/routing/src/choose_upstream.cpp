#include "azurewell/routing/rendezvous.h"
#include "azurewell/routing/upstream_table.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace azurewell {

namespace {

/// A group of up to this many is looked at whole.
constexpr std::size_t mostScanned = 32;
constexpr std::size_t mostHolders = 8;
constexpr std::size_t homesInOwnZone = 4;
constexpr std::size_t homesInAll = 2;
constexpr std::size_t drawnInOwnZone = 4;
constexpr std::size_t drawnInAll = 2;

/// What a load costs a caller and, as the weight store's loads are scarce, everyone else.
constexpr double loadSeconds = 6.0;
/// The same where the load is on its way already: it costs nobody anything more.
constexpr double joinSeconds = 1.0;
/// Seconds of preference for the adapter's home among engines that would have to load it.
constexpr double homeSeconds = 4.0;
/// Seconds of preference for the own zone.
constexpr double zoneSeconds = 0.3;
/// Seconds that the last free batch slot of an engine is worth. Requests for a hot adapter that
/// fill an engine lock up its other adapter slots, so the cost rises before the engine is full.
constexpr double crowdSeconds = 6.0;

double loadOf(const UpstreamEntry &entry)
{
    const double known = static_cast<double>(entry.report.running)
            + static_cast<double>(entry.report.queued) + static_cast<double>(entry.sentSince);
    return std::max(known, static_cast<double>(entry.inFlight)) / entry.batchSlots;
}

bool isIn(const std::vector<AdapterRef> &list, const AdapterRef &adapter)
{
    return std::find(list.begin(), list.end(), adapter) != list.end();
}

bool isOnItsWay(const UpstreamEntry &entry, const AdapterRef &adapter)
{
    return isIn(entry.report.wanted, adapter)
            || std::any_of(entry.expected.begin(), entry.expected.end(),
                           [&adapter](const ExpectedAdapter &expected) {
                               return expected.adapter == adapter;
                           });
}

/// Seconds until the adapter can serve there.
double adapterWait(const UpstreamGroup &group, const UpstreamEntry &entry,
                   const AdapterRef &adapter)
{
    if (adapter.value.empty() || isIn(entry.report.loaded, adapter))
        return 0;
    const bool isJoining = isOnItsWay(entry, adapter);
    const double ahead = static_cast<double>(entry.report.wanted.size())
            + static_cast<double>(entry.missesSince) + (isJoining ? 0 : 1);
    const double missing = ahead - static_cast<double>(entry.report.openSlots);
    const double slotWait = missing <= 0 ? 0 : group.holdSeconds * missing / entry.adapterSlots;
    if (isJoining)
        return joinSeconds + slotWait;
    const std::uint64_t home = rendezvousMix(stableHash(adapter.value), entry.hash);
    const double homeOrder = 1.0 - static_cast<double>(home) / 18446744073709551616.0;
    return loadSeconds + slotWait + homeSeconds * homeOrder;
}

bool isExcluded(const RouteAsk &ask, const UpstreamEntry &entry)
{
    return std::find(ask.excluded.begin(), ask.excluded.end(), entry.id) != ask.excluded.end();
}

/// The best of the candidates given to it.
struct Choice
{
    const UpstreamTable &table;
    const UpstreamGroup &group;
    const RouteAsk &ask;
    Instant now;
    bool takesSlow = false; ///< Where nothing else can be had.
    const UpstreamEntry *best = nullptr;
    double least = 0;

    void consider(std::uint32_t index)
    {
        const UpstreamEntry &entry = this->table.entries[index];
        if (!mayTakeWork(entry) || isExcluded(this->ask, entry))
            return;
        const bool isProbe = entry.inFlight == 0 && this->now >= entry.probeAfter;
        if (isSlow(this->group, entry) && !isProbe && !this->takesSlow)
            return;
        const double cost = routeCost(this->group, entry, this->ask.adapter);
        if (this->best && cost >= this->least)
            return;
        this->best = &entry;
        this->least = cost;
    }
};

using Ring = std::vector<std::pair<std::uint64_t, std::uint32_t>>;

void considerHomes(Choice &choice, const Ring &ring, std::uint64_t key, std::size_t count)
{
    if (ring.empty())
        return;
    auto point = std::lower_bound(ring.begin(), ring.end(), std::pair(key, 0U));
    for (std::size_t taken = 0; taken < count; ++taken, ++point) {
        if (point == ring.end())
            point = ring.begin();
        choice.consider(point->second);
    }
}

void considerDrawn(Choice &choice, const std::vector<std::uint32_t> &members, std::uint64_t salt,
                   std::size_t count)
{
    if (members.empty())
        return;
    for (std::size_t draw = 0; draw < count; ++draw)
        choice.consider(members[rendezvousMix(salt, draw + 1) % members.size()]);
}

void considerAll(Choice &choice)
{
    for (const std::uint32_t index : choice.group.all)
        choice.consider(index);
}

void considerHolders(Choice &choice)
{
    const auto found = choice.table.holders.find(choice.ask.adapter);
    if (found == choice.table.holders.end())
        return;
    const std::vector<std::uint32_t> &holders = found->second;
    const std::size_t count = std::min(holders.size(), mostHolders);
    for (std::size_t step = 0; step < count; ++step)
        choice.consider(holders[(choice.ask.salt + step) % holders.size()]);
}

} // namespace

bool mayTakeWork(const UpstreamEntry &entry)
{
    if (entry.isLeaving || entry.state == UpstreamState::Leaving
        || entry.state == UpstreamState::Ejected)
        return false;
    // One request at a time tells whether an ejected upstream is well again.
    return entry.state != UpstreamState::Probing || entry.inFlight == 0;
}

double routeCost(const UpstreamGroup &group, const UpstreamEntry &entry, const AdapterRef &adapter)
{
    const double load = loadOf(entry) + 1.0 / entry.batchSlots;
    const double batchWait = std::max(0.0, load - 1.0) * group.holdSeconds;
    const double crowd = std::min(load * load, 1.0) * crowdSeconds;
    const double zone = entry.isOwnZone ? 0 : zoneSeconds;
    return batchWait + crowd + zone + adapterWait(group, entry, adapter);
}

std::optional<UpstreamId> chooseUpstream(const UpstreamTable &table, const RouteAsk &ask,
                                         Instant now)
{
    const bool isService = ask.adapter.value.empty();
    const auto &byName = isService ? table.serviceGroups : table.engineGroups;
    const auto found = byName.find(ask.group);
    if (found == byName.end())
        return std::nullopt;
    const UpstreamGroup &group = table.groups[found->second];
    Choice choice{ table, group, ask, now };
    const bool isSmall = group.all.size() <= mostScanned;
    if (!isSmall) {
        const std::uint64_t key = stableHash(ask.adapter.value);
        considerHolders(choice);
        considerHomes(choice, group.ownRing, key, homesInOwnZone);
        considerHomes(choice, group.ring, key, homesInAll);
        considerDrawn(choice, group.own, ask.salt, drawnInOwnZone);
        considerDrawn(choice, group.all, ask.salt, drawnInAll);
    }
    // Small groups; and where all candidates are down, any that is up.
    if (isSmall || !choice.best)
        considerAll(choice);
    if (!choice.best) {
        choice.takesSlow = true;
        considerAll(choice);
    }
    if (!choice.best)
        return std::nullopt;
    return choice.best->id;
}

} // namespace azurewell
