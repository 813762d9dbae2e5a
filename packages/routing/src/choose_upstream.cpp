#include "azurewell/routing/rendezvous.h"
#include "azurewell/routing/upstream_table.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace azurewell {

namespace {

/// In groups of up to this size every upstream is evaluated.
constexpr std::size_t maxFullScan = 32;
constexpr std::size_t maxAdapterHolders = 8;
constexpr std::size_t homesInOwnZone = 4;
constexpr std::size_t homesInAll = 2;
constexpr std::size_t sampledInOwnZone = 4;
constexpr std::size_t sampledInAll = 2;

/// Cost of a load in seconds, for the caller and, as the weight store's capacity is scarce, for
/// others.
constexpr double loadSeconds = 6.0;
/// Cost in seconds of waiting for a load that is already in progress.
constexpr double loadInProgressSeconds = 1.0;
/// Maximum preference, in seconds, for the adapter's home among engines that would have to load it.
constexpr double homeSeconds = 4.0;
/// Preference for the own zone, in seconds.
constexpr double zoneSeconds = 0.3;
/// Cost in seconds of using an engine's last free batch slot. Requests for a hot adapter that fill
/// an engine make its other adapter slots useless, so the cost rises before the engine is full.
constexpr double occupancySeconds = 6.0;

double loadOf(const UpstreamEntry &entry)
{
    const double known = static_cast<double>(entry.report.running)
            + static_cast<double>(entry.report.queued) + static_cast<double>(entry.sentSinceReport);
    return std::max(known, static_cast<double>(entry.inFlight)) / entry.batchSlots;
}

bool contains(const std::vector<AdapterRef> &list, const AdapterRef &adapter)
{
    return std::find(list.begin(), list.end(), adapter) != list.end();
}

bool isLoadInProgress(const UpstreamEntry &entry, const AdapterRef &adapter)
{
    return contains(entry.report.wanted, adapter)
            || std::any_of(entry.expected.begin(), entry.expected.end(),
                           [&adapter](const ExpectedAdapter &expected) {
                               return expected.adapter == adapter;
                           });
}

/// Expected seconds until the adapter is loaded there, with the home preference.
double adapterWait(const UpstreamGroup &group, const UpstreamEntry &entry,
                   const AdapterRef &adapter)
{
    if (adapter.value.empty() || contains(entry.report.loaded, adapter))
        return 0;
    const bool isJoining = isLoadInProgress(entry, adapter);
    const double ahead = static_cast<double>(entry.report.wanted.size())
            + static_cast<double>(entry.missesSinceReport) + (isJoining ? 0 : 1);
    const double missing = ahead - static_cast<double>(entry.report.openSlots);
    const double slotWait = missing <= 0 ? 0 : group.holdSeconds * missing / entry.adapterSlots;
    if (isJoining)
        return loadInProgressSeconds + slotWait;
    const std::uint64_t home = rendezvousMix(stableHash(adapter.value), entry.hash);
    const double homeOrder = 1.0 - static_cast<double>(home) / 18446744073709551616.0;
    return loadSeconds + slotWait + homeSeconds * homeOrder;
}

bool isExcluded(const RouteRequest &request, const UpstreamEntry &entry)
{
    return std::find(request.excluded.begin(), request.excluded.end(), entry.id)
            != request.excluded.end();
}

/// Keeps the candidate with the lowest cost.
struct Choice
{
    const UpstreamTable &table;
    const UpstreamGroup &group;
    const RouteRequest &request;
    Instant now;
    bool acceptsSlow = false; ///< Whether slow upstreams are accepted.
    const UpstreamEntry *best = nullptr;
    double lowestCost = 0;

    void consider(std::uint32_t index)
    {
        const UpstreamEntry &entry = this->table.entries[index];
        if (!mayTakeWork(entry) || isExcluded(this->request, entry))
            return;
        const bool isProbe = entry.inFlight == 0 && this->now >= entry.probeAfter;
        if (isSlow(this->group, entry) && !isProbe && !this->acceptsSlow)
            return;
        const double cost = routeCost(this->group, entry, this->request.adapter);
        if (this->best && cost >= this->lowestCost)
            return;
        this->best = &entry;
        this->lowestCost = cost;
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

void considerSampled(Choice &choice, const std::vector<std::uint32_t> &members, std::uint64_t salt,
                     std::size_t count)
{
    if (members.empty())
        return;
    for (std::size_t sample = 0; sample < count; ++sample)
        choice.consider(members[rendezvousMix(salt, sample + 1) % members.size()]);
}

void considerAll(Choice &choice)
{
    for (const std::uint32_t index : choice.group.all)
        choice.consider(index);
}

void considerHolders(Choice &choice)
{
    const auto found = choice.table.adapterHolders.find(choice.request.adapter);
    if (found == choice.table.adapterHolders.end())
        return;
    const std::vector<std::uint32_t> &holders = found->second;
    const std::size_t count = std::min(holders.size(), maxAdapterHolders);
    for (std::size_t step = 0; step < count; ++step)
        choice.consider(holders[(choice.request.salt + step) % holders.size()]);
}

} // namespace

bool mayTakeWork(const UpstreamEntry &entry)
{
    if (entry.isLeaving || entry.state == UpstreamState::Leaving
        || entry.state == UpstreamState::Ejected)
        return false;
    // One request at a time probes whether an ejected upstream has recovered.
    return entry.state != UpstreamState::Probing || entry.inFlight == 0;
}

double routeCost(const UpstreamGroup &group, const UpstreamEntry &entry, const AdapterRef &adapter)
{
    const double load = loadOf(entry) + 1.0 / entry.batchSlots;
    const double batchWait = std::max(0.0, load - 1.0) * group.holdSeconds;
    const double occupancy = std::min(load * load, 1.0) * occupancySeconds;
    const double zone = entry.isOwnZone ? 0 : zoneSeconds;
    return batchWait + occupancy + zone + adapterWait(group, entry, adapter);
}

std::optional<UpstreamId> chooseUpstream(const UpstreamTable &table, const RouteRequest &request,
                                         Instant now)
{
    const bool isService = request.adapter.value.empty();
    const auto &byName = isService ? table.serviceGroups : table.engineGroups;
    const auto found = byName.find(request.group);
    if (found == byName.end())
        return std::nullopt;
    const UpstreamGroup &group = table.groups[found->second];
    Choice choice{ table, group, request, now };
    const bool isSmall = group.all.size() <= maxFullScan;
    if (!isSmall) {
        const std::uint64_t key = stableHash(request.adapter.value);
        considerHolders(choice);
        considerHomes(choice, group.ownRing, key, homesInOwnZone);
        considerHomes(choice, group.ring, key, homesInAll);
        considerSampled(choice, group.own, request.salt, sampledInOwnZone);
        considerSampled(choice, group.all, request.salt, sampledInAll);
    }
    // Evaluate the whole group if it is small, or if no candidate so far is available.
    if (isSmall || !choice.best)
        considerAll(choice);
    if (!choice.best) {
        choice.acceptsSlow = true;
        considerAll(choice);
    }
    if (!choice.best)
        return std::nullopt;
    return choice.best->id;
}

} // namespace azurewell
