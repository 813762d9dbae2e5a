#include "azurewell/placement/load_pacer.h"

#include <algorithm>

namespace azurewell {

namespace {

/// The weight store serves at full speed up to this many loads in flight over all engines.
constexpr double fullSpeedConcurrency = 8;
/// Duration of a load with eight in flight at four a second; only spreads the first loads.
constexpr Span fullSpeedLoadTime = fromSeconds(2);

/// The delay after a load that took \a took.
Span delayAfter(Span took, std::size_t coordinators)
{
    const double coordinatorsPerLoad = static_cast<double>(coordinators) / fullSpeedConcurrency;
    return fromSeconds(toSeconds(took) * std::max(0.0, coordinatorsPerLoad - 1));
}

} // namespace

void beginPacing(LoadPacer &pacer, std::size_t coordinators, double jitter, Instant now)
{
    pacer.hasBegun = true;
    pacer.nextLoadAt = now
            + fromSeconds(toSeconds(delayAfter(fullSpeedLoadTime, coordinators)) * jitter);
}

bool mayLoad(const LoadPacer &pacer, std::uint32_t inFlight, Instant now)
{
    return inFlight == 0 && now >= pacer.nextLoadAt;
}

void recordLoadEnd(LoadPacer &pacer, std::size_t coordinators, Span took, Instant now)
{
    pacer.nextLoadAt = now + delayAfter(took, coordinators);
}

} // namespace azurewell
