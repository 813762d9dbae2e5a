#include "azurewell/gateway/prefill_rate.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Initial rate: a large model on one accelerator.
constexpr double initialPerSecond = 22'000;
constexpr double initialOverhead = 0.04; ///< In seconds.

/// The estimate starts with two assumed prompts that weigh as much as several samples, so that each
/// of the first samples changes the rate only a little.
constexpr double initialWeight = 6;
constexpr double shortPrompt = 500;
constexpr double longPrompt = 4000;

/// Weight factor of older samples for each new one: some sixty samples count.
constexpr double sampleDecay = 0.984;

/// A sample that took much longer than expected met other work or a slow engine. It is limited to
/// this multiple of the expected time.
constexpr double maxOverExpected = 2.5;

constexpr double minPerSecond = 500;
constexpr double maxPerSecond = 2'000'000;

void addSample(PrefillRate &rate, double weight, double tokens, double seconds)
{
    rate.weight += weight;
    rate.tokens += weight * tokens;
    rate.seconds += weight * seconds;
    rate.tokensSquared += weight * tokens * tokens;
    rate.tokensTimesSeconds += weight * tokens * seconds;
}

/// Seconds per token, by least squares.
double slopeOf(const PrefillRate &rate)
{
    const double variance = rate.weight * rate.tokensSquared - rate.tokens * rate.tokens;
    const double covariance = rate.weight * rate.tokensTimesSeconds - rate.tokens * rate.seconds;
    return variance > 0 ? covariance / variance : 0;
}

} // namespace

PrefillRate::PrefillRate()
    : perSecond(initialPerSecond)
{
    for (const double prompt : { shortPrompt, longPrompt })
        addSample(*this, initialWeight / 2, prompt, initialOverhead + prompt / initialPerSecond);
}

double expectedSeconds(const PrefillRate &rate, double tokens)
{
    const double slope = 1 / rate.perSecond;
    const double overhead = std::max(0.0, (rate.seconds - slope * rate.tokens) / rate.weight);
    return overhead + slope * tokens;
}

void recordPrefill(PrefillRate &rate, double tokens, Span elapsed)
{
    if (tokens <= 0)
        return;
    const double maxSeconds = expectedSeconds(rate, tokens) * maxOverExpected;
    const double seconds = std::min(toSeconds(elapsed), maxSeconds);
    for (double *sum : { &rate.weight, &rate.tokens, &rate.seconds, &rate.tokensSquared,
                         &rate.tokensTimesSeconds })
        *sum *= sampleDecay;
    addSample(rate, 1, tokens, seconds);
    const double slope = slopeOf(rate);
    if (slope > 0)
        rate.perSecond = std::clamp(1 / slope, minPerSecond, maxPerSecond);
}

} // namespace azurewell::gateway
