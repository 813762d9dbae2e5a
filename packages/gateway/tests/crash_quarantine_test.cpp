#include "azurewell/gateway/crash_quarantine.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

class CrashQuarantineTest : public testing::Test
{
protected:
    static UpstreamIncarnation incarnation(const std::string &upstream, std::int64_t start = 1)
    {
        return { UpstreamId{ upstream }, start };
    }

    bool suspect(std::uint64_t digest, const UpstreamIncarnation &incarnation)
    {
        return recordSuspicion(this->quarantine,
                               { RequestDigest{ digest }, incarnation, this->now }, this->now);
    }

    /// Records suspicions of the request at \a upstreams upstreams.
    void suspectAtUpstreams(std::uint64_t digest, std::size_t upstreams)
    {
        for (std::size_t index = 0; index < upstreams; ++index)
            this->suspect(digest, incarnation("e" + std::to_string(index)));
    }

    bool isInQuarantine(std::uint64_t digest) const
    {
        return isQuarantined(this->quarantine, RequestDigest{ digest });
    }

    CrashQuarantine quarantine;
    Instant now{ 1'000'000'000 };
};

TEST_F(CrashQuarantineTest, ThirdCrashQuarantinesRequest)
{
    EXPECT_FALSE(this->suspect(1, incarnation("a")));
    EXPECT_FALSE(this->suspect(1, incarnation("b")));
    EXPECT_FALSE(this->isInQuarantine(1));
    EXPECT_TRUE(this->suspect(1, incarnation("a", 2)));
    EXPECT_TRUE(this->isInQuarantine(1));
    EXPECT_FALSE(this->isInQuarantine(2));
}

// Guards against counting a crash twice when it is received twice or from several hosts.
TEST_F(CrashQuarantineTest, RepeatedSuspicionCountsOnce)
{
    for (int repeat = 0; repeat < 5; ++repeat)
        EXPECT_FALSE(this->suspect(1, incarnation("a")));
    EXPECT_EQ(this->quarantine.suspicionsRecorded, 1U);
    EXPECT_FALSE(this->isInQuarantine(1));
}

// Guards against refusing requests because connections to running upstreams broke.
TEST_F(CrashQuarantineTest, LaterAnswerRefutesSuspicion)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    ASSERT_TRUE(this->isInQuarantine(1));
    recordAnswered(this->quarantine, incarnation("e0"), this->now);
    EXPECT_TRUE(this->isInQuarantine(1)) << "the request was sent before the suspicion";
    recordAnswered(this->quarantine, incarnation("e0"), this->now + std::chrono::milliseconds(50));
    EXPECT_FALSE(this->isInQuarantine(1));
    EXPECT_EQ(this->quarantine.suspicionsRefuted, 1U);
}

// Guards against refuting a suspicion by the answers of a restarted upstream: they say nothing of
// the incarnation that crashed.
TEST_F(CrashQuarantineTest, RestartedUpstreamRefutesNothing)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    recordAnswered(this->quarantine, incarnation("e0"), this->now + std::chrono::seconds(3));
    recordReported(this->quarantine, incarnation("e1", 2), this->now + std::chrono::seconds(3));
    EXPECT_TRUE(this->isInQuarantine(1));
    recordReported(this->quarantine, incarnation("e1"), this->now + std::chrono::seconds(3));
    EXPECT_FALSE(this->isInQuarantine(1));
}

TEST_F(CrashQuarantineTest, CompleteAnswerClearsSuspicions)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    clearSuspicions(this->quarantine, RequestDigest{ 1 });
    EXPECT_FALSE(this->isInQuarantine(1));
    EXPECT_TRUE(this->quarantine.suspects.empty());
}

// Guards against evicting a quarantined request when the loss of many engines creates a flood of
// suspects.
TEST_F(CrashQuarantineTest, FloodOfSuspectsEvictsNoQuarantinedRequest)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    constexpr std::uint64_t flood = 20'000;
    for (std::uint64_t digest = 2; digest < flood; ++digest)
        this->suspect(digest, incarnation("z"));
    EXPECT_TRUE(this->isInQuarantine(1));
    EXPECT_LE(this->quarantine.suspects.size(), 4097U);
}

TEST_F(CrashQuarantineTest, SuspicionsAndQuarantineExpire)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    this->suspectAtUpstreams(2, 1);
    removeExpiredSuspicions(this->quarantine, this->now + std::chrono::minutes(3));
    EXPECT_TRUE(this->isInQuarantine(1));
    EXPECT_FALSE(isSuspected(this->quarantine, RequestDigest{ 2 }));
    EXPECT_EQ(remainingQuarantine(this->quarantine, RequestDigest{ 1 }, this->now),
              Span(std::chrono::minutes(10)));
    removeExpiredSuspicions(this->quarantine, this->now + std::chrono::minutes(11));
    EXPECT_FALSE(this->isInQuarantine(1));
    EXPECT_TRUE(this->quarantine.suspectedIncarnations.empty());
}

// Guards against a suspicion that reaches no host because its only message was lost.
TEST_F(CrashQuarantineTest, SuspicionsAreResentUnlessRefuted)
{
    const CrashSuspicion first{ RequestDigest{ 1 }, incarnation("a"), this->now };
    const CrashSuspicion second{ RequestDigest{ 2 }, incarnation("b"), this->now };
    recordSuspicion(this->quarantine, first, this->now);
    recordSuspicion(this->quarantine, second, this->now);
    queueSuspicion(this->quarantine, first, this->now);
    queueSuspicion(this->quarantine, second, this->now);
    EXPECT_EQ(takePending(this->quarantine, this->now).size(), 2U);
    EXPECT_TRUE(takePending(this->quarantine, this->now).empty());
    recordReported(this->quarantine, incarnation("b"), this->now + std::chrono::milliseconds(20));
    std::size_t sentCount = 0;
    for (int second = 1; second <= 5; ++second)
        sentCount += takePending(this->quarantine, this->now + std::chrono::seconds(second)).size();
    EXPECT_EQ(sentCount, 2U);
    EXPECT_TRUE(this->quarantine.pending.empty());
}

TEST_F(CrashQuarantineTest, JoiningHostReceivesQuarantinedAndSevereSuspects)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    this->suspectAtUpstreams(2, quarantineThreshold - 1);
    this->suspectAtUpstreams(3, 1);
    CrashQuarantine joined;
    for (const CrashSuspicion &suspicion : severeSuspicions(this->quarantine))
        recordSuspicion(joined, suspicion, this->now + std::chrono::minutes(5));
    EXPECT_TRUE(isQuarantined(joined, RequestDigest{ 1 }));
    EXPECT_TRUE(isSuspected(joined, RequestDigest{ 2 }));
    EXPECT_FALSE(isSuspected(joined, RequestDigest{ 3 }));
}

} // namespace
} // namespace azurewell::gateway
