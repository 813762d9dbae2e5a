#pragma once

#include "azurewell/limits/share_messages.h"

#include <map>
#include <vector>

namespace azurewell {

/// The host places of each zone, from the tickets.
using ZoneSeats = std::map<ZoneId, std::uint32_t>;

/// A hash that is equal on every host; the seats with the highest weights own a customer's parts.
using SeatWeight = std::uint64_t (*)(const CustomerId &customer, const SeatId &seat);

/// A seat that owns a part of a customer's rate and burst.
struct SeatPart
{
    SeatId seat;
    double fraction = 0; ///< Of the whole rate and burst.
};

/// How finely rates are divided.
struct LayoutSettings
{
    /// Owners over all zones, about; each zone has one at least. More owners hold more fragments
    /// and get more messages, fewer cost more of the rate while one is replaced. At 60 hosts in
    /// nine zones 27 owners cost 21.4 KB/s a node and 9 cost 14.2 (benchmark rate_shares, one
    /// customer at five times its rate), with no wrongful refusal either way.
    std::uint32_t mostOwners = 9;
    /// A part's burst is not divided below this many tokens, about two requests.
    double smallestPart = 2048;
};

/// The owners of \a customer's parts with their fractions, which sum to one. Depends on tickets
/// only: hosts with the same ticket agree whatever hosts they see.
std::vector<SeatPart> ownersOf(const ZoneSeats &zones, const CustomerId &customer, double burst,
                               const LayoutSettings &settings, SeatWeight weight);

/// The fraction of \a seat; 0 where it owns no part.
double fractionOf(const std::vector<SeatPart> &owners, const SeatId &seat);

} // namespace azurewell
