#pragma once

#include "azurewell/units/time.h"

#include <cstdint>

namespace azurewell::standins {

/// The weight store as the users measured it: an adapter takes a quarter second while no more than
/// eight are in flight over all engines, proportionally longer beyond; starts are limited to a
/// rate.
class WeightStore
{
public:
    explicit WeightStore(double loadsPerSecond);

    /// Begins a load at \a now; the time it takes from now on.
    Span begin(Instant now);
    void end();
    void slowDown(double factor);

    std::uint64_t loads = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t mostInFlight = 0;

private:
    double loadsPerSecond;
    double slowness = 1.0;
    Instant nextStart;
};

} // namespace azurewell::standins
