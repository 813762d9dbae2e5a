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
        const CrashSuspicion suspicion{ RequestDigest{ digest }, incarnation, this->now };
        return !recordSuspicions(this->quarantine, { suspicion }, this->now).empty();
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
    recordSuspicions(this->quarantine, { first }, this->now);
    recordSuspicions(this->quarantine, { second }, this->now);
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

// Guards against a host that dispatches a query of death to one upstream more because the message
// about the last crash was lost, and against three messages that one loss takes.
TEST_F(CrashQuarantineTest, SuspicionsAreResentSoonAndOnceMoreMuchLater)
{
    const CrashSuspicion suspicion{ RequestDigest{ 1 }, incarnation("a"), this->now };
    recordSuspicions(this->quarantine, { suspicion }, this->now);
    queueSuspicion(this->quarantine, suspicion, this->now);
    EXPECT_EQ(takePending(this->quarantine, this->now).size(), 1U);
    this->now = this->now + std::chrono::milliseconds(80);
    EXPECT_EQ(takePending(this->quarantine, this->now).size(), 1U);
    EXPECT_TRUE(takePending(this->quarantine, this->now + std::chrono::milliseconds(500)).empty());
    EXPECT_EQ(takePending(this->quarantine, this->now + std::chrono::milliseconds(800)).size(), 1U);
    EXPECT_TRUE(this->quarantine.pending.empty());
}

// Guards against a host that ends because a relay put a suspicion and its refutation into one
// message.
TEST_F(CrashQuarantineTest, ASuspicionAndItsRefutationMayComeTogether)
{
    const CrashSuspicion suspicion{ RequestDigest{ 1 }, incarnation("a"), this->now };
    const CrashSuspicion refutation{ {},
                                     incarnation("a"),
                                     this->now + std::chrono::milliseconds(100),
                                     SuspectKind::Request,
                                     false,
                                     true };
    EXPECT_TRUE(recordSuspicions(this->quarantine, { suspicion, refutation }, this->now).empty());
    EXPECT_TRUE(this->quarantine.suspects.empty());
    EXPECT_TRUE(recordSuspicions(this->quarantine, { refutation, suspicion }, this->now).empty());
    EXPECT_TRUE(this->quarantine.suspects.empty());
}

TEST_F(CrashQuarantineTest, JoiningHostReceivesQuarantinedAndSevereSuspects)
{
    this->suspectAtUpstreams(1, quarantineThreshold);
    this->suspectAtUpstreams(2, quarantineThreshold - 1);
    this->suspectAtUpstreams(3, 1);
    CrashQuarantine joined;
    for (const CrashSuspicion &suspicion : severeSuspicions(this->quarantine))
        recordSuspicions(joined, { suspicion }, this->now + std::chrono::minutes(5));
    EXPECT_TRUE(isQuarantined(joined, RequestDigest{ 1 }));
    EXPECT_TRUE(isSuspected(joined, RequestDigest{ 2 }));
    EXPECT_FALSE(isSuspected(joined, RequestDigest{ 3 }));
}

/// Engines crash one after the other while they begin to answer requests.
class CrashingPartTest : public CrashQuarantineTest
{
protected:
    static constexpr std::uint64_t guilty = 1;
    static constexpr std::uint64_t innocent = 2;

    static CrashSuspicion suspicionOf(std::uint64_t part, const std::string &upstream, Instant at)
    {
        return { RequestDigest{ part }, incarnation(upstream), at, SuspectKind::PromptPart };
    }

    /// \a upstream crashes while it begins to answer a request with \a parts.
    void crash(const std::string &upstream, const std::vector<std::uint64_t> &parts)
    {
        this->now = this->now + std::chrono::milliseconds(500);
        std::vector<CrashSuspicion> suspicions;
        suspicions.reserve(parts.size());
        for (const std::uint64_t part : parts)
            suspicions.push_back(suspicionOf(part, upstream, this->now));
        recordSuspicions(this->quarantine, suspicions, this->now);
    }

    std::vector<CrashSuspicion> answer(std::uint64_t part)
    {
        return recordPartAnswered(this->quarantine, RequestDigest{ part }, this->now);
    }
};

// Guards against requests that are refused because they share a part with a guilty one.
TEST_F(CrashingPartTest, ACompleteAnswerClearsAPart)
{
    this->crash("e1", { guilty, innocent });
    this->crash("e2", { guilty, innocent });
    EXPECT_EQ(this->answer(innocent).size(), 2U);
    this->crash("e3", { guilty, innocent });
    EXPECT_TRUE(this->isInQuarantine(guilty));
    EXPECT_FALSE(this->isInQuarantine(innocent));
}

// Guards against innocent parts that are refused because engines crash in turn for another reason.
TEST_F(CrashingPartTest, AnswersShortlyBeforeTheCrashesSpeakForAPart)
{
    this->answer(innocent);
    for (const std::string upstream : { "e1", "e2", "e3", "e4" })
        this->crash(upstream, { innocent });
    EXPECT_FALSE(this->isInQuarantine(innocent));
    this->crash("e5", { innocent });
    EXPECT_TRUE(this->isInQuarantine(innocent));
}

