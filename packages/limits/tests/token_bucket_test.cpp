#include "azurewell/limits/token_bucket.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

constexpr Instant second(int n)
{
    return Instant{ n * 1'000'000LL };
}

TokenBucket bucketOf(double rate, double burst)
{
    TokenBucket bucket;
    bucket.ratePerSecond = rate;
    bucket.burst = burst;
    return bucket;
}

} // namespace

// Guards against an extra burst with every host replacement: a successor must not start with a full
// bucket.
TEST(TokenBucket, NewBucketIsEmpty)
{
    TokenBucket bucket = bucketOf(10, 100);
    EXPECT_FALSE(tryReserve(bucket, Tokens{ 1 }, second(0)));
    EXPECT_TRUE(tryReserve(bucket, Tokens{ 10 }, second(1)));
}

// Guards against a doubled burst: a slow engine generates the tokens of a reservation long after
// it was granted, and the bucket must not have refilled over them by then.
TEST(TokenBucket, ReservedTokensBlockRefillUntilSettled)
{
    TokenBucket bucket = bucketOf(10, 100);
    EXPECT_TRUE(tryReserve(bucket, Tokens{ 100 }, second(10)));
    EXPECT_FALSE(tryReserve(bucket, Tokens{ 1 }, second(100)));
    settle(bucket, Tokens{ 100 }, second(100));
    EXPECT_FALSE(tryReserve(bucket, Tokens{ 1 }, second(100)));
    EXPECT_TRUE(tryReserve(bucket, Tokens{ 10 }, second(101)));
}

TEST(TokenBucket, ReleasedTokensCanBeReservedAgain)
{
    TokenBucket bucket = bucketOf(10, 100);
    EXPECT_TRUE(tryReserve(bucket, Tokens{ 100 }, second(10)));
    giveBack(bucket, Tokens{ 60 }, second(10));
    EXPECT_TRUE(tryReserve(bucket, Tokens{ 60 }, second(10)));
}

TEST(TokenBucket, EarliestTimeMatchesRefill)
{
    TokenBucket bucket = bucketOf(10, 100);
    const Instant at = earliestFor(bucket, Tokens{ 50 }, second(0));
    EXPECT_EQ(at, second(5) + Span{ 1 });
    EXPECT_TRUE(tryReserve(bucket, Tokens{ 50 }, at));
    EXPECT_EQ(earliestFor(bucket, Tokens{ 101 }, second(0)), never);
}
