#include "azurewell/gateway/gateway.h"
#include "azurewell/gateway/gossip_codec.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

/// A host with a plain service of two servers and an engine service of two engines.
class UpstreamSpeedsTest : public testing::Test
{
protected:
    UpstreamSpeedsTest()
    {
        Identity self;
        self.id.value = "h";
        self.zone.value = "z";
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Configuration configuration;
        configuration.version = 1;
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.isPublic = true;
        route.objective = std::chrono::seconds(1);
        route.services = { { ServiceId{ "plain" }, 1.0 } };
        configuration.routes = { route };
        Service engines;
        engines.id.value = "llm";
        engines.engine = EngineLimits{};
        configuration.services = { { ServiceId{ "plain" }, {}, 0, {} }, engines };
        setConfiguration(this->state, configuration);
        for (const std::string id : { "s1", "s2" })
            this->list(id, "plain", 1);
        for (const std::string id : { "e1", "e2" })
            this->list(id, "llm", 1);
    }

    void list(const std::string &id, const std::string &service, std::int64_t start)
    {
        ListedUpstream listed;
        listed.id.value = id;
        listed.service.value = service;
        listed.zone.value = "z";
        listed.slots = 6;
        listed.engine.start = start;
        if (service == "llm")
            listed.engine.models = { "m" };
        listUpstream(this->state, listed, this->now);
    }

    Upstream &at(const std::string &id)
    {
        return this->state.upstreams.at(UpstreamId{ id });
    }

    double factorOf(const std::string &id)
    {
        return expectedFactor(this->at(id).speed, this->now);
    }

    void stateSlowdown(const std::string &id, double slowdown)
    {
        StatedLoad load{ 1, 0, 6, slowdown };
        handle(this->state, LoadStated{ UpstreamId{ id }, load }, this->now);
    }

    /// A request that the server \a id answers after \a millis.
    void serve(std::int64_t millis)
    {
        RequestArrived request;
        request.request.value = ++this->lastRequest;
        request.host = "h";
        request.path = "/x";
        Actions actions;
        handle(this->state, request, this->now, actions);
        ASSERT_EQ(actions.dispatches.size(), 1U);
        const Dispatch sent = actions.dispatches.front();
        this->servedSlowly += sent.upstream.value == "s1" ? 1 : 0;
        this->now = this->now
                + std::chrono::milliseconds(sent.upstream.value == "s1" ? millis : 60);
        handle(this->state, AttemptEnded{ sent.request, sent.attempt }, this->now, actions);
    }

    /// An update of the coordinator of e1.
    void update(std::uint32_t tokensPerSecond, std::uint32_t unreadTokens, double slowdown)
    {
        Gossip message;
        message.from.value = "other";
        message.zone.value = "z";
        message.incarnation.value = 1;
        EngineUpdate update;
        update.engine.value = "e1";
        update.state.seenAt = this->now;
        update.state.start = 1;
        update.state.models = { "m" };
        update.tokensPerSecond = tokensPerSecond;
        update.unreadTokens = unreadTokens;
        update.slowdown = slowdown;
        message.engines = { update };
        Actions actions;
        handle(this->state, message, this->now, actions);
    }

    GatewayState state;
    Instant now{ 1'000'000'000 };
    std::uint64_t lastRequest = 0;
    std::size_t servedSlowly = 0; ///< Requests that s1 answered.
};

// Guards against a plain server that is slower for good and gets as many requests as the others.
TEST_F(UpstreamSpeedsTest, LearnsThatAPlainServerIsSlower)
{
    for (int request = 0; request < 60; ++request)
        this->serve(180);
    // Either may be the one that differs from the mean of those that were chosen.
    EXPECT_GT(this->factorOf("s1") / this->factorOf("s2"), 1.3);
    const std::size_t before = this->servedSlowly;
    for (int request = 0; request < 30; ++request)
        this->serve(180);
    EXPECT_LT(this->servedSlowly - before, 10U);
}

// Guards against speeds of a process that no longer runs.
TEST_F(UpstreamSpeedsTest, ARestartedUpstreamStartsAnew)
{
    this->stateSlowdown("s1", 2.5);
    this->update(30'000, 5'000, 2);
    EXPECT_EQ(this->factorOf("s1"), 2.5);
    EXPECT_EQ(this->factorOf("e1"), 2);
    this->list("s1", "plain", 2);
    this->list("e1", "llm", 2);
    EXPECT_EQ(this->factorOf("s1"), 1);
    EXPECT_EQ(this->factorOf("e1"), 1);
    EXPECT_EQ(expectedTokensPerSecond(this->at("e1").speed, 22'000, this->now), 22'000);
}

// Guards against a choice by bad values from the wire or from another host.
TEST_F(UpstreamSpeedsTest, CountsValuesThatItIgnores)
{
    this->stateSlowdown("s1", 1e6);
    this->stateSlowdown("s1", -3);
    this->update(0, 0, 1000);
    EXPECT_EQ(this->factorOf("s1"), 1);
    EXPECT_EQ(this->factorOf("e1"), 1);
    EXPECT_EQ(this->state.counters.ignoredLoadValues, 3U);
    EXPECT_EQ(this->at("s1").load.slots, 6U);
}

// Guards against own prompts that count twice, as this host's and as the coordinator's.
TEST_F(UpstreamSpeedsTest, CountsOwnPromptsOnce)
{
    Upstream &engine = this->at("e1");
    add(engine.ownPrompts, 4000, promptDecayTime, this->now);
    this->update(30'000, 5000, 0);
    EXPECT_NEAR(queuedPromptTokens(engine, this->now), 5000, 1);
    add(engine.ownPrompts, 1000, promptDecayTime, this->now);
    EXPECT_NEAR(queuedPromptTokens(engine, this->now), 6000, 1);
    // A host that hears no updates any more counts what it knows itself.
    this->now = this->now + std::chrono::seconds(2);
    EXPECT_LT(queuedPromptTokens(engine, this->now), 100);
}

// Guards against another choice where servers state three values.
TEST_F(UpstreamSpeedsTest, ChoosesTheLeastLoadedServerWithoutStatedSlowdowns)
{
    handle(this->state, LoadStated{ UpstreamId{ "s1" }, { 6, 4, 6, 0 } }, this->now);
    handle(this->state, LoadStated{ UpstreamId{ "s2" }, { 1, 0, 6, 0 } }, this->now);
    UpstreamNeed need;
    need.service.value = "plain";
    need.zone.value = "z";
    need.prefillTokensPerSecond = 22'000;
    for (int draw = 0; draw < 100; ++draw) {
        const Upstream *chosen = chooseUpstream(this->state.upstreams, need, {}, draw / 100.0,
                                                this->now);
        EXPECT_EQ(chosen->listed.id.value, "s2");
    }
}

} // namespace
} // namespace azurewell::gateway
