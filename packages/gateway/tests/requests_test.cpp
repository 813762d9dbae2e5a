#include "azurewell/gateway/gateway.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace azurewell::gateway {
namespace {

/// One host with two plain upstreams and routes for non-idempotent, idempotent and streaming
/// requests.
class RequestsTest : public testing::Test
{
protected:
    RequestsTest()
    {
        Identity self;
        self.id.value = "h";
        self.zone.value = "z";
        self.stopGrace = std::chrono::seconds(8);
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Configuration configuration;
        configuration.version = 3;
        configuration.routes = { routeOf("/file/", RepeatPolicy::NonIdempotent, "desk"),
                                 routeOf("/look/", RepeatPolicy::Idempotent, "desk"),
                                 routeOf("/look/deep/", RepeatPolicy::Idempotent, "nobody"),
                                 routeOf("/draft/", RepeatPolicy::Stream, "llm") };
        Service llm;
        llm.id.value = "llm";
        llm.engine = EngineLimits{};
        llm.engine->maxLoadedAdapters = 5;
        configuration.services = { { ServiceId{ "desk" }, {}, 0, {} }, llm };
        Customer customer;
        customer.id.value = "c";
        customer.keys = { KeyHash{ "key" } };
        configuration.customers = { customer };
        setConfiguration(this->state, configuration);
        this->list("d1", "desk");
        this->list("d2", "desk");
    }

    static Route routeOf(const std::string &prefix, RepeatPolicy repeat, const std::string &service)
    {
        Route route;
        route.host = "h";
        route.prefix = prefix;
        route.repeat = repeat;
        route.timeout = std::chrono::seconds(2);
        route.objective = std::chrono::milliseconds(300);
        route.maxAttempts = 2;
        route.services = { { ServiceId{ service }, 1.0 } };
        return route;
    }

    void list(const std::string &id, const std::string &service, const std::string &adapter = {})
    {
        ListedUpstream listed;
        listed.id.value = id;
        listed.service.value = service;
        listed.zone.value = "z";
        listed.slots = 6;
        if (!adapter.empty()) {
            listed.engine.models = { "m" };
            listed.engine.ready = { { { "m", adapter }, 1 } };
        }
        listUpstream(this->state, listed, this->now);
    }

    Actions ask(const std::string &path, const std::string &key = "key")
    {
        RequestArrived request;
        request.request.value = ++this->lastRequest;
        request.host = "h";
        request.path = path;
        if (!key.empty())
            request.key = KeyHash{ key };
        request.model = { "m", "a1" };
        request.allowed = std::chrono::seconds(4);
        Actions actions;
        handle(this->state, request, this->now, actions);
        return actions;
    }

    Actions end(const Dispatch &sent, AttemptOutcome outcome, bool hasBegun = false)
    {
        Actions actions;
        handle(this->state, AttemptEnded{ sent.request, sent.attempt, outcome, hasBegun },
               this->now, actions);
        return actions;
    }

    /// Lets engine \a id load the adapter that ask() names, starting now.
    void load(const std::string &id)
    {
        this->list(id, "llm");
        EngineState engine;
        engine.seenAt = this->now;
        engine.models = { "m" };
        engine.loading = { { { "m", "a1" }, this->now, false } };
        setEngine(this->state.upstreams.at(UpstreamId{ id }), engine, this->state.lastEngines,
                  this->now);
    }

    std::vector<Dispatch> tickAfter(Span span)
    {
        this->now = this->now + span;
        Actions actions;
        tick(this->state, this->now, actions);
        return actions.dispatches;
    }

    /// Adds twenty reachable hosts.
    void joinLargeFleet()
    {
        for (int host = 0; host < 20; ++host) {
            const std::string name = "peer" + std::to_string(host);
            recordMember(this->state.members,
                         { HostId{ name },
                           ZoneId{ "z" },
                           { name, 1 },
                           Incarnation{ 1 },
                           this->now,
                           this->now });
        }
    }

