#pragma once

#include "azurewell/units/time.h"

#include <cstddef>
#include <set>

namespace azurewell::load {

/// The weight store: about `loadsPerSecond` loads, each a quarter second while no more than eight
/// are in flight over all engines, proportionally longer beyond.
struct FakeWeightStore
{
    double loadsPerSecond = 4;
    double slowness = 1;
    Instant nextStart;
    std::size_t inFlight = 0;
};

/// Begins a load at \a now and returns when it is done.
Instant beginLoad(FakeWeightStore &store, Instant now);
void endLoad(FakeWeightStore &store);

/// An engine with continuous batching: each request that it runs takes one batch slot and goes at
/// the same speed however many run beside it.
struct FakeEngine
{
    std::size_t batchSlots = 16;
    double slowness = 1;
    std::set<std::size_t> running; ///< Numbers of jobs.
};

} // namespace azurewell::load
