#pragma once

#include "azurewell/gateway/gossip.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// Items of which some parts have been received.
///
/// Failure: a configuration grows beyond the size of a datagram. Hosts that the platform rejects
/// cannot read it and receive it from no other host, and serve with an older configuration for as
/// long as that lasts.
struct PartialItems
{
    struct PartialItem
    {
        StorePosition position;
        std::string value;
        std::set<std::size_t> offsets; ///< Offsets of the received parts.
    };
    std::map<std::string, PartialItem> byKey;
    Instant lastPartAt; ///< Time of the last received part: while more are in flight, none are
                        ///< requested.
};

/// A host that requested published changes.
struct ChangesRequester
{
    HostId id;
    ZoneId zone;
    Endpoint address;
    StorePosition position;     ///< It knows every change up to here.
    StorePosition newestChange; ///< Position of the newest change that it knows.
    Instant expiresAt;          ///< It requests them again then, perhaps from another host.
};

/// If no part arrives within this time, the rest is requested again.
inline constexpr Span nextPartTimeout = std::chrono::milliseconds(150);

/// A value packed once for sending in parts to all requesters.
struct PackedItem
{
    std::string key;
    StorePosition position;
    std::string bytes;
    /// Hosts that wait for parts, oldest first. Without them, hosts whose requests arrive while the
    /// link is busy get no answer as long as others request sooner.
    std::deque<ChangesRequester> waiting;
    Instant nextSendAt; ///< Earliest time at which it is sent to another host, since it fills the
                        ///< link of a small host.
};

/// Packs \a item unless \a packed already holds it.
void packItem(PackedItem &packed, const PublishedItem &item);

/// Splits the only item of \a changes, whose packed form is \a packed, into parts.
std::vector<ItemPart> splitItem(const PublishedChanges &changes, const PackedItem &packed);

/// Returns how long a link of \a linkMbps Mbit/s (0: unknown) is left to other traffic after
/// sending \a bytes.
Span linkPauseAfter(std::size_t bytes, std::uint32_t linkMbps);

/// Adds \a part. Returns the changes with the complete item if it was the last missing part. Parts
/// of an older revision and parts with inconsistent sizes are dropped.
std::optional<PublishedChanges> addPart(PartialItems &partial, const ItemPart &part);

} // namespace azurewell::gateway
