#include "azurewell/gateway/forwarding.h"
#include "azurewell/gateway/gateway.h"
#include "azurewell/gateway/gossip_codec.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace azurewell::gateway {
namespace {

TEST(ForwardingCodec, KeepsARequest)
{
    const ForwardedRequest request{ HostId{ "h" }, CustomerId{ "c" }, ServiceId{ "s" },
                                    std::chrono::milliseconds(1500), 2 };
    const Result<ForwardedRequest> decoded = decodeForwardedRequest(
            encodeForwardedRequest(request));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().sender, request.sender);
    EXPECT_EQ(decoded.value().customer, request.customer);
    EXPECT_EQ(decoded.value().service, request.service);
    EXPECT_EQ(decoded.value().allowed, request.allowed);
    EXPECT_EQ(decoded.value().possibleRuns, request.possibleRuns);
}

TEST(ForwardingCodec, KeepsARefusal)
{
    const ForwardRefusal refusal{ ResultCode::QueueFull, false, std::chrono::milliseconds(400) };
    const Result<ForwardRefusal> decoded = decodeForwardRefusal(encodeForwardRefusal(refusal));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().code, refusal.code);
    EXPECT_EQ(decoded.value().isNotRun, refusal.isNotRun);
    EXPECT_EQ(decoded.value().retryAfter, refusal.retryAfter);
}

