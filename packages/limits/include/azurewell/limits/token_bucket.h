#pragma once

#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

namespace azurewell {

/// A share of a customer's rate and burst, owned by one host ordinal.
///
/// Load pattern: a customer sends several times its rate, in bursts, with streams that run for
/// seconds. Without a limit that customer takes the engines' capacity from the others.
///
/// `level + reserved` never exceeds `burst`: tokens that are reserved and not yet generated still
/// occupy the bucket. If the bucket refilled over them, a slow engine could deliver the reservation
/// together with a refilled burst, and the customer would receive up to twice its burst in that
/// window.
struct TokenBucket
{
    double ratePerSecond = 0;
    double burst = 0;    ///< Tokens.
    double level = 0;    ///< Tokens that can be reserved now. A new bucket has earned nothing.
    double reserved = 0; ///< Tokens reserved by admitted requests and not yet generated.
    Instant refilledAt;  ///< When `level` was last updated.
};

/// Updates `level` to \a now. Time that runs backwards earns nothing.
void refill(TokenBucket &bucket, Instant now);

/// Reserves \a amount if the level allows it.
bool tryReserve(TokenBucket &bucket, Tokens amount, Instant now);

/// Counts \a amount of reserved tokens as generated: their capacity can refill.
void settle(TokenBucket &bucket, Tokens amount, Instant now);

/// Releases \a amount of reserved tokens: they were not generated and can be reserved again.
void giveBack(TokenBucket &bucket, Tokens amount, Instant now);

/// When \a amount could be reserved if nothing else happened; `never` if it cannot.
Instant earliestFor(const TokenBucket &bucket, Tokens amount, Instant now);

/// The far future: the result of earliestFor() for an amount above the burst.
inline constexpr Instant never{ INT64_MAX };

/// Changes rate and burst without creating tokens: the level is limited to the new burst.
void reshape(TokenBucket &bucket, double ratePerSecond, double burst, Instant now);

} // namespace azurewell
