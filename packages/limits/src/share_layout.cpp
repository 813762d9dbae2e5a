#include "azurewell/limits/share_layout.h"

#include <algorithm>

namespace azurewell {

namespace {

/// The \a count host ordinals of \a zone with the highest weights for \a customer.
std::vector<SeatId> topSeats(const ZoneId &zone, std::uint32_t seats, std::uint32_t count,
                             const CustomerId &customer, SeatWeight weight)
{
    std::vector<std::pair<std::uint64_t, SeatId>> ranked;
    for (std::uint32_t number = 0; number < seats; ++number) {
        const SeatId seat{ zone, SeatNumber{ number } };
        ranked.emplace_back(weight(customer, seat), seat);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<SeatId> highest;
    for (std::uint32_t rank = 0; rank < count; ++rank)
        highest.push_back(ranked[rank].second);
    return highest;
}

} // namespace

std::vector<SeatShare> ownersOf(const ZoneSeats &zones, const CustomerId &customer, double burst,
                                const LayoutSettings &settings, SeatWeight weight)
{
    std::uint32_t total = 0;
    for (const auto &[zone, seats] : zones)
        total += seats;
    const std::uint32_t perZone = settings.maxOwners
            / std::max(1U, static_cast<std::uint32_t>(zones.size()));
    std::vector<SeatShare> owners;
    for (const auto &[zone, seats] : zones) {
        if (seats == 0)
            continue;
        const double zoneFraction = static_cast<double>(seats) / total;
        const double affordable = burst * zoneFraction / settings.minShareTokens;
        const std::uint32_t limit = std::min(seats, std::max(1U, perZone));
        const std::uint32_t count = static_cast<std::uint32_t>(
                std::clamp(affordable, 1.0, static_cast<double>(limit)));
        for (const SeatId &seat : topSeats(zone, seats, count, customer, weight))
            owners.push_back(SeatShare{ seat, zoneFraction / count });
    }
    return owners;
}

double fractionOf(const std::vector<SeatShare> &owners, const SeatId &seat)
{
    for (const SeatShare &share : owners) {
        if (share.seat == seat)
            return share.fraction;
    }
    return 0;
}

} // namespace azurewell
