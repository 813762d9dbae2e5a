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
    /// Owners in each zone at most. More owners hold more fragments that are each too small for a
    /// request; fewer leave a zone without any while one is replaced.
    std::uint32_t mostOwnersPerZone = 3;
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
