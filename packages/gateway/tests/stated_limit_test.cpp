#include "azurewell/gateway/stated_limit.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

class StatedLimitTest : public testing::Test
{
protected:
    Instant at(int millis) const
    {
        return this->begin + std::chrono::milliseconds(millis);
    }

    LimitChange observe(double perSecond, int requestSentAt, int receivedAt, bool isReport = false)
    {
        return updateLimit(
                this->limit,
                { perSecond, 1, this->at(requestSentAt), this->at(receivedAt), isReport });
    }

    StatedLimit limit;
    Instant begin{ 1'000'000'000 };
};

TEST_F(StatedLimitTest, HoldsUntilANewerAnswerStatesNone)
{
    EXPECT_EQ(this->observe(1.5, 0, 100), LimitChange::Begun);
    EXPECT_EQ(this->observe(1.5, 200, 300), LimitChange::Renewed);
    EXPECT_EQ(this->observe(2, 300, 400), LimitChange::Begun);
    EXPECT_TRUE(isInForce(this->limit, this->at(500)));
    EXPECT_EQ(this->observe(0, 500, 600), LimitChange::Ended);
    EXPECT_FALSE(isInForce(this->limit, this->at(600)));
}

// Guards against a limit that ends while its server is still overloaded, as an answer is older than
// its time of receipt.
TEST_F(StatedLimitTest, IsNotEndedByAnAnswerToAnEarlierCall)
{
    this->observe(1, 0, 100);
    EXPECT_EQ(this->observe(0, 50, 200), LimitChange::None);
    EXPECT_TRUE(isInForce(this->limit, this->at(200)));
}

// Guards against taking reports that never state limits for the end of a limit.
TEST_F(StatedLimitTest, IsEndedByAReportOnlyIfReportsStatedIt)
{
    this->observe(1, 0, 100);
    EXPECT_EQ(this->observe(0, 200, 210, true), LimitChange::None);
    this->observe(1, 300, 310, true);
    EXPECT_EQ(this->observe(0, 400, 410, true), LimitChange::Ended);
}

TEST_F(StatedLimitTest, IsClearedWhenTheUpstreamRestarts)
{
    this->observe(1, 0, 100);
    EXPECT_EQ(updateLimit(this->limit, { 0, 2, this->at(0), this->at(50), false }),
              LimitChange::None);
    EXPECT_FALSE(isInForce(this->limit, this->at(100)));
    EXPECT_EQ(this->observe(1, 200, 300), LimitChange::None) << "of the life before";
}

// Guards against an upstream that gets no requests any more because its limit ended without an
// answer that showed it.
TEST_F(StatedLimitTest, AddsNoWaitOnceItIsStale)
{
    this->observe(0.8, 0, 0);
    EXPECT_DOUBLE_EQ(expectedLimitWait(this->limit, this->at(1000)), 1.25);
    EXPECT_DOUBLE_EQ(expectedLimitWait(this->limit, this->at(4000)), 0);
    EXPECT_TRUE(isInForce(this->limit, this->at(4000)));
    EXPECT_FALSE(isInForce(this->limit, this->at(31'000)));
}

TEST(LimitFrom, IsBelowTheRejectionsThatAnUpstreamBears)
{
    EXPECT_EQ(limitFrom(0, 0), 0);
    EXPECT_EQ(limitFrom(3, 0), 3);
    EXPECT_LT(limitFrom(0, 5), 5);
    EXPECT_GT(limitFrom(0, 5), 0);
    EXPECT_EQ(limitFrom(1, 5), 1);
    EXPECT_LT(limitFrom(100, 5), 5);
}

} // namespace
} // namespace azurewell::gateway
