#pragma once

#include "azurewell/tickets/snapshot.h"
#include "azurewell/units/time.h"

#include <map>
#include <optional>
#include <string>

namespace azurewell {

/// Tickets by number, limited in number and size so that a host's memory does not grow with the
/// history of the fleet.
struct TicketLog
{
    std::map<TicketNumber, std::string> texts;
    std::size_t bytes = 0;
};

/// State of reading tickets and relaying them to other hosts.
struct TicketState
{
    TicketLog applied; ///< The newest tickets in force, to be relayed to hosts that lack them.
    /// Tickets that can't be applied yet: an earlier one is missing, or this host may not trust the
    /// platform yet.
    TicketLog pending;
    /// When tickets may next be requested: from one peer at a time, not from each that has newer
    /// ones.
    Instant nextRequestAt;
    HostId snapshotSender;
    SnapshotAssembly assembly;  ///< Segments of the snapshot being received from `snapshotSender`.
    SnapshotAssembly published; ///< Segments of a snapshot read from the platform.
    std::uint32_t segmentRequests = 0; ///< Requests sent for the awaited segment.
    bool hasHostList = false;
    Instant peerWaitDeadline; ///< A newly started host waits for its peers until then.
    /// Newest known response of the configuration service, to this host or a peer.
    std::optional<Instant> lastUpdateAt;
    /// Whether the tickets applied in this step may end requests in progress.
    bool isRequestScanDue = false;
    /// The ticket that was rejected last; later tickets wait for its correction.
    TicketNumber refused;
    std::string rejectionReason;
    std::string refusedText;
    /// Fault injection: a newly started host trusts the platform without asking its peers.
    bool isTrustingPlatformAtOnce = false;
};

} // namespace azurewell