    GatewayState state;
    Instant now{ 1'000'000'000 };
    std::uint64_t lastRequest = 0;
};

TEST_F(RequestsTest, ANonIdempotentRequestIsNotRepeatedAfterItMayHaveRun)
{
    // The upstream reads the request and closes the connection without an answer. A repetition
    // could run it twice; if it were refused as not run, the caller would repeat it.
    const Actions asked = this->ask("/file/x");
    ASSERT_EQ(asked.dispatches.size(), 1U);
    const Actions ended = this->end(asked.dispatches.front(), AttemptOutcome::Failed);
    EXPECT_TRUE(ended.dispatches.empty());
    ASSERT_EQ(ended.refusals.size(), 1U);
    EXPECT_FALSE(ended.refusals.front().isNotRun);
    EXPECT_EQ(ended.refusals.front().code, ResultCode::OutcomeUnknown);
}

TEST_F(RequestsTest, ANonIdempotentRequestThatWasNotSentGoesToAnotherUpstream)
{
    const Actions asked = this->ask("/file/x");
    const Actions ended = this->end(asked.dispatches.front(), AttemptOutcome::NotSent);
    ASSERT_EQ(ended.dispatches.size(), 1U);
    EXPECT_NE(ended.dispatches.front().upstream, asked.dispatches.front().upstream);
}

TEST_F(RequestsTest, AnIdempotentRequestIsRetriedOnceAtAnotherUpstream)
{
    for (int earned = 0; earned < 20; ++earned)
        this->end(this->ask("/look/x").dispatches.front(), AttemptOutcome::Done);
    const Actions asked = this->ask("/look/x");
    const Actions again = this->end(asked.dispatches.front(), AttemptOutcome::FaultStated);
    ASSERT_EQ(again.dispatches.size(), 1U);
    const Actions last = this->end(again.dispatches.front(), AttemptOutcome::Failed);
    EXPECT_TRUE(last.dispatches.empty());
    EXPECT_EQ(last.refusals.size(), 1U);
}

TEST_F(RequestsTest, RetriesEndWhenTheBudgetIsSpent)
{
    // Every upstream fails every request. A retry for each would double the load while the
    // upstreams are weakest.
    std::size_t repeated = 0;
    for (int request = 0; request < 400; ++request) {
        const Actions asked = this->ask("/look/x");
        if (asked.dispatches.empty())
            continue;
        const Actions ended = this->end(asked.dispatches.front(), AttemptOutcome::Failed);
        repeated += ended.dispatches.size();
        if (!ended.dispatches.empty())
            this->end(ended.dispatches.front(), AttemptOutcome::Failed);
    }
    EXPECT_LE(repeated, 400 * 0.15 + 40);
}

TEST_F(RequestsTest, UnknownKeysAndPathsAreRefusedAtOnce)
{
    EXPECT_EQ(this->ask("/file/x", "other").refusals.front().code, ResultCode::KeyUnknown);
    EXPECT_EQ(this->ask("/file/x", "").refusals.front().code, ResultCode::KeyMissing);
    EXPECT_EQ(this->ask("/nowhere/x").refusals.front().code, ResultCode::UnknownPath);
}

TEST_F(RequestsTest, AHostWithoutAConfigurationRefusesRequestsAsNotRun)
{
    // A new host that cannot reach the platform knows no keys and no routes. A 401 or 404 would
    // tell the caller that its key or path is permanently wrong.
    this->state.configuration = {};
    const Actions asked = this->ask("/file/x");
    EXPECT_EQ(asked.refusals.front().code, ResultCode::HostStarting);
    EXPECT_TRUE(asked.refusals.front().isNotRun);
}

TEST_F(RequestsTest, TheRouteWithTheLongestPrefixMatches)
{
    EXPECT_EQ(this->ask("/look/deep/x").refusals.front().code, ResultCode::NoUpstream);
    EXPECT_EQ(this->ask("/look/x").dispatches.size(), 1U);
}

TEST_F(RequestsTest, ALeavingUpstreamGetsNoNewRequests)
{
    ListedUpstream leaving = this->state.upstreams.at(UpstreamId{ "d1" }).listed;
    leaving.isLeaving = true;
    listUpstream(this->state, leaving, this->now);
    // A delayed entry from before says that the upstream is ready.
    leaving.isLeaving = false;
    listUpstream(this->state, leaving, this->now);
    for (int request = 0; request < 20; ++request)
        EXPECT_EQ(this->ask("/look/x").dispatches.front().upstream.value, "d2");
}

TEST_F(RequestsTest, ARequestGetsItsFinalAnswerAtItsDeadline)
{
    const Actions asked = this->ask("/file/x");
    this->now = this->now + std::chrono::milliseconds(2000);
    Actions late;
    tick(this->state, this->now, late);
    ASSERT_EQ(late.refusals.size(), 1U);
    EXPECT_FALSE(late.refusals.front().isNotRun);
    EXPECT_EQ(late.cancels.size(), 1U);
}

TEST_F(RequestsTest, ADisconnectedCallerCancelsItsRequestAtTheUpstream)
{
    const Actions asked = this->ask("/draft/x");
    this->list("e1", "llm", "a1");
    const Actions sent = this->ask("/draft/x");
    ASSERT_EQ(sent.dispatches.size(), 1U);
    Actions left;
    handle(this->state, CallerDisconnected{ sent.dispatches.front().request }, this->now, left);
    EXPECT_EQ(left.cancels.size(), 1U);
    EXPECT_EQ(this->state.upstreams.at(UpstreamId{ "e1" }).requestsInFlight, 0U);
    EXPECT_EQ(this->state.counters.callersLeft.at(CallerStage::AtUpstream), 1U);
    ASSERT_EQ(left.logEvents.size(), 1U);
    EXPECT_EQ(left.logEvents.front().event, "caller_left");
}

// Guards against an engine that seems idle because an attempt that failed for good was subtracted
// twice.
TEST_F(RequestsTest, AFailedAttemptIsSubtractedFromItsUpstreamOnce)
{
    this->list("e1", "llm", "a1");
    const Actions first = this->ask("/draft/x");
    this->ask("/draft/y");
    ASSERT_EQ(first.dispatches.size(), 1U);
    this->end(first.dispatches.front(), AttemptOutcome::Failed);
    EXPECT_EQ(this->state.upstreams.at(UpstreamId{ "e1" }).requestsInFlight, 1U);
}

TEST_F(RequestsTest, AnAdapterInAnOlderVersionIsNotUsed)
{
    this->list("e1", "llm", "a1");
    declareVersion(this->state, { "m", "a1" }, 2);
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
}

TEST_F(RequestsTest, APromptWaitsForItsAdmission)
{
    // In a large fleet each host sees one prompt in ninety. Ten prompts sent to one engine at the
    // same time stop all its streams; its coordinator sends each host the time for its prompt.
    this->list("e1", "llm", "a1");
    this->joinLargeFleet();
    const Actions asked = this->ask("/draft/x");
    EXPECT_TRUE(asked.dispatches.empty());
    const auto ask = std::find_if(
            asked.gossip.begin(), asked.gossip.end(),
            [](const SendGossip &sent) { return !sent.message->admissionRequests.empty(); });
    ASSERT_NE(ask, asked.gossip.end());
    Gossip answer;
    answer.from.value = ask->to.ip;
    answer.zone.value = "z";
    answer.address = ask->to;
    answer.incarnation.value = 1;
    const std::uint64_t number = ask->message->admissionRequests.front().request;
    answer.admissionReplies.push_back({ number, std::chrono::milliseconds(100), false });
    Actions answered;
    handle(this->state, answer, this->now, answered);
    EXPECT_TRUE(answered.dispatches.empty());
    this->now = this->now + std::chrono::milliseconds(100);
    Actions due;
    tick(this->state, this->now, due);
    EXPECT_EQ(due.dispatches.size(), 1U);
}

/// The last admission request in \a actions.
const SendGossip &lastAsk(const Actions &actions)
{
    const auto ask = std::find_if(
            actions.gossip.rbegin(), actions.gossip.rend(),
            [](const SendGossip &sent) { return !sent.message->admissionRequests.empty(); });
    EXPECT_NE(ask, actions.gossip.rend());
    return *ask;
}

Actions answerAsk(GatewayState &state, const SendGossip &ask, Span wait, Instant now)
{
    Gossip answer;
    answer.from.value = ask.to.ip;
    answer.zone.value = "z";
    answer.address = ask.to;
    answer.incarnation.value = 1;
    answer.admissionReplies.push_back(
            { ask.message->admissionRequests.front().request, wait, false });
    Actions actions;
    handle(state, answer, now, actions);
    return actions;
}

// Guards against a prompt that queues at one engine while another one with its adapter is idle.
TEST_F(RequestsTest, APromptGoesToTheEngineWithTheEarlierAdmission)
{
    this->list("e1", "llm", "a1");
    this->list("e2", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip first = lastAsk(this->ask("/draft/x"));
    const UpstreamId crowded = first.message->admissionRequests.front().engine;
    const Actions asked = answerAsk(this->state, first, std::chrono::milliseconds(200), this->now);
    EXPECT_TRUE(asked.dispatches.empty());
    const SendGossip second = lastAsk(asked);
    EXPECT_NE(second.message->admissionRequests.front().engine, crowded);
    const Actions sent = answerAsk(this->state, second, Span{}, this->now);
    ASSERT_EQ(sent.dispatches.size(), 1U);
    EXPECT_NE(sent.dispatches.front().upstream, crowded);
    const AdmissionRequest returned = lastAsk(sent).message->admissionRequests.front();
    EXPECT_TRUE(returned.isReturned);
    EXPECT_EQ(returned.engine, crowded);
}

// Guards against a second admission request that makes a prompt wait for longer than the first
// admission.
TEST_F(RequestsTest, APromptKeepsItsAdmissionIfNoOtherEngineIsEarlier)
{
    this->list("e1", "llm", "a1");
    this->list("e2", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip first = lastAsk(this->ask("/draft/x"));
    const UpstreamId engine = first.message->admissionRequests.front().engine;
    const Span wait = std::chrono::milliseconds(100);
    const Actions asked = answerAsk(this->state, first, wait, this->now);
    const Actions answered = answerAsk(this->state, lastAsk(asked), wait * 2, this->now);
    EXPECT_TRUE(answered.dispatches.empty());
    EXPECT_TRUE(lastAsk(answered).message->admissionRequests.front().isReturned);
    EXPECT_TRUE(this->tickAfter(wait - tickInterval).empty());
    const std::vector<Dispatch> sent = this->tickAfter(tickInterval);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().upstream, engine);
}

// Guards against a prompt that waits for the host that was asked second, which has just died.
TEST_F(RequestsTest, APromptKeepsItsAdmissionIfTheSecondRequestIsNotAnswered)
{
    this->list("e1", "llm", "a1");
    this->list("e2", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip first = lastAsk(this->ask("/draft/x"));
    const Span wait = std::chrono::milliseconds(100);
    answerAsk(this->state, first, wait, this->now);
    EXPECT_TRUE(this->tickAfter(wait - tickInterval).empty());
    const std::vector<Dispatch> sent = this->tickAfter(tickInterval);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().upstream, first.message->admissionRequests.front().engine);
}

Actions replyTo(GatewayState &state, const SendGossip &ask, const AdmissionReply &reply,
                Instant now)
{
    Gossip answer;
    answer.from.value = ask.to.ip;
    answer.zone.value = "z";
    answer.address = ask.to;
    answer.incarnation.value = 1;
    answer.admissionReplies.push_back(reply);
    answer.admissionReplies.back().request = ask.message->admissionRequests.front().request;
    answer.admissionReplies.back().engine = ask.message->admissionRequests.front().engine;
    Actions actions;
    handle(state, answer, now, actions);
    return actions;
}

AdmissionReply queuedFor(Span wait)
{
    AdmissionReply reply;
    reply.wait = wait;
    reply.isQueued = true;
    return reply;
}

AdmissionReply unservable(Span wait)
{
    AdmissionReply reply;
    reply.wait = wait;
    reply.isUnservable = true;
    return reply;
}

// Guards against a prompt that is sent at the estimated time although its queue is slower.
TEST_F(RequestsTest, AQueuedPromptIsSentWithTheAdmittingAnswer)
{
    this->list("e1", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip ask = lastAsk(this->ask("/draft/x"));
    const Span wait = std::chrono::milliseconds(60);
    EXPECT_TRUE(replyTo(this->state, ask, queuedFor(wait), this->now).dispatches.empty());
    EXPECT_TRUE(this->tickAfter(wait * 2).empty());
    EXPECT_EQ(replyTo(this->state, ask, {}, this->now).dispatches.size(), 1U);
}

// Guards against a prompt that keeps its place in the queue of an engine that it is not sent to.
TEST_F(RequestsTest, AQueuedPromptLeavesTheQueueWhenAnotherEngineAdmitsIt)
{
    this->list("e1", "llm", "a1");
    this->list("e2", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip first = lastAsk(this->ask("/draft/x"));
    const Actions asked = replyTo(this->state, first, queuedFor(std::chrono::milliseconds(100)),
                                  this->now);
    const Actions sent = replyTo(this->state, lastAsk(asked), {}, this->now);
    ASSERT_EQ(sent.dispatches.size(), 1U);
    const AdmissionRequest returned = lastAsk(sent).message->admissionRequests.front();
    EXPECT_TRUE(returned.isReturned);
    EXPECT_EQ(returned.engine, first.message->admissionRequests.front().engine);
}

TEST_F(RequestsTest, APromptThatTwoEnginesCannotReadInTimeIsRefusedAtOnce)
{
    this->list("e1", "llm", "a1");
    this->list("e2", "llm", "a1");
    this->list("e3", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip first = lastAsk(this->ask("/draft/x"));
    const Span wait = std::chrono::milliseconds(900);
    const Actions asked = replyTo(this->state, first, unservable(wait), this->now);
    EXPECT_TRUE(asked.refusals.empty());
    EXPECT_NE(lastAsk(asked).to, Endpoint{});
    const Actions refused = replyTo(this->state, lastAsk(asked), unservable(wait * 2), this->now);
    ASSERT_EQ(refused.refusals.size(), 1U);
    EXPECT_TRUE(refused.refusals.front().isNotRun);
    EXPECT_EQ(refused.refusals.front().code, ResultCode::QueueFull);
    EXPECT_GE(refused.refusals.front().retryAfter, wait);
    EXPECT_TRUE(
            std::any_of(refused.logEvents.begin(), refused.logEvents.end(),
                        [](const LogEvent &event) { return event.event == "prompt_unservable"; }));
}

// Guards against a prompt that is refused although its place in a queue is good.
TEST_F(RequestsTest, AQueuedPromptStaysQueuedIfTheOtherEngineCannotReadIt)
{
    this->list("e1", "llm", "a1");
    this->list("e2", "llm", "a1");
    this->joinLargeFleet();
    const SendGossip first = lastAsk(this->ask("/draft/x"));
    const Span wait = std::chrono::milliseconds(100);
    const Actions asked = replyTo(this->state, first, queuedFor(wait), this->now);
    const Actions answered = replyTo(this->state, lastAsk(asked), unservable(wait), this->now);
    EXPECT_TRUE(answered.refusals.empty());
    EXPECT_TRUE(this->tickAfter(tickInterval).empty());
    const Actions sent = replyTo(this->state, first, {}, this->now);
    ASSERT_EQ(sent.dispatches.size(), 1U);
    EXPECT_EQ(sent.dispatches.front().upstream, first.message->admissionRequests.front().engine);
}

// Guards against a report about a prompt that no coordinator has admitted.
TEST_F(RequestsTest, TheFirstEventOfAnAdmittedPromptIsReportedOnce)
{
    this->list("e1", "llm", "a1");
    this->joinLargeFleet();
    const Actions sent = replyTo(this->state, lastAsk(this->ask("/draft/x")), {}, this->now);
    ASSERT_EQ(sent.dispatches.size(), 1U);
    const Dispatch &dispatch = sent.dispatches.front();
    const auto countReads = [](const Actions &actions) {
        return std::count_if(
                actions.gossip.begin(), actions.gossip.end(),
                [](const SendGossip &one) { return !one.message->promptsRead.empty(); });
    };
    Actions began;
    handle(this->state, AnswerBegan{ dispatch.request, dispatch.attempt }, this->now, began);
    EXPECT_EQ(countReads(began), 1);
    EXPECT_EQ(countReads(this->end(dispatch, AttemptOutcome::Done, true)), 0);
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
    const std::vector<Dispatch> late = this->tickAfter(std::chrono::milliseconds(40));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(countReads(this->end(late.front(), AttemptOutcome::Failed)), 0);
}

TEST_F(RequestsTest, APromptIsSentIfItsCoordinatorDoesNotAnswer)
{
    // The coordinator of the engine has just died. Requests must not wait until that is noticed.
    this->list("e1", "llm", "a1");
    this->joinLargeFleet();
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
    this->now = this->now + std::chrono::milliseconds(40);
    Actions due;
    tick(this->state, this->now, due);
    EXPECT_EQ(due.dispatches.size(), 1U);
}

TEST_F(RequestsTest, ARequestIsSentWhenItsLoadIsExpectedToBeDone)
{
    // No report shows the adapter yet; waiting for one would take another 300 ms. Once the engine
    // has accepted one request, the others that wait for the adapter are sent as well.
    this->load("e1");
    for (int earned = 0; earned < 20; ++earned)
        this->end(this->ask("/look/x").dispatches.front(), AttemptOutcome::Done);
    countFirstAttempt(this->state.retryBudgets[ServiceId{ "llm" }]);
    this->state.retryBudgets[ServiceId{ "llm" }].tokens = 3;
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
    EXPECT_TRUE(this->tickAfter(std::chrono::milliseconds(100)).empty());
    EXPECT_EQ(this->tickAfter(std::chrono::milliseconds(200)).size(), 1U);
    EXPECT_EQ(this->tickAfter(std::chrono::milliseconds(20)).size(), 1U);
    EXPECT_EQ(this->ask("/draft/x").dispatches.size(), 1U);
}

// Guards against requests that are sent, and repeated, to an address of which another instance has
// said that it has it.
TEST_F(RequestsTest, AnUpstreamWhoseAddressAnotherHasIsNotChosenUntilItsEntryChanges)
{
    const Actions asked = this->ask("/file/x");
    ASSERT_EQ(asked.dispatches.size(), 1U);
    const UpstreamId replaced = asked.dispatches.front().upstream;
    this->end(asked.dispatches.front(), AttemptOutcome::NotThere);
    const auto isChosen = [&] {
        bool isAny = false;
        for (int request = 0; request < 40; ++request) {
            const Actions sent = this->ask("/file/x");
            for (const Dispatch &dispatch : sent.dispatches) {
                isAny = isAny || dispatch.upstream == replaced;
                this->end(dispatch, AttemptOutcome::Done);
            }
        }
        return isAny;
    };
    this->now = this->now + std::chrono::seconds(5);
    this->list(replaced.value, "desk"); // As it was.
    EXPECT_FALSE(isChosen());
    ListedUpstream moved = this->state.upstreams.at(replaced).listed;
    moved.address = { "10.1.1.1", 80 };
    listUpstream(this->state, moved, this->now);
    EXPECT_TRUE(isChosen());
}

TEST_F(RequestsTest, ARequestSentBeforeItsLoadWasDoneIsSentAgain)
{
    // The load takes longer than previous ones, and the engine rejects the request without running
    // it. The caller must not be refused for that, and the engine must not be excluded.
    this->load("e1");
    this->state.retryBudgets[ServiceId{ "llm" }].tokens = 3;
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
    const std::vector<Dispatch> first = this->tickAfter(std::chrono::milliseconds(300));
    ASSERT_EQ(first.size(), 1U);
    const Actions ended = this->end(first.front(), AttemptOutcome::NotThere);
    EXPECT_TRUE(ended.refusals.empty());
    EXPECT_TRUE(ended.dispatches.empty());
    const std::vector<Dispatch> again = this->tickAfter(std::chrono::milliseconds(40));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().upstream.value, "e1");
}

TEST_F(RequestsTest, ARequestWaitsForTheReportIfNoRetryIsLeft)
{
    // Early attempts count as retries, of which the fleet may make few.
    this->load("e1");
    this->state.retryBudgets[ServiceId{ "llm" }].tokens = 0;
    EXPECT_TRUE(this->ask("/draft/x").dispatches.empty());
    EXPECT_TRUE(this->tickAfter(std::chrono::milliseconds(300)).empty());
}

/// Answers each load request in \a actions with a refusal and returns the last resulting actions.
Actions refuseLoads(GatewayState &state, Actions actions, std::size_t &asked, Instant now)
{
    for (bool isAny = true; isAny && actions.refusals.empty();) {
        isAny = false;
        for (const SendGossip &sent : std::exchange(actions.gossip, {})) {
            if (sent.message->loadRequests.empty())
                continue;
            isAny = true;
            ++asked;
            const LoadRequest &request = sent.message->loadRequests.front();
            Gossip refusal;
            refusal.from.value = sent.to.ip;
            refusal.zone.value = "z";
            refusal.address = sent.to;
            refusal.incarnation.value = 1;
            refusal.loadRefusals.push_back({ request.engine, request.adapter, false });
            handle(state, refusal, now, actions);
        }
    }
    return actions;
}

// Guards against a request that is passed from engine to engine until it is refused after three
// quarters of its objective, while every adapter slot of the fleet is in use.
TEST_F(RequestsTest, ARequestIsRefusedAtOnceIfNoEngineHasASlot)
{
    constexpr int engines = 40;
    constexpr std::size_t maxAsked = 10;
    for (int engine = 0; engine < engines; ++engine)
        this->list("e" + std::to_string(engine), "llm", "other");
    this->joinLargeFleet();
    std::size_t asked = 0;
    const Actions last = refuseLoads(this->state, this->ask("/draft/x"), asked, this->now);
    ASSERT_EQ(last.refusals.size(), 1U);
    EXPECT_EQ(last.refusals.front().code, ResultCode::AdapterLoadFailed);
    EXPECT_TRUE(last.refusals.front().isNotRun);
    EXPECT_GT(last.refusals.front().retryAfter, Span{});
    EXPECT_LE(asked, maxAsked);
}

TEST_F(RequestsTest, AStoppingHostRefusesRequestsThatItCannotFinish)
{
    Actions actions;
    beginStop(this->state, this->now, actions);
    EXPECT_FALSE(isReady(this->state));
    this->now = this->now + std::chrono::milliseconds(1000);
    EXPECT_EQ(this->ask("/file/x").dispatches.size(), 1U);
    this->now = this->now + std::chrono::milliseconds(5000);
    const Actions late = this->ask("/file/x");
    ASSERT_EQ(late.refusals.size(), 1U);
    EXPECT_EQ(late.refusals.front().code, ResultCode::HostDraining);
    EXPECT_TRUE(late.refusals.front().isNotRun);
}

// Guards against requests that get no answer as the process ends, and against "not run" for one
// that may have run.
TEST_F(RequestsTest, AHostThatEndsAnswersAllRequests)
{
    this->list("e1", "llm", "other");
    const Actions sent = this->ask("/file/x");
    ASSERT_EQ(sent.dispatches.size(), 1U);
    ASSERT_TRUE(this->ask("/draft/x").dispatches.empty());
    Actions actions;
    endAllRequests(this->state, actions);
    ASSERT_EQ(actions.refusals.size(), 2U);
    ASSERT_EQ(actions.cancels.size(), 1U);
    EXPECT_EQ(actions.cancels.front().request, sent.dispatches.front().request);
    for (const Refuse &refusal : actions.refusals) {
        const bool isSent = refusal.request == sent.dispatches.front().request;
        EXPECT_EQ(refusal.isNotRun, !isSent);
        EXPECT_EQ(refusal.code, isSent ? ResultCode::OutcomeUnknown : ResultCode::HostDraining);
    }
    EXPECT_TRUE(this->state.requests.empty());
}

} // namespace
} // namespace azurewell::gateway
