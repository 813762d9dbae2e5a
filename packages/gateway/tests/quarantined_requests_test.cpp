#include "azurewell/gateway/gateway.h"

#include <gtest/gtest.h>

#include <set>

namespace azurewell::gateway {
namespace {

/// One host with five upstreams that are not engines and serve idempotent requests, and one other
/// host.
class QuarantinedRequestsTest : public testing::Test
{
protected:
    QuarantinedRequestsTest()
    {
        Identity self;
        self.id.value = "h";
        self.zone.value = "z";
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.repeat = RepeatPolicy::Idempotent;
        route.timeout = std::chrono::seconds(4);
        route.objective = std::chrono::milliseconds(300);
        route.maxAttempts = 3;
        route.services = { { ServiceId{ "desk" }, 1.0 } };
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services = { { ServiceId{ "desk" }, {}, 0, {} } };
        setConfiguration(this->state, configuration);
        for (const std::string id : { "d1", "d2", "d3", "d4", "d5" })
            this->list(id, false);
    }

    void list(const std::string &id, bool isLeaving)
    {
        ListedUpstream listed;
        listed.id.value = id;
        listed.service.value = "desk";
        listed.zone.value = "z";
        listed.slots = 6;
        listed.isLeaving = isLeaving;
        listed.serial = ++this->lastSerial;
        listUpstream(this->state, listed, this->now);
    }

    Actions sendRequest(std::uint64_t content, const std::vector<PromptPartId> &parts = {})
    {
        RequestArrived request;
        request.request.value = ++this->lastRequest;
        request.host = "h";
        request.path = "/x";
        request.content.value = content;
        request.promptParts = parts;
        request.allowed = std::chrono::seconds(4);
        Actions actions;
        handle(this->state, request, this->now, actions);
        return actions;
    }

    Actions endAttempt(const Dispatch &sent, AttemptOutcome outcome)
    {
        const bool isCutOff = outcome == AttemptOutcome::Failed;
        Actions actions;
        handle(this->state, AttemptEnded{ sent.request, sent.attempt, outcome, false, isCutOff },
               this->now, actions);
        return actions;
    }

    /// Answers other requests, so that the retry budget allows retries.
    void fillRetryBudget()
    {
        constexpr std::uint64_t others = 40;
        for (std::uint64_t content = 100; content < 100 + others; ++content)
            this->endAttempt(this->sendRequest(content).dispatches.front(), AttemptOutcome::Done);
    }

    /// The other host sends suspicions that \a upstreams crashed while running the request that
    /// arrived last.
    Actions receiveSuspicions(const std::vector<std::string> &upstreams)
    {
        const RequestDigest digest = this->state.requests.at(RequestNumber{ this->lastRequest })
                                             .digest;
        Gossip message;
        message.from.value = "other";
        message.zone.value = "z";
        message.incarnation.value = 1;
        for (const std::string &upstream : upstreams)
            message.crashes.push_back({ digest, { UpstreamId{ upstream }, 0 }, this->now });
        Actions actions;
        handle(this->state, message, this->now, actions);
        return actions;
    }

