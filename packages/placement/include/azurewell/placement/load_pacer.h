#pragma once

#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>

namespace azurewell {

/// Paces the loads that one coordinator orders, over all its engines.
///
/// Load pattern: after a cold start or a shift of popularity every engine needs loads at once. The
/// weight store serves a few a second, and becomes slower with more than eight in flight. Without
/// pacing the loads queue inside the store, where urgent ones wait behind the rest and each takes
/// longer. Coordinators don't communicate about it: each has one load in flight for its static
/// share of the time, so that all together have about eight, whatever the store's speed.
struct LoadPacer
{
    bool hasBegun = false;
    Instant nextLoadAt; ///< No load is ordered before this.
};

/// Sets when the first load may be ordered: at once with up to eight coordinators; with more,
/// spread by \a jitter in [0, 1), as all would otherwise order their first load at the same moment.
void beginPacing(LoadPacer &pacer, std::size_t coordinators, double jitter, Instant now);

/// Whether a load may be ordered at \a now with \a inFlight loads of this coordinator in flight.
bool mayLoad(const LoadPacer &pacer, std::uint32_t inFlight, Instant now);

/// Records a load that ended after \a took, and delays the next one accordingly.
void recordLoadEnd(LoadPacer &pacer, std::size_t coordinators, Span took, Instant now);

} // namespace azurewell
