#pragma once

#include <cstdint>

namespace azurewell {

/// A retry costs one token and a first try earns a twelfth: retries stay under a tenth of first
/// tries.
inline constexpr double earnedByFirstTry = 1.0 / 12.0;

/// Retries that can be saved up; allows a short failure of one engine to be hidden entirely.
inline constexpr double mostSavedRetries = 10.0;

/// Bounds retries to a fraction of first tries.
///
/// Load pattern: every upstream answers 503. With a count of retries for each request the traffic
/// is multiplied by that count just when the upstreams are weakest, and they do not recover.
struct RetryBudget
{
    double tokens = 0;                   ///< Retries that may be made now.
    double earned = earnedByFirstTry;    ///< By each first try.
    double mostSaved = mostSavedRetries; ///< Retries that can be saved up.
};

void countFirstTry(RetryBudget &budget);

/// Takes a retry from the budget; false where it is spent.
bool takeRetry(RetryBudget &budget);

/// A retry that was taken turned out not to be needed.
void giveBackRetry(RetryBudget &budget);

} // namespace azurewell
