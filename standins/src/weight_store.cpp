#include "azurewell/standins/weight_store.h"

#include <algorithm>

namespace azurewell::standins {

namespace {

constexpr double loadSeconds = 0.25;
constexpr double fullSpeedInFlight = 8;

} // namespace

WeightStore::WeightStore(double rate)
    : loadsPerSecond(rate)
{
}

Span WeightStore::begin(Instant now)
{
    ++this->loads;
    ++this->inFlight;
    this->mostInFlight = std::max(this->mostInFlight, this->inFlight);
    const Instant start = std::max(now, this->nextStart);
    this->nextStart = start + fromSeconds(this->slowness / this->loadsPerSecond);
    const double crowding = std::max(1.0, this->inFlight / fullSpeedInFlight);
    return (start - now) + fromSeconds(loadSeconds * crowding * this->slowness);
}

void WeightStore::end()
{
    --this->inFlight;
}

void WeightStore::slowDown(double factor)
{
    this->slowness = factor;
}

} // namespace azurewell::standins