// Guards against a suspicion that comes back with a message that is late or was sent twice.
TEST_F(CrashingPartTest, AClearedSuspicionStaysCleared)
{
    const Instant at = this->now;
    this->crash("e1", { innocent });
    const std::vector<CrashSuspicion> cleared = this->answer(innocent);
    recordSuspicions(this->quarantine, { suspicionOf(innocent, "e1", at) }, this->now);
    EXPECT_TRUE(this->quarantine.suspects.at(RequestDigest{ innocent }).incarnations.empty());

    CrashQuarantine other;
    recordSuspicions(other, cleared, this->now);
    recordSuspicions(other, { suspicionOf(innocent, "e1", at) }, this->now);
    EXPECT_TRUE(other.suspects.at(RequestDigest{ innocent }).incarnations.empty());
}

// Guards against a part that is found guilty because a rack of engines fails.
TEST_F(CrashingPartTest, CrashesWithACommonCauseCountOnce)
{
    std::vector<CrashSuspicion> suspicions;
    for (const std::string upstream : { "e1", "e2", "e3", "e4", "e5" })
        suspicions.push_back(suspicionOf(innocent, upstream, this->now));
    recordSuspicions(this->quarantine, suspicions, this->now);
    EXPECT_FALSE(this->isInQuarantine(innocent));
    this->crash("e6", { innocent });
    EXPECT_FALSE(this->isInQuarantine(innocent));
    this->crash("e7", { innocent });
    EXPECT_TRUE(this->isInQuarantine(innocent));
}

// Guards against parts that are found guilty of crashes that another part has caused.
TEST_F(CrashingPartTest, CrashesOfAGuiltyPartSpeakAgainstNoOther)
{
    this->crash("e1", { guilty });
    this->crash("e2", { guilty, innocent });
    this->crash("e3", { guilty, innocent });
    this->crash("e4", { guilty, innocent });
    this->crash("e5", { innocent });
    EXPECT_TRUE(this->isInQuarantine(guilty));
    EXPECT_FALSE(this->isInQuarantine(innocent));
}

// Guards against a guilty part that hides behind one that is always with it.
TEST_F(CrashingPartTest, PartsWithTheSameCrashesAreBothQuarantined)
{
    for (const std::string upstream : { "e1", "e2", "e3" })
        this->crash(upstream, { innocent, guilty });
    EXPECT_TRUE(this->isInQuarantine(guilty));
    EXPECT_TRUE(this->isInQuarantine(innocent));
    this->answer(innocent);
    EXPECT_TRUE(this->isInQuarantine(guilty));
    EXPECT_FALSE(this->isInQuarantine(innocent));
}

// Guards against trials that crash one engine after the other.
TEST_F(CrashingPartTest, TrialsBecomeRarerWithEachCrash)
{
    for (const std::string upstream : { "e1", "e2", "e3" })
        this->crash(upstream, { guilty });
    const Span first = nextTrialAt(this->quarantine, RequestDigest{ guilty }) - this->now;
    this->crash("e4", { guilty });
    const Span second = nextTrialAt(this->quarantine, RequestDigest{ guilty }) - this->now;
    EXPECT_GE(first, std::chrono::seconds(20));
    EXPECT_EQ(second, first * 2);
    EXPECT_EQ(remainingQuarantine(this->quarantine, RequestDigest{ guilty }, this->now), second);
}

// Guards against a host that ends because old news exceed the bounds of what it keeps.
TEST_F(CrashingPartTest, WhatIsDroppedAtOnceIsNotReported)
{
    constexpr std::uint64_t firstPart = 100;
    constexpr std::uint64_t parts = 1100;
    for (std::uint64_t part = firstPart; part < firstPart + parts; ++part) {
        for (const std::string upstream : { "e1", "e2", "e3" })
            this->crash(upstream, { part });
    }
    const Instant longAgo = this->now - std::chrono::minutes(9);
    std::vector<CrashSuspicion> old;
    old.reserve(3);
    for (int index = 0; index < 3; ++index)
        old.push_back(suspicionOf(guilty, "o" + std::to_string(index),
                                  longAgo + std::chrono::seconds(index)));
    for (const RequestDigest &digest : recordSuspicions(this->quarantine, old, this->now))
        EXPECT_TRUE(this->quarantine.suspects.contains(digest));
}

// Guards against messages that grow with the number of crashes.
TEST_F(CrashingPartTest, AMessageHasABoundedNumberOfSuspicions)
{
    for (std::uint64_t part = 0; part < 500; ++part) {
        const CrashSuspicion suspicion = suspicionOf(part, "e1", this->now);
        recordSuspicions(this->quarantine, { suspicion }, this->now);
        queueSuspicion(this->quarantine, suspicion, this->now);
    }
    std::size_t sent = 0;
    for (int tick = 0; tick < 3; ++tick) {
        const std::size_t inMessage = takePending(this->quarantine, this->now).size();
        EXPECT_LE(inMessage, 200U);
        sent += inMessage;
    }
    EXPECT_EQ(sent, 500U);
}

} // namespace
} // namespace azurewell::gateway
