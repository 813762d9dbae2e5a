#pragma once

#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

namespace azurewell {

/// One part of a customer's rate and burst, owned by one host place.
///
/// Load pattern: a customer sends several times its rate, in bursts, with streams that run for
/// seconds. Without it that customer takes the engines from the others.
///
/// `level + reserved` never exceeds `burst`: tokens that were reserved but not made yet keep their
/// room in the bucket. A bucket that refilled while reserved tokens were still to be made would let
/// a slow engine deliver the reservation and a refilled burst in the same moment, and the customer
/// would receive up to twice its burst in that window.
struct TokenBucket
{
    double ratePerSecond = 0;
    double burst = 0; ///< Tokens.
    double level
            = 0; ///< Tokens that may be reserved now. A new bucket is empty: it has earned nothing.
    double reserved = 0; ///< Tokens promised to admitted requests and not made yet.
    Instant refilledAt;  ///< When `level` was last brought up to date.
};

/// Brings `level` up to \a now. Time that runs backwards earns nothing.
void refill(TokenBucket &bucket, Instant now);

/// Reserves \a amount if the level allows it.
bool tryReserve(TokenBucket &bucket, Tokens amount, Instant now);

/// Counts \a amount of reserved tokens as made: their room is free for refill again.
void settle(TokenBucket &bucket, Tokens amount, Instant now);

/// Gives \a amount of reserved tokens back: they were not made and may be reserved again.
void giveBack(TokenBucket &bucket, Tokens amount, Instant now);

/// When \a amount could be reserved if nothing else happened; the far future where it never fits.
Instant earliestFor(const TokenBucket &bucket, Tokens amount, Instant now);

/// The answer of earliestFor() for an amount above the burst.
inline constexpr Instant never{ INT64_MAX };

/// Changes rate and burst without creating tokens: the level is cut to the new burst.
void reshape(TokenBucket &bucket, double ratePerSecond, double burst, Instant now);

} // namespace azurewell