    GatewayState state;
    Instant now{ 1'000'000'000 };
    std::uint64_t lastRequest = 0;
    std::uint64_t lastSerial = 0;
};

// Guards against one request of a caller that crashes one upstream after the other.
TEST_F(QuarantinedRequestsTest, OneRequestCrashesAtMostThreeUpstreams)
{
    this->state.configuration.routes.front().maxAttempts = 5;
    this->fillRetryBudget();
    Actions actions = this->sendRequest(1);
    int sends = 0;
    while (!actions.dispatches.empty()) {
        ++sends;
        actions = this->endAttempt(actions.dispatches.front(), AttemptOutcome::Failed);
    }
    EXPECT_EQ(sends, 3);
    ASSERT_EQ(actions.refusals.size(), 1U);
    EXPECT_EQ(actions.refusals.front().code, ResultCode::RequestQuarantined);
    EXPECT_FALSE(actions.refusals.front().isNotRun);
}

// Guards against reporting "not run" for a request that has run, or the other way round.
TEST_F(QuarantinedRequestsTest, NextRequestIsRefusedAsNotRun)
{
    const Actions first = this->sendRequest(1);
    this->receiveSuspicions({ "d1", "d2", "d3" });
    const Actions again = this->sendRequest(1);
    EXPECT_TRUE(again.dispatches.empty());
    ASSERT_EQ(again.refusals.size(), 1U);
    EXPECT_TRUE(again.refusals.front().isNotRun);
    EXPECT_GT(again.refusals.front().retryAfter, Span(std::chrono::minutes(9)));
    EXPECT_EQ(this->sendRequest(2).dispatches.size(), 1U) << "a different request";
}

// Guards against copies that are already at an upstream when the request is quarantined, and crash
// it.
TEST_F(QuarantinedRequestsTest, CopyWithoutAnswerIsCancelled)
{
    const Actions sent = this->sendRequest(1);
    ASSERT_EQ(sent.dispatches.size(), 1U);
    const Actions received = this->receiveSuspicions({ "d1", "d2", "d3" });
    ASSERT_EQ(received.cancels.size(), 1U);
    EXPECT_EQ(received.cancels.front().request, sent.dispatches.front().request);
    ASSERT_EQ(received.refusals.size(), 1U);
    EXPECT_FALSE(received.refusals.front().isNotRun);
}

// Guards against concurrent copies that crash several upstreams before the first crash is known.
TEST_F(QuarantinedRequestsTest, SuspectIsDispatchedOneCopyAtATime)
{
    const Actions first = this->sendRequest(1);
    this->receiveSuspicions({ "d1" });
    const Actions second = this->sendRequest(1);
    EXPECT_TRUE(second.dispatches.empty());
    ASSERT_EQ(second.refusals.size(), 1U);
    this->endAttempt(first.dispatches.front(), AttemptOutcome::Done);
    EXPECT_EQ(this->sendRequest(1).dispatches.size(), 1U);
}

// Guards against suspecting requests whose upstream was removed and shut down as planned.
// Guards against a crash that clears the request behind it: its answer looked complete.
TEST_F(QuarantinedRequestsTest, AnAnswerThatDoesNotShowItsEndClearsNoSuspicion)
{
    this->fillRetryBudget();
    const Actions first = this->sendRequest(1);
    this->receiveSuspicions({ "d4" });
    Actions actions;
    AttemptEnded ended{ first.dispatches.front().request, 1 };
    ended.isEndShown = false;
    handle(this->state, ended, this->now, actions);
    EXPECT_EQ(this->state.quarantine.suspects.size(), 1U);
    this->endAttempt(this->sendRequest(1).dispatches.front(), AttemptOutcome::Done);
    EXPECT_TRUE(this->state.quarantine.suspects.empty());
}

TEST_F(QuarantinedRequestsTest, PlannedShutdownIsNoSuspicion)
{
    const Actions sent = this->sendRequest(1);
    this->list(sent.dispatches.front().upstream.value, true);
    this->endAttempt(sent.dispatches.front(), AttemptOutcome::Failed);
    EXPECT_TRUE(this->state.quarantine.suspects.empty());
}

TEST_F(QuarantinedRequestsTest, CrashIsSentToOtherHostsAtTheNextTick)
{
    const Actions sent = this->sendRequest(1);
    this->receiveSuspicions({});
    this->endAttempt(sent.dispatches.front(), AttemptOutcome::Failed);
    Actions ticked;
    this->now = this->now + tickInterval;
    tick(this->state, this->now, ticked);
    std::size_t crashes = 0;
    for (const SendGossip &gossip : ticked.gossip)
        crashes += gossip.message->crashes.size();
    EXPECT_EQ(crashes, 1U);
}

/// Requests that differ in all but one part of their prompts crash one upstream after the other.
class QuarantinedPartTest : public QuarantinedRequestsTest
{
protected:
    QuarantinedPartTest()
    {
        this->state.configuration.routes.front().maxAttempts = 1;
    }

    /// An upstream crashes under a request with the part.
    Actions crash()
    {
        this->now = this->now + std::chrono::milliseconds(400);
        const Actions sent = this->sendRequest(++this->lastContent, { this->part });
        return this->endAttempt(sent.dispatches.front(), AttemptOutcome::Failed);
    }

