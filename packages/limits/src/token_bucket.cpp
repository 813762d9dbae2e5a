#include "azurewell/limits/token_bucket.h"

#include <algorithm>

namespace azurewell {

void refill(TokenBucket &bucket, Instant now)
{
    if (now <= bucket.refilledAt)
        return;
    const double earned = toSeconds(now - bucket.refilledAt) * bucket.ratePerSecond;
    const double capacity = std::max(0.0, bucket.burst - bucket.reserved);
    bucket.level = std::min(bucket.level + earned, capacity);
    bucket.refilledAt = now;
}

bool tryReserve(TokenBucket &bucket, Tokens amount, Instant now)
{
    refill(bucket, now);
    const double wanted = static_cast<double>(amount.count);
    if (wanted > bucket.level)
        return false;
    bucket.level -= wanted;
    bucket.reserved += wanted;
    return true;
}

void settle(TokenBucket &bucket, Tokens amount, Instant now)
{
    refill(bucket, now);
    bucket.reserved = std::max(0.0, bucket.reserved - static_cast<double>(amount.count));
}

void giveBack(TokenBucket &bucket, Tokens amount, Instant now)
{
    refill(bucket, now);
    const double returned = std::min(bucket.reserved, static_cast<double>(amount.count));
    bucket.reserved -= returned;
    bucket.level = std::min(bucket.level + returned, std::max(0.0, bucket.burst - bucket.reserved));
}

Instant earliestFor(const TokenBucket &bucket, Tokens amount, Instant now)
{
    const double wanted = static_cast<double>(amount.count);
    if (wanted > bucket.burst)
        return never;
    TokenBucket later = bucket;
    refill(later, now);
    if (wanted <= later.level)
        return now;
    if (later.ratePerSecond <= 0)
        return never;
    return now + fromSeconds((wanted - later.level) / later.ratePerSecond) + Span{ 1 };
}

void reshape(TokenBucket &bucket, double ratePerSecond, double burst, Instant now)
{
    refill(bucket, now);
    bucket.ratePerSecond = ratePerSecond;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, std::max(0.0, burst - bucket.reserved));
}

} // namespace azurewell
