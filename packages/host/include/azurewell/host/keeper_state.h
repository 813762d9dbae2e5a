#pragma once

#include "azurewell/fleet/keeper_views.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// What a host knows of who keeps which engine.
struct KeeperState
{
    KeeperViews views;
    std::vector<HostId> candidate; ///< The zone's usable hosts by the present membership.
    bool isComplete = false;       ///< All possible hosts of the zone promise the adopted view.
    std::set<HostId> seen; ///< Hosts that were possible at any time since the last completeness.

    Instant startedAt;   ///< Of this life; the first event.
    Instant handledAt;   ///< The newest event; a gap shows that the process was stopped.
    Instant listenUntil; ///< After a stop: grants and promises nothing until it has listened.
    Instant joinAfter;   ///< When the first view may be adopted; never while not known.
    bool isListRead = false;

    std::map<HostId, std::pair<Incarnation, std::uint64_t>> newestSerials; ///< Of heartbeats.
    std::set<HostId> knownBy; ///< Peers that have echoed a heartbeat of this life.

    /// Keeper of each engine by the present membership; emptied when that changes.
    std::unordered_map<UpstreamId, std::optional<HostId>> keepers;
    std::uint64_t usableNumber = 0; ///< Of all usable hosts; shows that it has changed.
    Instant nextUpkeep;
    /// What the set of kept engines was last derived from: ticket, epoch, candidate.
    std::tuple<std::uint64_t, std::uint32_t, std::uint64_t, bool> keptFrom;
};

} // namespace azurewell
