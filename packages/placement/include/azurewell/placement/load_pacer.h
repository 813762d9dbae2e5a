#pragma once

#include "azurewell/units/time.h"

#include <cstdint>

namespace azurewell {

/// Paces the loads that one keeper orders, over all its engines.
///
/// Load pattern: a cold start, or popularity that shifts: every engine wants loads at once, and the
/// weight store serves about four a second, slower when more than eight are in flight over all.
/// Without pacing the loads queue inside the store, where the urgent one waits behind the rest and
/// each takes longer. Keepers do not talk about it: each learns the store's state from how long its
/// own loads take, and gives way when they take several times the quickest it has seen.
struct LoadPacer
{
    double window = 1;   ///< Loads in flight allowed; below 1 there are pauses between loads.
    double quickest = 0; ///< Seconds; the quickest load lately.
    Instant notBefore;   ///< The next load may begin then.
};

/// Whether a load may be ordered at \a now while \a inFlight of this keeper's are under way.
bool mayLoad(const LoadPacer &pacer, std::uint32_t inFlight, Instant now);

/// Counts a load that ended after \a took, and adapts the window.
void noteLoadEnded(LoadPacer &pacer, Span took, Instant now);

} // namespace azurewell
