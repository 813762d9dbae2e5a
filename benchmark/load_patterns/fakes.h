#pragma once

#include "azurewell/units/time.h"

#include <cstddef>
#include <set>

namespace azurewell::load {

/// Fake weight store that starts `loadsPerSecond` loads a second. A load takes 0.25 s while at most
/// eight are in flight over all engines, and proportionally longer beyond that.
struct FakeWeightStore
{
    double loadsPerSecond = 4;
    double slowness = 1; ///< Factor on the duration of loads.
    Instant nextStart;
    std::size_t inFlight = 0;
};

/// Starts a load at \a now and returns the time at which it ends.
Instant beginLoad(FakeWeightStore &store, Instant now);
void endLoad(FakeWeightStore &store);

/// Fake engine with continuous batching: each running request occupies one batch slot, and its
/// speed does not depend on the number of running requests.
struct FakeEngine
{
    std::size_t batchSlots = 16;
    double slowness = 1;           ///< Factor on the duration of requests.
    std::set<std::size_t> running; ///< Job indices.
};

} // namespace azurewell::load
