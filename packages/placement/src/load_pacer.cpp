#include "azurewell/placement/load_pacer.h"

#include <algorithm>

namespace azurewell {

namespace {

/// The window is cut when a load takes this many times the quickest: about as many loads are then
/// in flight in the store as it works on at full speed.
constexpr double crowded = 8.0;
constexpr double cut = 0.7;
constexpr double mostInFlight = 8;
/// At 390 keepers one load each would be far over the store's limit of eight.
constexpr double leastWindow = 1.0 / 64;
/// The quickest time is forgotten by this factor with each load, so that a store that has become
/// slower for good is learned.
constexpr double forget = 1.01;

} // namespace

bool mayLoad(const LoadPacer &pacer, std::uint32_t inFlight, Instant now)
{
    const double allowed = std::max(1.0, pacer.window);
    return static_cast<double>(inFlight) + 1 <= allowed && now >= pacer.notBefore;
}

void noteLoadEnded(LoadPacer &pacer, Span took, Instant now)
{
    const double seconds = toSeconds(took);
    pacer.quickest = pacer.quickest == 0 ? seconds : std::min(pacer.quickest * forget, seconds);
    const bool isCrowded = seconds > pacer.quickest * crowded;
    pacer.window = isCrowded ? pacer.window * cut : pacer.window + 0.1;
    pacer.window = std::clamp(pacer.window, leastWindow, mostInFlight);
    if (pacer.window < 1)
        pacer.notBefore = now + fromSeconds(pacer.quickest * (1 / pacer.window - 1));
}

} // namespace azurewell