    void quarantine()
    {
        for (int crashes = 0; crashes < 3; ++crashes)
            this->crash();
    }

    PromptPartId part{ 7 };
    PromptPartId otherPart{ 8 };
    std::uint64_t lastContent = 1000;
};

TEST_F(QuarantinedPartTest, TheNextRequestWithThePartIsRefusedAsNotRun)
{
    this->quarantine();
    const Actions refused = this->sendRequest(1, { this->otherPart, this->part });
    ASSERT_EQ(refused.refusals.size(), 1U);
    EXPECT_EQ(refused.refusals.front().code, ResultCode::RequestQuarantined);
    EXPECT_TRUE(refused.refusals.front().isNotRun);
    EXPECT_GE(refused.refusals.front().retryAfter, std::chrono::seconds(1));
    EXPECT_EQ(this->sendRequest(2, { this->otherPart }).dispatches.size(), 1U);
}

// Guards against upstreams that crash under requests that were sent before the part was found.
TEST_F(QuarantinedPartTest, RequestsWithThePartAreCancelledBeforeTheirAnswersBegin)
{
    const Actions waiting = this->sendRequest(1, { this->part });
    const Actions answering = this->sendRequest(2, { this->part });
    Actions ignored;
    handle(this->state, AnswerBegan{ answering.dispatches.front().request, 1 }, this->now, ignored);
    this->crash();
    this->crash();
    const Actions last = this->crash();
    ASSERT_EQ(last.cancels.size(), 1U);
    EXPECT_EQ(last.cancels.front().request, waiting.dispatches.front().request);
    EXPECT_TRUE(this->state.requests.contains(answering.dispatches.front().request));
}

// Guards against parts that are found guilty by requests whose answers went well for long.
TEST_F(QuarantinedPartTest, ACrashInTheMiddleOfAnAnswerIsNoSuspicion)
{
    for (std::uint64_t content = 1; content <= 4; ++content) {
        const Dispatch sent = this->sendRequest(content, { this->part }).dispatches.front();
        Actions ignored;
        handle(this->state, AnswerBegan{ sent.request, 1 }, this->now, ignored);
        this->now = this->now + std::chrono::milliseconds(400);
        this->endAttempt(sent, AttemptOutcome::Failed);
    }
    EXPECT_EQ(this->sendRequest(9, { this->part }).dispatches.size(), 1U);
}

// Guards against a part that is refused for ever, and against a flood of trials.
TEST_F(QuarantinedPartTest, OneTrialThatIsAnsweredEndsTheQuarantine)
{
    this->quarantine();
    this->now = this->now + std::chrono::seconds(30);
    const Actions trial = this->sendRequest(1, { this->part });
    ASSERT_EQ(trial.dispatches.size(), 1U);
    EXPECT_EQ(this->sendRequest(2, { this->part }).refusals.size(), 1U);
    this->endAttempt(trial.dispatches.front(), AttemptOutcome::Done);
    EXPECT_EQ(this->sendRequest(3, { this->part }).dispatches.size(), 1U);
}

/// Upstreams that live on break off single answers.
class BrokenStreamsTest : public QuarantinedRequestsTest
{
protected:
    BrokenStreamsTest()
    {
        this->state.configuration.routes.front().maxAttempts = 1;
    }

    /// Time passes. Connections open at all upstreams but those in \a crashed.
    void runFor(Span span, const std::set<UpstreamId> &crashed = {})
    {
        const Instant end = this->now + span;
        while (this->now < end)
            this->tickOnce(crashed);
    }

    /// Returns what is sent to the other host about crashes.
    std::vector<CrashSuspicion> tickOnce(const std::set<UpstreamId> &crashed = {})
    {
        this->now = this->now + tickInterval;
        Actions ticked;
        tick(this->state, this->now, ticked);
        for (const ProbeUpstream &probe : ticked.probes) {
            const bool isOpen = !crashed.contains(probe.upstream);
            Actions ignored;
            handle(this->state, ProbeEnded{ probe.service, probe.round, probe.upstream, isOpen },
                   this->now, ignored);
        }
        std::vector<CrashSuspicion> sent;
        for (const SendGossip &gossip : ticked.gossip) {
            const std::vector<CrashSuspicion> &crashes = gossip.message->crashes;
            sent.insert(sent.end(), crashes.begin(), crashes.end());
        }
        return sent;
    }

