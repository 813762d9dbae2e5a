#pragma once

#include "azurewell/tickets/snapshot.h"
#include "azurewell/units/time.h"

#include <map>
#include <optional>
#include <string>

namespace azurewell {

/// Tickets by number with a bound on their text: a host must not grow with the history of the
/// fleet.
struct TicketLog
{
    std::map<TicketNumber, std::string> texts;
    std::size_t bytes = 0;
};

/// How this host learns of tickets and passes them on.
struct TicketState
{
    TicketLog applied; ///< The newest in force, for hosts that are a little behind.
    TicketLog early;   ///< Read before the one they follow, or before this host may believe them.
    Instant nextAsk;   ///< One peer at a time is asked, not each that has something newer.
    HostId snapshotFrom;
    SnapshotAssembly assembly;       ///< A snapshot on its way from `snapshotFrom`.
    SnapshotAssembly published;      ///< A snapshot of the platform, read whole or in part.
    std::uint32_t snapshotTries = 0; ///< For the segment that is awaited.
    bool isListRead = false;
    Instant patienceEnds;          ///< A fresh host waits for its peers until then.
    std::optional<Instant> newsAt; ///< The newest word of the service, here or at a peer.
    bool isScanDue = false; ///< The tickets of this step may end requests that are on their way.
    TicketNumber refused;   ///< The ticket that was refused last; its successors wait.
    std::string refusedWhy;
    std::string refusedText;
    bool isBelievingAtOnce = false; ///< Deliberate fault: a fresh host asks no peer first.
};

} // namespace azurewell
