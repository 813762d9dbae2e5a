#include "azurewell/scheduling/shedding.h"

namespace azurewell {

namespace {

/// Weight of a new sample. Twenty requests are a little more than one full batch of sixteen slots,
/// so that the estimate follows a change of speed within about one service time.
constexpr double sampleWeight = 0.05;

void updateMean(double &mean, double value)
{
    mean = mean == 0 ? value : mean + (value - mean) * sampleWeight;
}

} // namespace

void recordSlotTime(ServiceRate &rate, Tokens charged, Span held)
{
    if (charged.count <= 0 || held <= Span{})
        return;
    updateMean(rate.secondsPerToken, toSeconds(held) / static_cast<double>(charged.count));
    updateMean(rate.holdSeconds, toSeconds(held));
}

Span expectedHold(const ServiceRate &rate, Tokens cost)
{
    return fromSeconds(rate.secondsPerToken * static_cast<double>(cost.count));
}

Span expectedWait(const FairQueue &queue, const ServiceRate &rate, const CustomerId &customer,
                  double weight, std::uint32_t batchSlots, std::uint32_t freeSlots)
{
    if (freeSlots > 0)
        return Span{};
    const double firstRelease = rate.holdSeconds;
    const double ahead = tokensAhead(queue, customer, weight) * rate.secondsPerToken;
    return fromSeconds((firstRelease + ahead) / static_cast<double>(batchSlots));
}

Instant latestStart(const ServiceRate &rate, Tokens cost, Instant deadline)
{
    return deadline - expectedHold(rate, cost);
}

} // namespace azurewell
