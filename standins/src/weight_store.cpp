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
    this->maxInFlight = std::max(this->maxInFlight, this->inFlight);
    const Instant start = std::max(now, this->nextStart);
    this->nextStart = start + fromSeconds(this->slowness / this->loadsPerSecond);
    const double congestion = std::max(1.0, this->inFlight / fullSpeedInFlight);
    return (start - now) + fromSeconds(loadSeconds * congestion * this->slowness);
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
