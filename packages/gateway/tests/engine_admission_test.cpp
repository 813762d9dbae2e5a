#include "azurewell/gateway/gateway.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <set>

namespace azurewell::gateway {
namespace {

constexpr Span messageDelay = std::chrono::milliseconds(2);
constexpr std::size_t hosts = 24;

/// Hosts of one zone that send prompts to one engine. Messages between them take 2 ms; some links
/// may be cut.
class EngineAdmissionTest : public testing::Test
{
protected:
    EngineAdmissionTest()
    {
        for (std::size_t index = 0; index < hosts; ++index)
            this->startHost(index);
        this->advance(std::chrono::milliseconds(600));
    }

    static std::string nameOf(std::size_t index)
    {
        return "h" + std::to_string(index);
    }

    void startHost(std::size_t index)
    {
        Identity self;
        self.id.value = nameOf(index);
        self.zone.value = "z";
        self.address = { nameOf(index), 1 };
        self.incarnation.value = 1;
        self.randomSeed = index;
        GatewayState &state = this->states[index];
        gateway::start(state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        Route route;
        route.host = "h";
        route.prefix = "/draft/";
        route.repeat = RepeatPolicy::Stream;
        route.timeout = std::chrono::seconds(4);
        route.objective = std::chrono::milliseconds(1000);
        route.isPublic = true;
        route.maxPause = std::chrono::milliseconds(400);
        route.services = { { ServiceId{ "llm" }, 1.0 } };
        Service llm;
        llm.id.value = "llm";
        llm.engine = EngineLimits{};
        llm.engine->maxLoadedAdapters = 5;
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services = { llm };
        setConfiguration(state, configuration);
        for (std::size_t other = 0; other < hosts; ++other) {
            if (other == index)
                continue;
            Member member;
            member.id.value = nameOf(other);
            member.zone.value = "z";
            member.address = { nameOf(other), 1 };
            member.incarnation.value = 1;
            member.lastMessageAt = this->now;
            member.lastAliveAt = this->now;
            recordMember(state.members, member);
        }
        this->list(state, "e1");
    }

    void list(GatewayState &state, const std::string &engine) const
    {
        ListedUpstream listed;
        listed.id.value = engine;
        listed.service.value = "llm";
        listed.zone.value = "z";
        listed.slots = 64;
        listed.engine.models = { "m" };
        listed.engine.ready = { { { "m", "a" }, 1 } };
        listUpstream(state, listed, this->now);
    }

    void take(std::size_t from, const Actions &actions)
    {
        for (const SendGossip &sent : actions.gossip) {
            const std::size_t to = std::stoul(sent.to.ip.substr(1));
            const bool isRead = !sent.message->promptsRead.empty();
            if (!this->dead.contains(from) && !this->cut.contains({ from, to })
                && !(isRead && this->losesReads))
                this->messages.push_back({ this->now + messageDelay, to, sent.message });
        }
        for (const Dispatch &dispatch : actions.dispatches)
            this->dispatches.push_back({ from, dispatch });
        for (const Refuse &refusal : actions.refusals)
            this->refusals.push_back({ from, refusal });
    }

    template <typename Event>
    void handleAt(std::size_t index, const Event &event)
    {
        Actions actions;
        handle(this->states[index], event, this->now, actions);
        this->take(index, actions);
    }

    RequestNumber ask(std::size_t index, std::int64_t tokens = 1800)
    {
        RequestArrived request;
        request.request.value = ++this->lastRequest;
        request.host = "h";
        request.path = "/draft/x";
        request.model = { "m", "a" };
        request.promptTokens = Tokens{ tokens };
        request.allowed = std::chrono::seconds(4);
        this->handleAt(index, request);
        return request.request;
    }

    void advance(Span span)
    {
        const Instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + std::chrono::milliseconds(1);
            const auto due = std::stable_partition(
                    this->messages.begin(), this->messages.end(),
                    [this](const Message &message) { return message.arrivesAt > this->now; });
            const std::vector<Message> arrived(due, this->messages.end());
            this->messages.erase(due, this->messages.end());
            for (const Message &message : arrived) {
                if (!this->dead.contains(message.to))
                    this->handleAt(message.to, *message.message);
            }
            if (this->now.micros % tickInterval.count() != 0)
                continue;
            for (std::size_t index = 0; index < hosts; ++index) {
                if (this->dead.contains(index))
                    continue;
                Actions actions;
                tick(this->states[index], this->now, actions);
                this->take(index, actions);
            }
        }
    }

    /// The host that admits the prompts of the engine.
    std::size_t coordinator()
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            if (!this->dead.contains(index) && this->states[index].ownEngines.contains(engine))
                return index;
        }
        return hosts;
    }

    /// A host that is neither \a a nor dead.
    static std::size_t otherThan(std::size_t a, std::size_t offset = 1)
    {
        return (a + offset) % hosts;
    }

    bool isSent(RequestNumber request) const
    {
        return std::any_of(this->dispatches.begin(), this->dispatches.end(),
                           [&](const auto &sent) { return sent.second.request == request; });
    }