TEST(ForwardingCodec, RejectsWhatIsNoMessage)
{
    EXPECT_FALSE(decodeForwardedRequest(""));
    EXPECT_FALSE(decodeForwardedRequest("\xff\xff\xff"));
    EXPECT_FALSE(decodeForwardRefusal(std::string(10'000, 'x')));
}

TEST(ForwardingCodec, TakesAnUnknownCodeForAnInternalError)
{
    const ForwardRefusal refusal{ static_cast<ResultCode>(999), true, {} };
    EXPECT_EQ(decodeForwardRefusal(encodeForwardRefusal(refusal)).value().code,
              ResultCode::InternalError);
}

/// One host with two other hosts, one of them in its zone, and a service with three upstreams.
class ForwardingTest : public testing::Test
{
protected:
    ForwardingTest()
    {
        Identity self;
        self.id.value = "h";
        self.zone.value = "z";
        self.stopGrace = std::chrono::seconds(8);
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { routeOf("/file/", RepeatPolicy::NonIdempotent),
                                 routeOf("/look/", RepeatPolicy::Idempotent) };
        configuration.services = { { this->service, {}, 0, {} } };
        Customer customer;
        customer.id.value = "c";
        customer.keys = { KeyHash{ "key" } };
        configuration.customers = { customer };
        setConfiguration(this->state, configuration);
        for (const char *id : { "d1", "d2", "d3" }) {
            ListedUpstream listed;
            listed.id.value = id;
            listed.service = this->service;
            listed.address = { id, 1 };
            listUpstream(this->state, listed, this->now);
        }
        this->hear("near", "z");
        this->hear("far", "y");
    }

    Route routeOf(const std::string &prefix, RepeatPolicy repeat)
    {
        Route route;
        route.host = "h";
        route.prefix = prefix;
        route.repeat = repeat;
        route.timeout = std::chrono::seconds(2);
        route.objective = std::chrono::milliseconds(300);
        route.maxAttempts = 2;
        route.services = { { this->service, 1.0 } };
        return route;
    }

    void hear(const std::string &id, const std::string &zone, bool isCutOff = false,
              bool isOverloaded = false)
    {
        Gossip message;
        message.from.value = id;
        message.zone.value = zone;
        message.address = { id, 7 };
        message.incarnation.value = 1;
        message.isOverloaded = isOverloaded;
        if (isCutOff)
            message.unreachableServices = { this->service };
        Actions actions;
        handle(this->state, message, this->now, actions);
    }

    Actions ask(const std::string &path, std::optional<ForwardedRequest> forwarded = std::nullopt)
    {
        RequestArrived request;
        request.request.value = ++this->lastRequest;
        request.host = "h";
        request.path = path;
        request.allowed = std::chrono::seconds(4);
        request.forwarded = std::move(forwarded);
        if (!request.forwarded)
            request.key = KeyHash{ "key" };
        Actions actions;
        handle(this->state, request, this->now, actions);
        return actions;
    }

    /// Lets all probes fail until the path is lost; returns what then happens.
    Actions losePath()
    {
        suspect(this->state.paths[this->service], this->now);
        Actions all;
        for (int round = 0; round < 2; ++round) {
            Actions actions;
            tick(this->state, this->now, actions);
            for (const ProbeUpstream &probe : actions.probes) {
                handle(this->state, ProbeEnded{ probe.service, probe.round, probe.upstream, false },
                       this->now, all);
            }
        }
        return all;
    }

    Actions end(const Forward &sent, ForwardOutcome outcome, const ForwardRefusal &refusal = {})
    {
        Actions actions;
        handle(this->state, ForwardEnded{ sent.request, sent.attempt, outcome, refusal, false },
               this->now, actions);
        return actions;
    }

    Instant now{ 1'000'000'000 };
    ServiceId service{ "desk" };
    GatewayState state;
    std::uint64_t lastRequest = 0;
};

TEST_F(ForwardingTest, ForwardsToAHostOfTheOwnZoneFirst)
{
    this->losePath();
    const Actions actions = this->ask("/look/");
    ASSERT_EQ(actions.forwards.size(), 1U);
    EXPECT_EQ(actions.forwards[0].address.ip, "near");
    EXPECT_EQ(actions.forwards[0].forwarded.customer.value, "c");
    EXPECT_EQ(actions.forwards[0].forwarded.allowed, std::chrono::seconds(2));
}

TEST_F(ForwardingTest, LeavesOutHostsThatReachNoUpstreamEither)
{
    this->losePath();
    this->hear("near", "z", true);
    EXPECT_EQ(this->ask("/look/").forwards.at(0).address.ip, "far");
    this->hear("far", "y", true);
    const Actions actions = this->ask("/look/");
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals[0].code, ResultCode::UpstreamsUnreachable);
    EXPECT_TRUE(actions.refusals[0].isNotRun);
}

// Guards against forwards that take the time of hosts which turn their own callers away.
TEST_F(ForwardingTest, SparesHostsThatTurnCallersAway)
{
    this->losePath();
    this->hear("near", "z", false, true);
    EXPECT_EQ(this->ask("/look/").forwards.at(0).address.ip, "far");
    this->hear("far", "y", false, true);
    EXPECT_EQ(this->ask("/look/").forwards.at(0).address.ip, "near");
    this->hear("far", "y");
    EXPECT_EQ(this->ask("/look/").forwards.at(0).address.ip, "far");
}

TEST_F(ForwardingTest, HostsAreToldThatThisOneTurnsCallersAway)
{
    this->state.isOverloaded = true;
    this->now = this->now + std::chrono::seconds(2);
    Actions actions;
    tick(this->state, this->now, actions);
    ASSERT_FALSE(actions.gossip.empty());
    const std::string sent = encodeGossip(*actions.gossip.front().message, this->now);
    EXPECT_TRUE(decodeGossip(sent, this->now).value().isOverloaded);
}

// Guards against requests that circle between hosts.
TEST_F(ForwardingTest, DoesNotForwardAForwardedRequest)
{
    this->losePath();
    const ForwardedRequest forwarded{ HostId{ "far" }, CustomerId{ "c" }, this->service,
                                      std::chrono::seconds(1), 0 };
    const Actions actions = this->ask("/look/", forwarded);
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals[0].code, ResultCode::UpstreamsUnreachable);
}

TEST_F(ForwardingTest, ServesAForwardedRequestForItsCustomerWithoutAKey)
{
    const ForwardedRequest forwarded{ HostId{ "far" }, CustomerId{ "other" }, this->service,
                                      std::chrono::seconds(1), 0 };
    const Actions actions = this->ask("/look/", forwarded);
    ASSERT_EQ(actions.dispatches.size(), 1U);
    EXPECT_EQ(actions.dispatches[0].customer.value, "other");
    EXPECT_EQ(actions.dispatches[0].allowed, std::chrono::seconds(1));
}

// Guards against attempts that count at each host anew.
TEST_F(ForwardingTest, CountsAttemptsOverBothHosts)
{
    const ForwardedRequest forwarded{ HostId{ "far" }, CustomerId{ "c" }, this->service,
                                      std::chrono::seconds(1), 1 };
    Actions actions = this->ask("/look/", forwarded);
    const Dispatch sent = actions.dispatches.at(0);
    actions = {};
    handle(this->state, AttemptEnded{ sent.request, sent.attempt, AttemptOutcome::Failed },
           this->now, actions);
    EXPECT_TRUE(actions.dispatches.empty());
    EXPECT_EQ(actions.refusals.at(0).code, ResultCode::OutcomeUnknown);
}

TEST_F(ForwardingTest, AsksAnotherHostIfTheFirstCannotServe)
{
    this->losePath();
    const Forward first = this->ask("/file/").forwards.at(0);
    const Actions actions = this->end(first, ForwardOutcome::Refused,
                                      { ResultCode::HostDraining, true, {} });
    EXPECT_EQ(actions.forwards.at(0).address.ip, "far");
    const Actions last = this->end(actions.forwards.at(0), ForwardOutcome::NotSent);
    EXPECT_EQ(last.refusals.at(0).code, ResultCode::UpstreamsUnreachable);
    EXPECT_TRUE(last.refusals.at(0).isNotRun);
}

TEST_F(ForwardingTest, PassesARefusalOfTheOtherHostOn)
{
    this->losePath();
    const Forward first = this->ask("/file/").forwards.at(0);
    const Actions actions = this->end(
            first, ForwardOutcome::Refused,
            { ResultCode::QueueFull, true, std::chrono::milliseconds(700) });
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals[0].code, ResultCode::QueueFull);
    EXPECT_EQ(actions.refusals[0].retryAfter, std::chrono::milliseconds(700));
    EXPECT_TRUE(actions.refusals[0].isNotRun);
}

// Guards against a second run of a request that is not idempotent.
TEST_F(ForwardingTest, DoesNotRepeatANonIdempotentRequestWhoseOutcomeIsUnknown)
{
    this->losePath();
    const Forward first = this->ask("/file/").forwards.at(0);
    const Actions actions = this->end(first, ForwardOutcome::Failed);
    EXPECT_TRUE(actions.forwards.empty());
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals[0].code, ResultCode::OutcomeUnknown);
    EXPECT_FALSE(actions.refusals[0].isNotRun);
}

