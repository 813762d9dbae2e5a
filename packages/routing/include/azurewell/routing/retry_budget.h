#pragma once

#include <cstdint>

namespace azurewell {

/// Retry tokens earned by a first attempt. A retry costs one, so that retries stay below a tenth of
/// the first attempts.
inline constexpr double earnedByFirstAttempt = 1.0 / 12.0;

/// Maximum number of saved retries; enough to hide a short failure of one engine from callers.
inline constexpr double maxSavedRetries = 10.0;

/// Limits retries to a fraction of first attempts.
///
/// Load pattern: every upstream answers 503. A retry limit for each request alone would multiply
/// the traffic by that limit while the upstreams are overloaded, and they would not recover.
struct RetryBudget
{
    double tokens = 0;                    ///< Retries available now.
    double earned = earnedByFirstAttempt; ///< Tokens earned by each first attempt.
    double maxSaved = maxSavedRetries;    ///< Upper limit of `tokens`.
};

void countFirstAttempt(RetryBudget &budget);

/// Takes a retry from the budget. Returns false if none is available.
bool takeRetry(RetryBudget &budget);

/// Returns a retry that was taken and not used.
void returnRetry(RetryBudget &budget);

} // namespace azurewell
