#pragma once

#include "azurewell/fleet/coordinator_views.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// What a host knows about which host coordinates which engine.
struct CoordinationState
{
    CoordinatorViews views;
    /// The zone's usable hosts according to the current membership.
    std::vector<HostId> candidateHosts;
    /// Whether all hosts of the zone that may still run promise the adopted view.
    bool hasAllPromises = false;
    /// Hosts that may have been running at any time since all promises were last complete.
    std::set<HostId> hostsSinceComplete;

    Instant startedAt; ///< When this process handled its first event.
    /// When the last event was handled; a gap shows that the process was suspended.
    Instant lastEventAt;
    /// After a suspension, no slots are granted and no views promised until then.
    Instant listenUntil;
    Instant joinAllowedAt; ///< When the first view may be adopted; `never` while not known.
    bool hasHostList = false;

    /// Newest heartbeat serial of each host.
    std::map<HostId, std::pair<Incarnation, std::uint64_t>> newestSerials;
    /// Peers that have acknowledged a heartbeat of this incarnation.
    std::set<HostId> acknowledgedBy;

    /// Coordinator of each engine according to the current membership; cleared when that changes.
    std::unordered_map<UpstreamId, std::optional<HostId>> coordinators;
    std::uint64_t usableHostsHash = 0; ///< Hash of all usable hosts, to detect a change.
    Instant nextMembershipUpdate;
    /// Inputs from which the set of coordinated engines was last derived: ticket, view epoch,
    /// candidate view, and whether the host is serving.
    std::tuple<std::uint64_t, std::uint32_t, std::uint64_t, bool> engineSetInputs;
};

} // namespace azurewell
