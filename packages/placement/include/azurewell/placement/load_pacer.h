#pragma once

#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>

namespace azurewell {

/// Paces the loads that one keeper orders, over all its engines.
///
/// Load pattern: a cold start, or popularity that shifts: every engine wants loads at once, and the
/// weight store serves a few a second, slower when more than eight are in flight over all. Without
/// pacing the loads queue inside the store, where the urgent one waits behind the rest and each
/// takes longer. Keepers do not talk about it: each has one load under way for its static part of
/// the time, so that all together have about eight, whatever the store's speed is.
struct LoadPacer
{
    bool hasBegun = false;
    Instant notBefore; ///< The next load may begin then.
};

/// Sets when the first load may begin: at once with up to eight keepers, spread by \a jitter in
/// [0, 1) with more, which otherwise would all order their first load in the same moment.
void beginPacing(LoadPacer &pacer, std::size_t keepers, double jitter, Instant now);

/// Whether a load may be ordered at \a now while \a inFlight of this keeper's are under way.
bool mayLoad(const LoadPacer &pacer, std::uint32_t inFlight, Instant now);

/// Counts a load that ended after \a took.
void noteLoadEnded(LoadPacer &pacer, std::size_t keepers, Span took, Instant now);

} // namespace azurewell