// Guards against requests under way that wait for their deadline on connections that hang.
TEST_F(ForwardingTest, RepeatsIdempotentRequestsUnderWayAtOtherHosts)
{
    this->state.retryBudgets[this->service].tokens = 1;
    const Dispatch idempotent = this->ask("/look/").dispatches.at(0);
    this->ask("/file/");
    const Actions actions = this->losePath();
    ASSERT_EQ(actions.forwards.size(), 1U);
    EXPECT_EQ(actions.forwards[0].request, idempotent.request);
    EXPECT_EQ(actions.forwards[0].forwarded.possibleRuns, 1U);
    EXPECT_EQ(actions.cancels.at(0).request, idempotent.request);
    EXPECT_EQ(actions.closeIdle.size(), 3U);
}

TEST_F(ForwardingTest, CancelsAForwardWhoseCallerLeaves)
{
    this->losePath();
    const Forward sent = this->ask("/look/").forwards.at(0);
    Actions actions;
    handle(this->state, CallerDisconnected{ sent.request }, this->now, actions);
    ASSERT_EQ(actions.cancels.size(), 1U);
    EXPECT_EQ(actions.cancels[0].request, sent.request);
    EXPECT_EQ(this->state.counters.callersLeft.at(CallerStage::AtPeer), 1U);
}

// Guards against a host without a path that goes on to order loads at engines it cannot reach.
TEST_F(ForwardingTest, HostsWithoutAPathCoordinateLast)
{
    const std::vector<std::string> keys = { "a", "b", "c", "d", "e", "f" };
    const auto isOwn = [this](const std::string &key) {
        return firstLiveHost(this->state.members, ZoneId{ "z" }, key, this->now, this->service)
                == this->state.self.id;
    };
    EXPECT_TRUE(std::any_of(keys.begin(), keys.end(), isOwn));
    this->losePath();
    EXPECT_TRUE(std::none_of(keys.begin(), keys.end(), isOwn));
}

// Guards against a zone that is cut off and whose hosts find no upstream in a sample of the others.
TEST_F(ForwardingTest, ProbesUpstreamsOfTheOwnZone)
{
    constexpr int others = 60;
    for (int index = 0; index < others; ++index) {
        ListedUpstream listed;
        listed.id.value = "far" + std::to_string(index);
        listed.service = this->service;
        listed.zone.value = "y";
        listUpstream(this->state, listed, this->now);
    }
    ListedUpstream near;
    near.id.value = "near";
    near.service = this->service;
    near.zone = this->state.self.zone;
    listUpstream(this->state, near, this->now);
    suspect(this->state.paths[this->service], this->now);
    Actions actions;
    tick(this->state, this->now, actions);
    const auto isNear = [](const ProbeUpstream &probe) {
        return probe.upstream.value == "near";
    };
    EXPECT_EQ(std::count_if(actions.probes.begin(), actions.probes.end(), isNear), 1);
}

TEST_F(ForwardingTest, TellsTheOtherHostsThatThePathIsLost)
{
    this->losePath();
    Actions actions;
    tick(this->state, this->now + tickInterval, actions);
    const auto isAnnouncement = [this](const SendGossip &sent) {
        return sent.message->unreachableServices.contains(this->service);
    };
    EXPECT_EQ(std::count_if(actions.gossip.begin(), actions.gossip.end(), isAnnouncement), 2);
}

} // namespace
} // namespace azurewell::gateway
