#include "azurewell/placement/load_pacer.h"

#include <algorithm>

namespace azurewell {

namespace {

/// Loads in flight over all engines up to which the weight store works at full speed.
constexpr double fullSpeedInFlight = 8;
/// What a load takes with eight in flight at four a second; only spreads the first ones.
constexpr Span crowdedLoad = fromSeconds(2);

/// How long a keeper pauses after a load that took \a took.
Span pauseAfter(Span took, std::size_t keepers)
{
    const double loadsPerPart = static_cast<double>(keepers) / fullSpeedInFlight;
    return fromSeconds(toSeconds(took) * std::max(0.0, loadsPerPart - 1));
}

} // namespace

void beginPacing(LoadPacer &pacer, std::size_t keepers, double jitter, Instant now)
{
    pacer.hasBegun = true;
    pacer.notBefore = now + fromSeconds(toSeconds(pauseAfter(crowdedLoad, keepers)) * jitter);
}

bool mayLoad(const LoadPacer &pacer, std::uint32_t inFlight, Instant now)
{
    return inFlight == 0 && now >= pacer.notBefore;
}

void noteLoadEnded(LoadPacer &pacer, std::size_t keepers, Span took, Instant now)
{
    pacer.notBefore = now + pauseAfter(took, keepers);
}

} // namespace azurewell
