#pragma once

#include "azurewell/units/time.h"

namespace azurewell::gateway {

/// Prompt tokens that an engine reads per second (prefill rate), learnt from the time to the first
/// event of requests.
///
/// Load pattern: engines with another model or accelerator read prompts at a fifth or at five times
/// the rate, and each wait that decides on placement is estimated from the tokens ahead. With the
/// rate of another kind of engine, hosts overload a slow engine until its callers wait for seconds,
/// and load adapters needlessly on a second fast engine.
///
/// The rate is the slope of time over tokens, since part of the time, such as network latency and
/// the first step, does not depend on the tokens. Older samples decay as new ones arrive.
struct PrefillRate
{
    PrefillRate();

    double weight = 0;
    double tokens = 0; ///< Weighted sums over the samples.
    double seconds = 0;
    double tokensSquared = 0;
    double tokensTimesSeconds = 0;
    double perSecond = 0;
};

/// Expected time in seconds to the first event of a prompt of \a tokens, at an engine with little
/// else to read.
double expectedSeconds(const PrefillRate &rate, double tokens);

/// Records that a prompt of \a tokens got its first event \a elapsed after it was sent to an engine
/// with little else to read.
void recordPrefill(PrefillRate &rate, double tokens, Span elapsed);

} // namespace azurewell::gateway
