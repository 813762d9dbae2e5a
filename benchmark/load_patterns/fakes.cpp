#include "fakes.h"

#include <algorithm>

namespace azurewell::load {

namespace {

constexpr double loadSeconds = 0.25;
constexpr double maxInFlightAtFullSpeed = 8;

} // namespace

Instant beginLoad(FakeWeightStore &store, Instant now)
{
    ++store.inFlight;
    const Instant start = std::max(now, store.nextStart);
    store.nextStart = start + fromSeconds(store.slowness / store.loadsPerSecond);
    const double contention = std::max(
            1.0, static_cast<double>(store.inFlight) / maxInFlightAtFullSpeed);
    return start + fromSeconds(loadSeconds * contention * store.slowness);
}

void endLoad(FakeWeightStore &store)
{
    --store.inFlight;
}

} // namespace azurewell::load
