#include "azurewell/gateway/gateway.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace azurewell::gateway {
namespace {

/// One host, another one, and a service with two upstreams.
class StatementsTest : public testing::Test
{
protected:
    StatementsTest()
    {
        Identity self;
        self.id.value = "h";
        self.zone.value = "z";
        self.stopGrace = std::chrono::seconds(8);
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Configuration configuration;
        configuration.version = 1;
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.timeout = std::chrono::seconds(2);
        route.objective = std::chrono::milliseconds(300);
        route.isPublic = true;
        route.services = { { this->service, 1.0 } };
        configuration.routes = { route };
        configuration.services = { { this->service, {}, 0, {} } };
        setConfiguration(this->state, configuration);
        this->list("d1", 1);
        this->list("d2", 1);
    }

    void list(const std::string &id, std::int64_t start)
    {
        ListedUpstream listed;
        listed.id.value = id;
        listed.service = this->service;
        listed.serial = ++this->lastSerial;
        listed.engine.start = start;
        listUpstream(this->state, listed, this->now);
    }

    Actions stateLeaving(const std::string &id)
    {
        Actions actions;
        handle(this->state, LeavingStated{ UpstreamId{ id } }, this->now, actions);
        return actions;
    }

    void statePause(const std::string &id, Span pause)
    {
        Actions actions;
        handle(this->state, PauseStated{ UpstreamId{ id }, pause }, this->now, actions);
    }

    Actions ask()
    {
        RequestArrived request;
        request.request.value = ++this->lastRequest;
        request.host = "h";
        request.path = "/";
        request.allowed = std::chrono::seconds(4);
        Actions actions;
        handle(this->state, request, this->now, actions);
        return actions;
    }

    /// Whether any of many requests is sent to \a id.
    bool isUsed(const std::string &id)
    {
        for (int tries = 0; tries < 40; ++tries) {
            const Actions actions = this->ask();
            if (!actions.dispatches.empty() && actions.dispatches[0].upstream.value == id)
                return true;
        }
        return false;
    }

    void hear(const std::vector<UpstreamIncarnation> &leaving)
    {
        Gossip message;
        message.from.value = "other";
        message.zone.value = "z";
        message.incarnation.value = 1;
        message.leavingUpstreams = leaving;
        Actions actions;
        handle(this->state, message, this->now, actions);
    }

    Instant now{ 1'000'000'000 };
    ServiceId service{ "desk" };
    GatewayState state;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastSerial = 0;
};

// Guards against a list that does not know yet and undoes what the upstream has stated.
TEST_F(StatementsTest, AnUpstreamThatStatesThatItLeavesStaysOutWhenItIsListedAsReady)
{
    EXPECT_TRUE(this->isUsed("d1"));
    this->stateLeaving("d1");
    this->list("d1", 1);
    EXPECT_FALSE(this->isUsed("d1"));
}

// Guards against a statement of one process that is applied to the next one at the address.
TEST_F(StatementsTest, AnotherProcessOfTheUpstreamIsUsed)
{
    this->stateLeaving("d1");
    this->list("d1", 2);
    EXPECT_TRUE(this->isUsed("d1"));
}

TEST_F(StatementsTest, HostsTellEachOtherOfUpstreamsThatLeave)
{
    this->hear({ { UpstreamId{ "d1" }, 1 } });
    EXPECT_FALSE(this->isUsed("d1"));
    Actions actions;
    tick(this->state, this->now + std::chrono::seconds(3), actions);
    const auto isTold = [](const SendGossip &sent) {
        return !sent.message->leavingUpstreams.empty();
    };
    EXPECT_TRUE(std::any_of(actions.gossip.begin(), actions.gossip.end(), isTold));
}

TEST_F(StatementsTest, AnUpstreamGetsNothingDuringItsPauseAndIsUsedAfterIt)
{
    this->statePause("d1", std::chrono::seconds(3));
    this->now = this->now + std::chrono::milliseconds(2999);
    EXPECT_FALSE(this->isUsed("d1"));
    this->now = this->now + std::chrono::milliseconds(1);
    EXPECT_TRUE(this->isUsed("d1"));
}

TEST_F(StatementsTest, TheLongestPauseCounts)
{
    this->statePause("d1", std::chrono::seconds(3));
    this->statePause("d1", std::chrono::seconds(1));
    this->now = this->now + std::chrono::seconds(2);
    EXPECT_FALSE(this->isUsed("d1"));
}

// Guards against an upstream that is out of use for good by a wrong statement.
TEST_F(StatementsTest, APauseEndsWithinAMinuteAndWithTheProcess)
{
    this->statePause("d1", std::chrono::hours(10));
    this->list("d1", 2);
    EXPECT_TRUE(this->isUsed("d1"));
    this->statePause("d1", std::chrono::hours(10));
    this->now = this->now + std::chrono::minutes(1);
    EXPECT_TRUE(this->isUsed("d1"));
}

TEST_F(StatementsTest, ARequestIsRefusedUntilTheFirstPauseEndsIfAllUpstreamsHaveAskedForOne)
{
    this->statePause("d1", std::chrono::seconds(3));
    this->statePause("d2", std::chrono::seconds(2));
    const Actions actions = this->ask();
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals[0].code, ResultCode::UpstreamsPaused);
    EXPECT_EQ(actions.refusals[0].retryAfter, std::chrono::seconds(2));
    EXPECT_TRUE(actions.refusals[0].isNotRun);
}

// Guards against an old message about an earlier process.
TEST_F(StatementsTest, AMessageAboutAnEarlierProcessChangesNothing)
{
    this->list("d1", 2);
    this->hear({ { UpstreamId{ "d1" }, 1 }, { UpstreamId{ "unknown" }, 1 } });
    EXPECT_TRUE(this->isUsed("d1"));
}

} // namespace
} // namespace azurewell::gateway
