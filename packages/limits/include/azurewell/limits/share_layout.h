#pragma once

#include "azurewell/limits/share_messages.h"

#include <map>
#include <vector>

namespace azurewell {

/// The number of host ordinals in each zone, from the tickets.
using ZoneSeats = std::map<ZoneId, std::uint32_t>;

/// A hash that is equal on every host; the ordinals with the highest weights own a customer's
/// shares.
using SeatWeight = std::uint64_t (*)(const CustomerId &customer, const SeatId &seat);

/// A host ordinal that owns a share of a customer's rate and burst.
struct SeatShare
{
    SeatId seat;
    double fraction = 0; ///< Of the whole rate and burst.
};

/// How finely rates are divided.
struct LayoutSettings
{
    /// Approximate number of owners over all zones; each zone has at least one. More owners mean
    /// more fragments and messages, fewer lose more of the rate while one is replaced. At 60 hosts
    /// in nine zones 27 owners cost 21.4 KB/s a node and 9 cost 14.2 (benchmark rate_shares, one
    /// customer at five times its rate), with no wrongful refusal either way.
    std::uint32_t maxOwners = 9;
    /// A share's burst is not divided below this many tokens, about two requests.
    double minShareTokens = 2048;
};

/// The owners of \a customer's shares with their fractions, which sum to one. Depends on tickets
/// only: hosts with the same ticket agree whichever hosts they can reach.
std::vector<SeatShare> ownersOf(const ZoneSeats &zones, const CustomerId &customer, double burst,
                                const LayoutSettings &settings, SeatWeight weight);

/// The fraction of \a seat; 0 if it owns no share.
double fractionOf(const std::vector<SeatShare> &owners, const SeatId &seat);

} // namespace azurewell
