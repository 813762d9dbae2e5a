#include "azurewell/gateway/upstream_path.h"

#include <gtest/gtest.h>

#include <string>

namespace azurewell::gateway {
namespace {

constexpr Span millisecond = std::chrono::milliseconds(1);

class UpstreamPathTest : public testing::Test
{
protected:
    /// Runs one round of probes of which the first \a open open.
    PathChange probe(std::size_t open)
    {
        this->now = std::max(this->now, this->path.nextRoundAt);
        EXPECT_TRUE(isRoundDue(this->path, this->now));
        std::set<UpstreamId> sample;
        for (std::size_t index = 0; index < nextRoundSize(this->path); ++index)
            sample.insert(UpstreamId{ "u" + std::to_string(index) });
        beginRound(this->path, sample);
        PathChange change = PathChange::None;
        std::size_t index = 0;
        for (const UpstreamId &upstream : sample) {
            const PathChange one = recordProbe(this->path, this->path.round, upstream,
                                               index++ < open, this->now);
            change = one == PathChange::None ? change : one;
        }
        return change;
    }

    void lose()
    {
        suspect(this->path, this->now);
        this->probe(0);
        EXPECT_EQ(this->probe(0), PathChange::Lost);
    }

    Instant now{ 1'000'000 };
    UpstreamPath path;
};

TEST_F(UpstreamPathTest, IsNotProbedWhileOpen)
{
    EXPECT_FALSE(isRoundDue(this->path, this->now + std::chrono::hours(1)));
}

// Guards against giving up a path because a few upstreams are down.
TEST_F(UpstreamPathTest, IsOpenIfAnyProbeOpens)
{
    suspect(this->path, this->now);
    EXPECT_EQ(this->probe(0), PathChange::None);
    EXPECT_GT(nextRoundSize(this->path), 4U);
    EXPECT_EQ(this->probe(1), PathChange::None);
    EXPECT_EQ(this->path.state, PathState::Open);
}

TEST_F(UpstreamPathTest, IsLostAfterTwoRoundsWithoutAnyOpenConnection)
{
    this->lose();
    EXPECT_EQ(this->path.state, PathState::Lost);
}

// Guards against a path that changes with each probe.
TEST_F(UpstreamPathTest, IsRestoredAfterTwoOpenRoundsInARow)
{
    this->lose();
    EXPECT_EQ(this->probe(1), PathChange::None);
    EXPECT_EQ(this->probe(0), PathChange::None);
    EXPECT_EQ(this->probe(4), PathChange::None);
    EXPECT_EQ(this->probe(1), PathChange::Restored);
    EXPECT_EQ(this->path.state, PathState::Open);
}

TEST_F(UpstreamPathTest, IgnoresProbesOfEarlierRounds)
{
    suspect(this->path, this->now);
    const UpstreamId upstream{ "u" };
    beginRound(this->path, { upstream, UpstreamId{ "v" } });
    const std::uint64_t earlier = this->path.round;
    beginRound(this->path, { upstream });
    EXPECT_EQ(recordProbe(this->path, earlier, upstream, true, this->now), PathChange::None);
    EXPECT_EQ(this->path.state, PathState::Suspected);
}

// Guards against a probe with each request that a single crashed upstream fails.
TEST_F(UpstreamPathTest, IsNotSuspectedAgainRightAfterItWasFoundOpen)
{
    suspect(this->path, this->now);
    this->probe(1);
    suspect(this->path, this->now + 100 * millisecond);
    EXPECT_EQ(this->path.state, PathState::Open);
    suspect(this->path, this->now + 600 * millisecond);
    EXPECT_EQ(this->path.state, PathState::Suspected);
}

// Guards against connections that hang: they fail no attempt until a deadline passes.
TEST_F(UpstreamPathTest, IsSilentIfRequestsStayWithoutAnyAnswer)
{
    recordSent(this->path, UpstreamId{ "u" }, this->now);
    EXPECT_FALSE(isSilent(this->path, this->now + 700 * millisecond));
    recordSent(this->path, UpstreamId{ "v" }, this->now + 500 * millisecond);
    EXPECT_TRUE(isSilent(this->path, this->now + 700 * millisecond));
    recordAnswered(this->path);
    EXPECT_FALSE(isSilent(this->path, this->now + 700 * millisecond));
}

TEST_F(UpstreamPathTest, IsOpenIfThereIsNothingToProbe)
{
    suspect(this->path, this->now);
    beginRound(this->path, {});
    EXPECT_EQ(this->path.state, PathState::Open);
}

} // namespace
} // namespace azurewell::gateway
