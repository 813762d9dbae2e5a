#include "azurewell/routing/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

namespace {

/// Decay time of a stated slowdown to the mean of the stated ones. For periods of 0.6 s that take
/// 15 % of the time, the correlation with a value of the past falls to 1/e within 0.51 s.
constexpr Span slowdownDecay = std::chrono::milliseconds(500);

/// Decay time of the samples behind the mean of the stated slowdowns: several slow periods, which
/// follow each other every 4 s.
constexpr Span slowdownMeanDecay = std::chrono::seconds(20);

/// Decay time of the samples behind the mean occupancy. A host of 83 that share six servers hears
/// of each every 3 s.
constexpr Span occupancyMeanDecay = std::chrono::seconds(20);

/// Decay time of a reported number of unread tokens to the mean of the reported ones: several
/// prompts come and are read within it. An engine that many hosts know as empty does not stay so.
constexpr Span unreadDecay = std::chrono::milliseconds(400);
constexpr Span unreadMeanDecay = std::chrono::seconds(10);

/// Age from which on a stated slowdown is not sent to other hosts: it is nearly the mean by then.
constexpr Span maxSentAge = std::chrono::seconds(1);

/// Decay time of the coordinator's rate, which comes every few seconds at most.
constexpr Span coordinatorDecay = std::chrono::seconds(10);

/// The learnt ratio differs from 1 if the mean of the logarithms exceeds both this and a multiple
/// of its standard error. Upstreams of equal speed are to be chosen as if nothing were learnt.
constexpr double minDifference = 0.1;
constexpr double standardErrors = 2.5;
constexpr double minSamples = 3;

/// Assumed standard deviation of the logarithms while few samples show it, and the number of
/// samples that this assumption is worth.
constexpr double assumedDeviation = 0.3;
constexpr double assumptionWeight = 4;

/// Bounds of one own sample: a failure or a stall must not decide the mean.
constexpr double maxRatio = 6;

double decay(Span age, Span decayTime)
{
    return std::exp(-toSeconds(std::max(age, Span{})) / toSeconds(decayTime));
}

} // namespace

void addSample(DecayedSamples &samples, double value, Span decayTime, Instant now)
{
    const double factor = decay(now - samples.at, decayTime);
    samples.weight = samples.weight * factor + 1;
    samples.sum = samples.sum * factor + value;
    samples.squares = samples.squares * factor + value * value;
    samples.at = std::max(samples.at, now);
}

double meanOf(const DecayedSamples &samples)
{
    return samples.weight > 0 ? samples.sum / samples.weight : 0;
}

bool isPlausibleSlowdown(double slowdown)
{
    // False for NaN, too.
    return slowdown > 0 && slowdown <= maxSlowdown;
}

void recordOwnRatio(UpstreamSpeed &speed, double ratio, Instant now)
{
    if (!(ratio > 0))
        return;
    addSample(speed.ownRatios, std::log(std::clamp(ratio, 1 / maxRatio, maxRatio)), ownSampleDecay,
              now);
}

bool recordSlowdown(UpstreamSpeed &speed, double slowdown, Instant now)
{
    if (!isPlausibleSlowdown(slowdown))
        return false;
    speed.slowdown = std::max(slowdown, minSlowdown);
    speed.slowdownAt = now;
    addSample(speed.slowdowns, speed.slowdown, slowdownMeanDecay, now);
    return true;
}

void recordOccupancy(UpstreamSpeed &speed, double occupancy, Instant now)
{
    speed.occupancy = occupancy;
    speed.occupancyAt = now;
    addSample(speed.occupancies, occupancy, occupancyMeanDecay, now);
}

double expectedOccupancy(const UpstreamSpeed &speed, double serviceSeconds, Instant now)
{
    const double mean = meanOf(speed.occupancies);
    return mean
            + (speed.occupancy - mean)
            * decay(now - speed.occupancyAt, fromSeconds(std::max(serviceSeconds, 1e-3)));
}

void recordCoordinator(UpstreamSpeed &speed, double tokensPerSecond, double unreadTokens,
                       Instant now)
{
    if (tokensPerSecond <= 0)
        return;
    CoordinatorFigures &figures = speed.coordinator;
    figures.tokensPerSecond = tokensPerSecond;
    figures.unreadTokens = unreadTokens;
    addSample(figures.unread, unreadTokens, unreadMeanDecay, now);
    figures.at = now;
}

bool statesSlowdown(const UpstreamSpeed &speed)
{
    return speed.slowdown > 0;
}

double expectedSlowdown(const UpstreamSpeed &speed, Instant now)
{
    if (!statesSlowdown(speed))
        return 1;
    const double mean = meanOf(speed.slowdowns);
    return mean + (speed.slowdown - mean) * decay(now - speed.slowdownAt, slowdownDecay);
}

double recentSlowdown(const UpstreamSpeed &speed, Instant now)
{
    const bool isRecent = statesSlowdown(speed) && now - speed.slowdownAt < maxSentAge;
    return isRecent ? expectedSlowdown(speed, now) : 0;
}

double learntRatio(const UpstreamSpeed &speed, Instant now)
{
    const DecayedSamples &ratios = speed.ownRatios;
    const double weight = ratios.weight * decay(now - ratios.at, ownSampleDecay);
    if (weight < minSamples)
        return 1;
    const double mean = meanOf(ratios);
    const double variance = std::max(0.0, ratios.squares / ratios.weight - mean * mean);
    const double assumed = assumedDeviation * assumedDeviation;
    const double deviation = std::sqrt((variance * weight + assumed * assumptionWeight)
                                       / (weight + assumptionWeight));
    const double margin = std::max(minDifference, standardErrors * deviation / std::sqrt(weight));
    return std::abs(mean) <= margin ? 1 : std::exp(mean);
}

double expectedFactor(const UpstreamSpeed &speed, Instant now)
{
    return learntRatio(speed, now) * expectedSlowdown(speed, now);
}

double expectedUnreadTokens(const CoordinatorFigures &figures, Instant now)
{
    const double mean = meanOf(figures.unread);
    return mean + (figures.unreadTokens - mean) * decay(now - figures.at, unreadDecay);
}

double expectedTokensPerSecond(const UpstreamSpeed &speed, double ofService, Instant now)
{
    const double own = ofService / expectedFactor(speed, now);
    const CoordinatorFigures &figures = speed.coordinator;
    if (figures.tokensPerSecond <= 0)
        return own;
    // The coordinator's rate is a mean over slow and usual periods.
    const double mean = statesSlowdown(speed) ? meanOf(speed.slowdowns) : 1;
    const double rate = figures.tokensPerSecond * mean / expectedSlowdown(speed, now);
    return own + (rate - own) * decay(now - figures.at, coordinatorDecay);
}

} // namespace azurewell
