#pragma once

#include "azurewell/gateway/gossip.h"

#include <map>

namespace azurewell::gateway {

/// Updates that this host relays for others.
///
/// Load pattern: each of 195 hosts notifies every other one of each adapter that an engine loads
/// and of each customer near its limit. Between zones, where traffic is billed, the same update
/// crosses once for each receiving host, and hosts spend most of their processor time on datagrams.
/// Here a host sends its updates to a relay of its zone; the relay sends the collected updates to
/// one host of each other zone, which relays them within its own zone.
///
/// Any host relays on request, so that hosts need not agree on the relays. The requester selects
/// the first by rank that answers.
struct ZoneRelay
{
    std::map<HostId, RelayedUpdate> toZone; ///< Updates for this host's zone, by origin.
    std::map<HostId, RelayedUpdate> toOtherZones;
    bool isReplyDue = false; ///< Hosts of this zone sent relay requests and wait for a message from
                             ///< this host.
    Instant nextAt;          ///< When the collected updates are sent.
};

/// Maximum delay of collected updates: customers' uses pass two relays and have to be known
/// everywhere within 600 ms.
inline constexpr Span relayInterval = std::chrono::milliseconds(100);

/// Number of hosts that share the relaying of a zone.
inline constexpr std::size_t relaysPerZone = 3;

/// A relay that sends no message for this long after a request is skipped until one arrives.
inline constexpr Span relayAnswerTimeout = std::chrono::milliseconds(500);

/// Merges \a update into \a collected, keeping the newest update of each engine, customer and
/// limit.
void mergeUpdate(std::map<HostId, RelayedUpdate> &collected, const RelayedUpdate &update);

/// Splits \a collected into parts that fit into one message each.
std::vector<std::vector<RelayedUpdate>> splitUpdates(
        const std::map<HostId, RelayedUpdate> &collected);

/// Selects a host of \a zone, other than this one, as relay and records the request to it. Returns
/// null if no live one is known.
const Member *selectRelay(Members &members, const ZoneId &zone, Instant now);

} // namespace azurewell::gateway
