#include "azurewell/gateway/gateway.h"
#include "azurewell/gateway/permit_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace azurewell::gateway {
namespace {

constexpr double perSecond = 9.2;
const WarmupBound bound{ 1.5, 5 };
const double maxInASecond = perSecond * bound.overshoot + bound.tolerance;

/// The most permits that become valid within any second while one is requested each \a interval.
std::size_t maxPermitsInASecond(const std::function<Span(Instant)> &reserve, Span interval)
{
    std::vector<Instant> valid;
    const Instant begins{ 1'000'000 };
    for (Instant now = begins; now < begins + std::chrono::seconds(5); now = now + interval)
        valid.push_back(now + reserve(now));
    std::size_t most = 0;
    for (const Instant first : valid) {
        const auto isWithin = [&](Instant at) {
            return at >= first && at - first < std::chrono::seconds(1);
        };
        most = std::max(
                most,
                static_cast<std::size_t>(std::count_if(valid.begin(), valid.end(), isWithin)));
    }
    return most;
}

// Guards against two coordinators of a cold upstream, one on each side of a partition, whose
// permits together exceed what it bears.
TEST(WarmupTest, TwoCoordinatorsOfAColdUpstreamStayWithinItsBound)
{
    const WarmupLimit limit = warmupLimit(perSecond, bound);
    PermitPacer pacer;
    const auto reserve = [&](Instant now) {
        return reservePermit(pacer, limit.perSecond, now);
    };
    const std::size_t most = maxPermitsInASecond(reserve, std::chrono::milliseconds(5));
    EXPECT_LE(2 * static_cast<double>(most), maxInASecond);
}

// Guards against a burst of permits in the moment before hosts learn that an upstream is cold.
TEST(WarmupTest, PermitsForAWarmUpstreamStayWithinTheBoundOfAColdOne)
{
    const WarmupLimit limit = warmupLimit(perSecond, bound);
    for (const int intervalMillis : { 1, 20, 70 }) {
        PermitPacer pacer;
        const auto reserve = [&](Instant now) {
            return reserveInBurst(pacer, limit.perSecondWarm, limit.burst, now);
        };
        EXPECT_LE(static_cast<double>(
                          maxPermitsInASecond(reserve, std::chrono::milliseconds(intervalMillis))),
                  maxInASecond)
                << intervalMillis;
    }
}

TEST(WarmupTest, AServiceThatStatesNoRateIsNotLimited)
{
    EXPECT_EQ(warmupLimit(0, bound).perSecond, 0);
    EXPECT_EQ(warmupLimit(0, bound).perSecondWarm, 0);
}

TEST(WarmupTest, PermitsAreNotDelayedWhileAWarmUpstreamGetsFewRequests)
{
    const WarmupLimit limit = warmupLimit(perSecond, bound);
    PermitPacer pacer;
    for (int request = 0; request < 20; ++request) {
        const Instant now{ 1'000'000 + request * 250'000 };
        EXPECT_EQ(reserveInBurst(pacer, limit.perSecondWarm, limit.burst, now), Span{});
    }
}

class ColdUpstreamTest : public testing::Test
{
protected:
    ColdUpstreamTest()
    {
        this->service.id.value = "drafts";
        this->service.warmupTime = std::chrono::seconds(3);
        this->service.warmupPerSecond = perSecond;
        this->configure(1);
        this->listed.id.value = "e1";
        this->listed.service = this->service.id;
        this->listed.engine.start = 100;
    }

    void configure(std::uint64_t version)
    {
        Configuration configuration;
        configuration.version = version;
        configuration.services.push_back(this->service);
        setConfiguration(this->state, std::move(configuration));
    }

    const Upstream &upstream() const
    {
        return this->state.upstreams.at(this->listed.id);
    }

    GatewayState state;
    Service service;
    ListedUpstream listed;
    Instant now{ 1'000'000 };
};

TEST_F(ColdUpstreamTest, AnEntryStatesHowLongTheUpstreamStaysCold)
{
    this->listed.warmupLeft = std::chrono::seconds(2);
    listUpstream(this->state, this->listed, this->now);
    EXPECT_TRUE(isCold(this->upstream(), this->now));
    EXPECT_FALSE(isCold(this->upstream(), this->now + std::chrono::seconds(2)));
    EXPECT_GT(permitsPerSecond(this->state, this->upstream(), this->now), 0);
}

// Guards against full load at an upstream that has started again before its entry says so.
TEST_F(ColdUpstreamTest, AReportOfANewStartMarksTheUpstreamCold)
{
    listUpstream(this->state, this->listed, this->now);
    EXPECT_FALSE(isCold(this->upstream(), this->now));
    ReportRead report{ this->listed.id, this->now, EngineState{} };
    report.state->start = 101;
    Actions actions;
    handle(this->state, report, this->now, actions);
    EXPECT_TRUE(isCold(this->upstream(), this->now));
}

// Guards against an entry from before a restart that makes a cold upstream look warm.
TEST_F(ColdUpstreamTest, AnEntryOfAnEarlierStartDoesNotEndTheColdTime)
{
    listUpstream(this->state, this->listed, this->now);
    ReportRead report{ this->listed.id, this->now, EngineState{} };
    report.state->start = 101;
    Actions actions;
    handle(this->state, report, this->now, actions);
    ++this->listed.serial;
    listUpstream(this->state, this->listed, this->now);
    EXPECT_TRUE(isCold(this->upstream(), this->now));
}

// Guards against a limit on upstreams of services that state no rate for cold upstreams.
TEST_F(ColdUpstreamTest, ServicesWithoutARateHaveNoColdUpstreams)
{
    this->listed.warmupLeft = std::chrono::seconds(2);
    listUpstream(this->state, this->listed, this->now);
    this->service.warmupPerSecond = 0;
    this->configure(2);
    EXPECT_FALSE(isCold(this->upstream(), this->now));
    listUpstream(this->state, this->listed, this->now);
    EXPECT_FALSE(isCold(this->upstream(), this->now));
}

// Guards against entries about a cold upstream that are held back as if they said nothing new.
TEST_F(ColdUpstreamTest, AnUpstreamThatIsColdAgainIsAChange)
{
    ListedUpstream cold = this->listed;
    cold.warmupLeft = std::chrono::seconds(2);
    ListedUpstream colder = this->listed;
    colder.warmupLeft = std::chrono::seconds(3);
    EXPECT_FALSE(isSameListing(this->listed, cold));
    EXPECT_FALSE(isSameListing(cold, this->listed));
    EXPECT_FALSE(isSameListing(cold, colder));
    EXPECT_TRUE(isSameListing(colder, cold));
}

} // namespace
} // namespace azurewell::gateway
