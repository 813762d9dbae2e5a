#pragma once

#include "azurewell/gateway/gossip.h"

#include <map>

namespace azurewell::gateway {

/// News that this host passes on for others.
///
/// Load pattern: each of 195 hosts tells every other one of each adapter that an engine takes up
/// and of each customer near its limit. Between zones, where bytes are paid for, the same news
/// crosses once for each host that hears it, and a host spends most of its processor time on
/// datagrams. Here a host tells a relay of its zone; the relay sends what it has gathered to one
/// host of each other zone, and that one passes it on inside its own.
///
/// Any host relays what it is asked to, so that nothing has to be agreed on. Who asks takes the
/// first by rank that answers.
struct ZoneRelay
{
    std::map<HostId, RelayedNews> toZone; ///< By origin.
    std::map<HostId, RelayedNews> toElsewhere;
    bool isAsked = false; ///< Hosts of this zone asked, and wait to hear this one.
    Instant nextAt;       ///< What was gathered is sent then.
};

/// What is gathered waits this long at the most: customers' uses pass two relays, and are to be
/// known everywhere within 600 ms.
inline constexpr Span relayInterval = std::chrono::milliseconds(100);

/// Hosts of a zone that share its relaying.
inline constexpr std::size_t relaysOfZone = 3;

/// An asked relay that is not heard for so long is passed over until it is heard again.
inline constexpr Span relayAnswersWithin = std::chrono::milliseconds(500);

/// Adds \a news to \a gathered; of each engine and each customer the newest word stays.
void mergeNews(std::map<HostId, RelayedNews> &gathered, const RelayedNews &news);

/// \a gathered in parts that fit into one message each.
std::vector<std::vector<RelayedNews>> splitNews(const std::map<HostId, RelayedNews> &gathered);

/// The host of \a zone to ask, other than this one; null where none is known to live. Notes that it
/// is asked.
const Member *askRelay(Members &members, const ZoneId &zone, Instant now);

} // namespace azurewell::gateway
