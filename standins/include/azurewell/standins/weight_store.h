#pragma once

#include "azurewell/units/time.h"

#include <cstdint>

namespace azurewell::standins {

/// Model of the weight store, after the users' measurements: loading an adapter takes 0.25 s with
/// up to eight loads in flight over all engines, and proportionally longer beyond; the rate of
/// starts is limited.
class WeightStore
{
public:
    explicit WeightStore(double loadsPerSecond);

    /// Begins a load at \a now and returns its duration from then, including the wait to start.
    Span begin(Instant now);
    void end();
    void slowDown(double factor);

    std::uint64_t loads = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t maxInFlight = 0;

private:
    double loadsPerSecond;
    double slowness = 1.0;
    Instant nextStart;
};

} // namespace azurewell::standins
