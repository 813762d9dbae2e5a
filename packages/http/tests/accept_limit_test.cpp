#include "azurewell/http/accept_limit.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

constexpr Span shortPass = std::chrono::milliseconds(20);

class AcceptLimitTest : public testing::Test
{
protected:
    AcceptLimitTest()
    {
        beginPass(this->limit, this->now);
        this->pass(shortPass, 0);
    }

    /// A pass in which \a asking callers connect. Returns how many are kept.
    std::uint32_t pass(Span length, std::uint32_t asking)
    {
        std::uint32_t kept = 0;
        for (std::uint32_t i = 0; i < asking; ++i)
            kept += takeAccept(this->limit) ? 1 : 0;
        this->now = this->now + length;
        beginPass(this->limit, this->now);
        return kept;
    }

    AcceptLimit limit;
    Instant now{ 1'000'000 };
};

TEST_F(AcceptLimitTest, KeepsAllWhilePassesAreShort)
{
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(this->pass(shortPass, 500), 500U);
}

// Guards against callers that are turned away as a host goes on after it has been paused.
TEST_F(AcceptLimitTest, KeepsAllAfterOnePause)
{
    EXPECT_EQ(this->pass(std::chrono::seconds(3), 4), 4U);
    EXPECT_EQ(this->pass(shortPass, 500), 500U);
}

// Guards against a host that reads all requests only after their callers have given up, as it
// accepts more connections than it has processor time for.
TEST_F(AcceptLimitTest, PassesBecomeShortUnderAnyLoad)
{
    constexpr Span cost = std::chrono::milliseconds(16);
    std::uint32_t kept = 0;
    Span length = shortPass;
    for (int i = 0; i < 50; ++i) {
        kept = this->pass(length, 400);
        length = std::max(shortPass, kept * cost);
    }
    Span longest{};
    std::uint32_t keptInAll = 0;
    Span inAll{};
    for (int i = 0; i < 50; ++i) {
        kept = this->pass(length, 400);
        inAll += length;
        keptInAll += kept;
        length = std::max(shortPass, kept * cost);
        longest = std::max(longest, length);
    }
    EXPECT_LE(longest, std::chrono::milliseconds(300));
    EXPECT_GE(keptInAll * cost, inAll * 9 / 10);
}

TEST_F(AcceptLimitTest, AlwaysKeepsOne)
{
    for (int i = 0; i < 20; ++i)
        EXPECT_GE(this->pass(std::chrono::seconds(2), 100), 1U);
}

// Guards against a host that turns callers away long after the load has fallen.
TEST_F(AcceptLimitTest, EndsSoonAfterTheLoad)
{
    for (int i = 0; i < 20; ++i)
        this->pass(std::chrono::seconds(1), 400);
    ASSERT_TRUE(isLimited(this->limit));
    for (int i = 0; i < 40; ++i)
        this->pass(shortPass, 1);
    EXPECT_FALSE(isLimited(this->limit));
}

TEST_F(AcceptLimitTest, IgnoresLongPassesWithoutNewConnections)
{
    for (int i = 0; i < 20; ++i)
        this->pass(std::chrono::seconds(1), 0);
    EXPECT_FALSE(isLimited(this->limit));
}

} // namespace
} // namespace azurewell
