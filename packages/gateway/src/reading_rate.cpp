#include "azurewell/gateway/reading_rate.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Before anything was learnt: what a large model on one accelerator reads.
constexpr double firstPerSecond = 22'000;
constexpr double firstOverhead = 0.04; ///< In seconds.

/// Two prompts as if they had been seen, with the weight of some samples, so that the first ones
/// move the rate a little each.
constexpr double firstWeight = 6;
constexpr double shortPrompt = 500;
constexpr double longPrompt = 4000;

/// The weight that is left of a sample when the next one comes: some sixty count.
constexpr double keptPart = 0.984;

/// A sample that took much longer than expected met other work, or a slow engine, and is counted as
/// this many times what was expected.
constexpr double longestOverExpected = 2.5;

constexpr double slowest = 500;
constexpr double fastest = 2'000'000;

void addSample(ReadingRate &rate, double weight, double tokens, double seconds)
{
    rate.weight += weight;
    rate.tokens += weight * tokens;
    rate.seconds += weight * seconds;
    rate.tokensSquared += weight * tokens * tokens;
    rate.tokensTimesSeconds += weight * tokens * seconds;
}

/// Seconds for each token, by least squares.
double slopeOf(const ReadingRate &rate)
{
    const double spread = rate.weight * rate.tokensSquared - rate.tokens * rate.tokens;
    const double together = rate.weight * rate.tokensTimesSeconds - rate.tokens * rate.seconds;
    return spread > 0 ? together / spread : 0;
}

double expectedSeconds(const ReadingRate &rate, double tokens)
{
    const double slope = 1 / rate.perSecond;
    const double overhead = std::max(0.0, (rate.seconds - slope * rate.tokens) / rate.weight);
    return overhead + slope * tokens;
}

} // namespace

ReadingRate::ReadingRate()
    : perSecond(firstPerSecond)
{
    for (const double prompt : { shortPrompt, longPrompt })
        addSample(*this, firstWeight / 2, prompt, firstOverhead + prompt / firstPerSecond);
}

void noteRead(ReadingRate &rate, double tokens, Span elapsed)
{
    if (tokens <= 0)
        return;
    const double most = expectedSeconds(rate, tokens) * longestOverExpected;
    const double seconds = std::min(toSeconds(elapsed), most);
    for (double *sum : { &rate.weight, &rate.tokens, &rate.seconds, &rate.tokensSquared,
                         &rate.tokensTimesSeconds })
        *sum *= keptPart;
    addSample(rate, 1, tokens, seconds);
    const double slope = slopeOf(rate);
    if (slope > 0)
        rate.perSecond = std::clamp(1 / slope, slowest, fastest);
}

} // namespace azurewell::gateway
