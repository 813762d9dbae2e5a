#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// State of the heartbeats from this host to one other host.
struct PeerHeartbeats
{
    Incarnation incarnation; ///< Incarnation of the other host. A new one has received nothing.
    /// Used only for hosts of other zones; those of the own zone get every heartbeat.
    Instant nextHeartbeatAt;
    Instant nextSummariesAt;
    /// When complete lists are next sent, in case a message with a changed list was lost.
    Instant nextFullListsAt;
    Instant summariesSentAt; ///< When summaries were last sent.
};

/// The adapters that an engine coordinated by this host has loaded, and when that list last
/// changed.
struct LoadedAdapters
{
    std::vector<AdapterRef> loaded;
    Instant changedAt;
};

/// State of the heartbeats that this host sends.
///
/// Every host sends heartbeats to every other one. With complete engine summaries every 0.5 s a
/// node sent 276 KB/s at 390 hosts; the limit is 25 KB/s. Therefore the parts that are large or
/// matter less to distant hosts are sent less often as the fleet grows. At the present fleet size
/// the interval is unchanged.
struct HeartbeatState
{
    std::unordered_map<HostId, PeerHeartbeats> peers;
    std::map<UpstreamId, LoadedAdapters> loadedAdapters;
    Instant nextRenewal; ///< When the slots of this host's requests are next renewed.
};

} // namespace azurewell