    /// Reports the first event of \a request to the host that sent it.
    void beginAnswer(RequestNumber request)
    {
        const auto found = std::find_if(
                this->dispatches.begin(), this->dispatches.end(),
                [&](const auto &sent) { return sent.second.request == request; });
        ASSERT_NE(found, this->dispatches.end());
        this->handleAt(found->first, AnswerBegan{ request, found->second.attempt });
    }

    /// Fills the window and queues a prompt of \a requester. The prompts of \a filler are sent.
    RequestNumber queuePrompt(std::size_t filler, std::size_t requester)
    {
        for (int i = 0; i < 4; ++i)
            this->admitted.push_back(this->ask(filler));
        this->advance(std::chrono::milliseconds(8));
        const RequestNumber queued = this->ask(requester);
        this->advance(std::chrono::milliseconds(8));
        return queued;
    }

    struct Message
    {
        Instant arrivesAt;
        std::size_t to = 0;
        std::shared_ptr<const Gossip> message;
    };
    const UpstreamId engine{ "e1" };
    std::array<GatewayState, hosts> states;
    std::vector<Message> messages;
    std::vector<std::pair<std::size_t, Dispatch>> dispatches;
    std::vector<std::pair<std::size_t, Refuse>> refusals;
    std::vector<RequestNumber> admitted;
    std::set<std::size_t> dead;
    std::set<std::pair<std::size_t, std::size_t>> cut;
    bool losesReads = false;
    Instant now{ 1'000'000'000 };
    std::uint64_t lastRequest = 0;
};

TEST_F(EngineAdmissionTest, AQueuedPromptIsSentWhenAnotherOneWasRead)
{
    const std::size_t first = this->coordinator();
    ASSERT_LT(first, hosts);
    const RequestNumber queued = this->queuePrompt(otherThan(first, 1), otherThan(first, 2));
    for (const RequestNumber &request : this->admitted)
        EXPECT_TRUE(this->isSent(request));
    EXPECT_FALSE(this->isSent(queued));
    EXPECT_EQ(this->states[otherThan(first, 2)].requests.at(queued).admission.state,
              PromptAdmissionState::Queued);
    this->advance(std::chrono::milliseconds(80));
    EXPECT_FALSE(this->isSent(queued));
    this->beginAnswer(this->admitted.front());
    this->advance(std::chrono::milliseconds(5));
    EXPECT_TRUE(this->isSent(queued));
}

TEST_F(EngineAdmissionTest, OwnPromptsOfTheCoordinatorGoTheSameWay)
{
    const std::size_t first = this->coordinator();
    const RequestNumber queued = this->queuePrompt(otherThan(first), first);
    EXPECT_FALSE(this->isSent(queued));
    this->advance(std::chrono::milliseconds(80));
    this->beginAnswer(this->admitted.front());
    this->advance(std::chrono::milliseconds(5));
    EXPECT_TRUE(this->isSent(queued));
}

// Guards against callers that wait in vain: a request that no engine can serve in time is refused
// as not run, with a time at which to retry.
TEST_F(EngineAdmissionTest, APromptThatCannotBeReadInTimeIsRefusedAtOnce)
{
    const std::size_t first = this->coordinator();
    for (int i = 0; i < 40; ++i)
        this->ask(otherThan(first, static_cast<std::size_t>(i) % 20 + 1));
    this->advance(std::chrono::milliseconds(20));
    ASSERT_GE(this->refusals.size(), 20U);
    EXPECT_LE(this->dispatches.size(), 5U);
    std::set<Span> times;
    for (const auto &[host, refusal] : this->refusals) {
        EXPECT_EQ(refusal.code, ResultCode::QueueFull);
        EXPECT_TRUE(refusal.isNotRun);
        EXPECT_GE(refusal.retryAfter, std::chrono::milliseconds(400));
        times.insert(refusal.retryAfter);
    }
    EXPECT_GT(times.size(), this->refusals.size() / 2);
}

// Guards against a caller that left and whose prompt keeps its place.
TEST_F(EngineAdmissionTest, ThePlaceOfACallerThatLeftIsFree)
{
    const std::size_t first = this->coordinator();
    const std::size_t requester = otherThan(first, 2);
    const RequestNumber queued = this->queuePrompt(otherThan(first), requester);
    this->handleAt(requester, CallerDisconnected{ queued });
    this->advance(std::chrono::milliseconds(5));
    EXPECT_EQ(this->states[first].pacers.at(this->engine).queue.size, 0U);
}

// Failure of a host: the coordinator dies with a queued prompt, which must not wait for it until
// its objective is past.
TEST_F(EngineAdmissionTest, APromptQueuedAtACoordinatorThatDiesIsSentInTime)
{
    const std::size_t first = this->coordinator();
    const RequestNumber queued = this->queuePrompt(otherThan(first, 1), otherThan(first, 2));
    ASSERT_FALSE(this->isSent(queued));
    this->dead.insert(first);
    this->advance(std::chrono::milliseconds(950));
    EXPECT_TRUE(this->isSent(queued));
}

// Guards against a queued prompt that is sent past the queue of the new coordinator.
TEST_F(EngineAdmissionTest, APromptQueuedAtACoordinatorThatDiesAsksTheNextOne)
{
    for (GatewayState &state : this->states)
        state.configuration.routes.front().objective = std::chrono::milliseconds(3500);
    const std::size_t first = this->coordinator();
    const RequestNumber queued = this->queuePrompt(otherThan(first, 1), otherThan(first, 2));
    this->dead.insert(first);
    this->advance(std::chrono::milliseconds(3000));
    ASSERT_TRUE(this->isSent(queued));
    const std::size_t second = this->coordinator();
    ASSERT_LT(second, hosts);
    ASSERT_TRUE(this->states[second].pacers.contains(this->engine));
    EXPECT_EQ(this->states[second].counters.pacing.admittedAtOnce[defaultPriority.level], 1U);
}

// Failure of the link: reports are lost. The entries expire and the queue goes on.
TEST_F(EngineAdmissionTest, TheQueueGoesOnWhenReportsAreLost)
{
    this->losesReads = true;
    const std::size_t first = this->coordinator();
    this->queuePrompt(otherThan(first, 1), otherThan(first, 2));
    for (const RequestNumber &request : this->admitted)
        this->beginAnswer(request);
    this->advance(std::chrono::milliseconds(2000));
    EXPECT_TRUE(this->states[first].pacers.at(this->engine).window.unread.size() <= 1);
    EXPECT_GT(this->states[first].counters.pacing.expired, 0U);
    const RequestNumber next = this->ask(otherThan(first, 3));
    this->advance(std::chrono::milliseconds(8));
    EXPECT_TRUE(this->isSent(next));
}

// Failure of a host: it dies with admitted and queued prompts, which must not occupy the engine.
TEST_F(EngineAdmissionTest, ThePlacesOfAHostThatDiesAreFreeLater)
{
    const std::size_t first = this->coordinator();
    const std::size_t lost = otherThan(first, 1);
    this->queuePrompt(lost, lost);
    this->dead.insert(lost);
    this->advance(std::chrono::milliseconds(3500));
    EXPECT_TRUE(this->states[first].pacers.at(this->engine).window.unread.empty());
    EXPECT_EQ(this->states[first].pacers.at(this->engine).queue.size, 0U);
    const RequestNumber next = this->ask(otherThan(first, 3));
    this->advance(std::chrono::milliseconds(8));
    EXPECT_TRUE(this->isSent(next));
}

// Failure of the link to the coordinator: a host without an answer sends within 30 ms.
TEST_F(EngineAdmissionTest, AHostThatIsCutOffSendsWithoutAdmission)
{
    const std::size_t first = this->coordinator();
    const std::size_t lost = otherThan(first, 1);
    for (std::size_t other = 0; other < hosts; ++other) {
        this->cut.insert({ lost, other });
        this->cut.insert({ other, lost });
    }
    const RequestNumber request = this->ask(lost);
    this->advance(std::chrono::milliseconds(29));
    EXPECT_FALSE(this->isSent(request));
    this->advance(std::chrono::milliseconds(31));
    EXPECT_TRUE(this->isSent(request));
}

// Failure of the link for a moment: the answer comes after the prompt was sent. The prompt counts
// as unread until its first event.
TEST_F(EngineAdmissionTest, ALateAnswerCountsForThePromptThatWasSent)
{
    const std::size_t first = this->coordinator();
    const std::size_t requester = otherThan(first, 1);
    const RequestNumber request = this->ask(requester);
    this->messages.clear();
    this->advance(std::chrono::milliseconds(50));
    ASSERT_TRUE(this->isSent(request));
    Gossip late;
    late.from.value = nameOf(first);
    late.zone.value = "z";
    late.address = { nameOf(first), 1 };
    late.incarnation.value = 1;
    late.admissionReplies.push_back({ request.value, Span{}, false, false, false, false, engine });
    this->handleAt(requester, late);
    EXPECT_TRUE(this->states[requester].requests.at(request).isReadAwaited);
}

// A new coordinator knows no admitted prompts; the engine reports how many requests wait.
TEST_F(EngineAdmissionTest, ANewCoordinatorCountsWhatTheEngineReportsAsWaiting)
{
    const std::size_t first = this->coordinator();
    this->dead.insert(first);
    this->advance(std::chrono::seconds(4));
    const std::size_t second = this->coordinator();
    ASSERT_LT(second, hosts);
    EngineState report = this->states[second].upstreams.at(this->engine).engine;
    report.waiting = 8;
    this->handleAt(second, ReportRead{ this->engine, this->now, report });
    const RequestNumber request = this->ask(otherThan(second, 2));
    this->advance(std::chrono::milliseconds(8));
    EXPECT_FALSE(this->isSent(request));
    this->advance(std::chrono::milliseconds(600));
    EXPECT_TRUE(this->isSent(request));
}

} // namespace
} // namespace azurewell::gateway
