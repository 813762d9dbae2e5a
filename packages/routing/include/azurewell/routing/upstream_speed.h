#pragma once

#include "azurewell/units/time.h"

namespace azurewell {

/// Mean and variance of samples that lose weight with time.
struct DecayedSamples
{
    double weight = 0;
    double sum = 0;
    double squares = 0;
    Instant at; ///< Time that the sums are valid for.
};

void addSample(DecayedSamples &samples, double value, Span decayTime, Instant now);

/// The mean; 0 without samples.
double meanOf(const DecayedSamples &samples);

/// Decay time (to 1/e) of a host's own samples. A host of 64 sends a prompt to each of 140 engines
/// every 5 s, so that about six samples count.
inline constexpr Span ownSampleDecay = std::chrono::seconds(30);

/// Limits of a slowdown. Work that takes 100 times as long as usual exceeds every deadline, so a
/// larger value is an error of unit. A value below the minimum would attract all requests.
inline constexpr double maxSlowdown = 100;
inline constexpr double minSlowdown = 0.1;

/// Whether \a slowdown, as an upstream or a host states it, can be used.
bool isPlausibleSlowdown(double slowdown);

/// What the coordinator of an engine knows of it.
struct CoordinatorFigures
{
    double tokensPerSecond = 0; ///< Prompt tokens that the engine reads; 0: not known.
    double unreadTokens = 0;    ///< Prompt tokens that were admitted and not read yet.
    DecayedSamples unread;      ///< All reported ones.
    Instant at;
};

/// What a host knows of the speed of one upstream.
///
/// Load pattern: the engines of one service differ in speed by a factor of 2.4, and work of others
/// on their machines makes them 2.5 times slower for 0.6 s at a time. With one rate for all of them
/// the slowest get as many requests as the fastest, and their callers wait for 2 s.
///
/// Times are relative to those of the service. Own times are divided by the slowdown that the
/// upstream stated with them, so that the learnt ratio has only what is permanent.
struct UpstreamSpeed
{
    DecayedSamples ownRatios; ///< Logarithms of own times relative to the expected ones.
    double slowdown = 0;      ///< As last stated; 0: never.
    Instant slowdownAt;
    DecayedSamples slowdowns; ///< All stated ones.
    CoordinatorFigures coordinator;
    double occupancy = 0; ///< Requests there per slot, as last stated.
    Instant occupancyAt;
    DecayedSamples occupancies; ///< All stated ones.
};

/// Records that a request took \a ratio times what its service is expected to take.
void recordOwnRatio(UpstreamSpeed &speed, double ratio, Instant now);

/// Records that the upstream stated \a slowdown. Returns false, and ignores it, if it is not
/// plausible.
bool recordSlowdown(UpstreamSpeed &speed, double slowdown, Instant now);

/// Records that the upstream stated \a occupancy requests per slot.
void recordOccupancy(UpstreamSpeed &speed, double occupancy, Instant now);

/// The expected requests per slot at \a now: the last stated ones, which decay to the mean within
/// the time \a serviceSeconds that a request takes.
double expectedOccupancy(const UpstreamSpeed &speed, double serviceSeconds, Instant now);

/// Records the figures of the engine's coordinator.
void recordCoordinator(UpstreamSpeed &speed, double tokensPerSecond, double unreadTokens,
                       Instant now);

/// Whether the upstream has ever stated a slowdown.
bool statesSlowdown(const UpstreamSpeed &speed);

/// The expected slowdown at \a now: the last stated one, which decays to the mean of the stated
/// ones. 1 if none was stated.
double expectedSlowdown(const UpstreamSpeed &speed, Instant now);

/// The slowdown to send to other hosts; 0 if the last stated one is too old.
double recentSlowdown(const UpstreamSpeed &speed, Instant now);

/// The learnt ratio of the upstream's time to the one of its service. 1 unless the samples show
/// that it differs.
double learntRatio(const UpstreamSpeed &speed, Instant now);

/// The expected time of work at the upstream now, relative to the usual one of its service.
/// Exactly 1 if nothing is known.
double expectedFactor(const UpstreamSpeed &speed, Instant now);

/// The prompt tokens that the engine is expected to have unread: the last reported ones, which
/// decay to their mean.
double expectedUnreadTokens(const CoordinatorFigures &figures, Instant now);

/// The prompt tokens that the engine is expected to read per second now, if the mean of its service
/// is \a ofService. The coordinator's figure decays to what this host has learnt.
double expectedTokensPerSecond(const UpstreamSpeed &speed, double ofService, Instant now);

} // namespace azurewell