    static Gossip messageOfOther()
    {
        Gossip message;
        message.from.value = "other";
        message.zone.value = "z";
        message.incarnation.value = 1;
        return message;
    }

    /// The other host tells that \a upstream was running at \a at.
    void receiveRefutation(const std::string &upstream, Instant at)
    {
        Gossip message = messageOfOther();
        message.crashes.push_back(
                { {}, { UpstreamId{ upstream }, 0 }, at, SuspectKind::Request, false, true });
        Actions ignored;
        handle(this->state, message, this->now, ignored);
    }

    /// An upstream breaks off the answer to a request. Returns the upstream.
    UpstreamId breakOff(std::uint64_t content)
    {
        const Dispatch sent = this->sendRequest(content).dispatches.front();
        Actions ignored;
        handle(this->state, AnswerBegan{ sent.request, sent.attempt }, this->now, ignored);
        this->endAttempt(sent, AttemptOutcome::Failed);
        return sent.upstream;
    }

    /// How many of \a count equal requests that arrive together are sent.
    std::size_t countSent(std::uint64_t content, std::size_t count)
    {
        std::size_t sent = 0;
        for (std::size_t index = 0; index < count; ++index)
            sent += this->sendRequest(content).dispatches.size();
        return sent;
    }

    /// Sends requests that go on, then one whose streams are broken off at three upstreams. Returns
    /// the others.
    std::vector<Dispatch> breakOffThreeBesideOthers()
    {
        std::vector<Dispatch> others;
        for (std::uint64_t content = 2; content < 60; ++content)
            others.push_back(this->sendRequest(content).dispatches.front());
        std::set<UpstreamId> upstreams;
        while (upstreams.size() < 3)
            upstreams.insert(this->breakOff(1));
        this->runFor(std::chrono::milliseconds(300), upstreams);
        return others;
    }
};

// Guards against good requests that are refused because living upstreams broke off others like
// them.
TEST_F(BrokenStreamsTest, AtLivingUpstreamsRefuseNoEqualRequests)
{
    std::set<UpstreamId> upstreams;
    while (upstreams.size() < 3) {
        upstreams.insert(this->breakOff(1));
        this->runFor(std::chrono::seconds(1));
    }
    EXPECT_EQ(this->countSent(1, 20), 20U);
}

// Guards against crashes that are taken for broken connections: nothing accepts a connection.
TEST_F(BrokenStreamsTest, OfCrashedUpstreamsRefuseEqualRequests)
{
    std::set<UpstreamId> crashed;
    while (crashed.size() < 3) {
        crashed.insert(this->breakOff(1));
        this->runFor(std::chrono::seconds(1), crashed);
    }
    EXPECT_EQ(this->countSent(1, 20), 0U);
}

// Guards against an upstream that restarts fast: a connection that opens later proves nothing.
TEST_F(BrokenStreamsTest, AreNotRefutedByLaterConnections)
{
    std::set<UpstreamId> crashed;
    while (crashed.size() < 3)
        crashed.insert(this->breakOff(1));
    this->runFor(std::chrono::seconds(2), crashed);
    this->runFor(std::chrono::seconds(20));
    EXPECT_EQ(this->countSent(1, 20), 0U);
}

// Guards against refusals where no new connection can be opened, but older ones go on.
TEST_F(BrokenStreamsTest, AreRefutedByAnswersThatGoOn)
{
    const std::vector<Dispatch> others = this->breakOffThreeBesideOthers();
    EXPECT_EQ(this->countSent(1, 20), 0U);
    for (const Dispatch &other : others)
        this->endAttempt(other, AttemptOutcome::Done);
    EXPECT_EQ(this->countSent(1, 20), 20U);
}

// Guards against an answer that a crash ended, too, and that only seems to be whole.
TEST_F(BrokenStreamsTest, AreNotRefutedByAnswersThatEndWithTheirConnection)
{
    const std::vector<Dispatch> others = this->breakOffThreeBesideOthers();
    for (const Dispatch &other : others) {
        AttemptEnded ended{ other.request, other.attempt };
        ended.isEndShown = false;
        Actions ignored;
        handle(this->state, ended, this->now, ignored);
    }
    EXPECT_EQ(this->countSent(1, 20), 0U);
}

// Guards against hosts that refuse good requests because only the host that lost the connections
// learns that the upstreams live on.
TEST_F(BrokenStreamsTest, AreRefutedAtTheOtherHostsToo)
{
    this->sendRequest(1);
    const RequestNumber last{ this->lastRequest };
    const RequestDigest digest = this->state.requests.at(last).digest;
    this->receiveSuspicions({ "d1", "d2", "d3" });
    ASSERT_TRUE(isQuarantined(this->state.quarantine, digest));
    const Instant lostAt = this->now;
    this->now = this->now + std::chrono::milliseconds(150);
    for (const std::string upstream : { "d1", "d2", "d3" })
        this->receiveRefutation(upstream, lostAt + std::chrono::milliseconds(100));
    EXPECT_EQ(this->countSent(1, 20), 20U);
    Gossip late = messageOfOther();
    for (const std::string upstream : { "d1", "d2", "d3" })
        late.crashes.push_back({ digest, { UpstreamId{ upstream }, 0 }, lostAt });
    Actions ignored;
    handle(this->state, late, this->now, ignored);
    EXPECT_FALSE(isSuspected(this->state.quarantine, digest)) << "a message that is late";
}

// Guards against a refutation that is told to no other host.
TEST_F(BrokenStreamsTest, AreToldToBeRefutedToOtherHosts)
{
    Actions ignored;
    handle(this->state, messageOfOther(), this->now, ignored);
    const UpstreamId upstream = this->breakOff(1);
    const Instant lostAt = this->now;
    std::vector<CrashSuspicion> refutations;
    for (int ticks = 0; ticks < 100; ++ticks) {
        for (const CrashSuspicion &sent : this->tickOnce()) {
            if (sent.isRefuted)
                refutations.push_back(sent);
        }
    }
    ASSERT_EQ(refutations.size(), 3U) << "sent three times, as messages are lost";
    EXPECT_EQ(refutations.front().incarnation.upstream, upstream);
    EXPECT_GT(refutations.front().at, lostAt);
}

// Guards against a suspicion that lasts at the other hosts after this one has dropped it.
TEST_F(BrokenStreamsTest, AreToldToBeRefutedAlsoAfterACompleteAnswer)
{
    Actions ignored;
    handle(this->state, messageOfOther(), this->now, ignored);
    this->breakOff(1);
    this->tickOnce();
    this->endAttempt(this->sendRequest(1).dispatches.front(), AttemptOutcome::Done);
    EXPECT_TRUE(this->state.quarantine.suspects.empty());
    std::size_t refutations = 0;
    for (int ticks = 0; ticks < 100; ++ticks) {
        for (const CrashSuspicion &sent : this->tickOnce())
            refutations += sent.isRefuted ? 1 : 0;
    }
    EXPECT_EQ(refutations, 3U);
}

// Guards against a flood of connections to an upstream that breaks off each of its answers.
TEST_F(BrokenStreamsTest, CauseAtMostTwoChecksOfAnUpstreamASecond)
{
    for (const std::string id : { "d2", "d3", "d4", "d5" })
        this->list(id, true);
    const Instant begunAt = this->now;
    for (std::uint64_t content = 1; content <= 100; ++content) {
        const Actions sent = this->sendRequest(content);
        this->endAttempt(sent.dispatches.front(), AttemptOutcome::Failed);
        this->runFor(std::chrono::milliseconds(50));
    }
    const double elapsed = toSeconds(this->now - begunAt);
    EXPECT_GE(static_cast<double>(this->state.counters.crashChecks), elapsed);
    EXPECT_LE(static_cast<double>(this->state.counters.crashChecks), 1 + 2 * elapsed);
}

} // namespace
} // namespace azurewell::gateway
