#include "azurewell/host/host.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const KeyHash key{ std::string(64, 'a') };

const std::string ticketText = R"({ "ticket": 1, "by": "ana", "why": "start", "set": {
    "zones": [ { "id": "z", "seats": 1 } ],
    "customers": [ { "id": "c", "rate": 100000, "burst": 100000, "services": ["filings"] } ],
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "c", "state": "issued" } ],
    "adapters": [ { "adapter": "a@1", "customer": "c", "base": "m" } ],
    "services": [ { "id": "filings" } ],
    "upstreams": [
      { "id": "e1", "kind": "engine", "zone": "z", "address": "127.0.0.1:1", "base": "m", "batch_slots": 2, "adapter_slots": 1 },
      { "id": "s1", "kind": "service", "zone": "z", "address": "127.0.0.1:2", "service": "filings", "batch_slots": 8 } ] } })";

const std::string withdrawal = R"({ "ticket": 2, "by": "ana", "why": "key lost", "set": {
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "c", "state": "withdrawn" } ] } })";

/// One host with an engine that carries out every order at once.
struct Fixture
{
    HostState state;
    Instant now{ 0 };
    std::vector<Action> actions;

    Fixture()
    {
        HostIdentity self;
        self.id = HostId{ "h0" };
        self.zone = ZoneId{ "z" };
        self.incarnation = Incarnation{ 1 };
        this->state = makeHost(self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value());
    }

    void deliver(const Event &event)
    {
        this->actions.clear();
        handle(this->state, event, this->now, this->actions);
        const std::vector<Action> taken = this->actions;
        for (const Action &action : taken) {
            if (const OrderEngine *order = std::get_if<OrderEngine>(&action))
                handle(this->state,
                       OrderEnded{ order->engine,
                                   order->adapter,
                                   order->isLoad,
                                   true,
                                   order->fencing,
                                   {} },
                       this->now, this->actions);
        }
    }
    void advanceTime(Span span)
    {
        const Instant until = this->now + span;
        while (this->now < until) {
            this->now = this->now + tickInterval;
            this->deliver(Tick{});
        }
    }
    void start()
    {
        this->deliver(TicketRead{ ticketText });
        this->advanceTime(fromSeconds(1));
    }
    RequestArrived request(const std::string &id, RequestKind kind = RequestKind::Completion)
    {
        RequestArrived event;
        event.request = RequestId{ id };
        event.kind = kind;
        event.key = key;
        event.adapter = AdapterRef{ "a@1" };
        event.service = ServiceId{ "filings" };
        event.promptTokens = Tokens{ 10 };
        event.maxGenerated = Tokens{ 20 };
        event.deadline = this->now + fromSeconds(30);
        return event;
    }
    template <typename T>
    const T *last() const
    {
        const T *found = nullptr;
        for (const Action &action : this->actions)
            found = std::get_if<T>(&action) ? std::get_if<T>(&action) : found;
        return found;
    }
};

} // namespace

TEST(Host, ARequestIsDispatchedOnceItsAdapterIsLoaded)
{
    Fixture fixture;
    fixture.start();
    fixture.deliver(fixture.request("r1"));
    ASSERT_NE(fixture.last<Dispatch>(), nullptr);
    EXPECT_EQ(fixture.last<Dispatch>()->upstream, UpstreamId{ "e1" });
    fixture.deliver(AttemptEnded{ RequestId{ "r1" }, 1, AttemptOutcome::Done, Tokens{ 20 }, true });
    EXPECT_TRUE(fixture.state.requests.empty());
    EXPECT_TRUE(fixture.state.coordinatedEngines.at(UpstreamId{ "e1" }).granted.empty());
}

// Guards against a token too many: a stream lacks only its end when its attempt fails.
TEST(Host, AnAnswerThatLacksOnlyItsEndIsNotResumed)
{
    for (const AttemptOutcome outcome :
         { AttemptOutcome::Failed, AttemptOutcome::Silent, AttemptOutcome::Cancelled }) {
        Fixture fixture;
        fixture.start();
        fixture.deliver(fixture.request("r1"));
        const std::uint64_t dispatched = fixture.state.counters.dispatched;
        fixture.deliver(AttemptEnded{ RequestId{ "r1" }, 1, outcome, Tokens{ 20 }, true, true });
        EXPECT_TRUE(fixture.state.requests.empty());
        EXPECT_EQ(fixture.state.counters.dispatched, dispatched);
        EXPECT_EQ(fixture.state.counters.completed, 1U);
        EXPECT_EQ(fixture.last<Refuse>(), nullptr);
        const auto &granted = fixture.state.coordinatedEngines.at(UpstreamId{ "e1" }).granted;
        EXPECT_NE(granted.at(RequestId{ "r1" }).nextCancelAt, never)
                << "the engine may still run it";
    }
}

// A key is withdrawn while a caller's stream runs and another request waits. Both must end at once,
// and new requests must be refused with the reason.
TEST(Host, AWithdrawnKeyEndsAllItsRequests)
{
    Fixture fixture;
    fixture.start();
    for (const char *id : { "r1", "r2", "r3" })
        fixture.deliver(fixture.request(id));
    fixture.deliver(TicketRead{ withdrawal });
    EXPECT_TRUE(fixture.state.requests.empty());
    EXPECT_NE(fixture.last<CancelAttempt>(), nullptr);
    EXPECT_EQ(fixture.state.counters.refusals[ResultCode::KeyWithdrawn], 3U);
    fixture.deliver(fixture.request("r4"));
    EXPECT_EQ(fixture.last<Refuse>()->code, ResultCode::KeyWithdrawn);
}

// An adapter is retired while a stream runs on it and other requests wait for a slot. The stream
// must run to its end, and waiting requests must be refused as not run. A ticket that only adds an
// adapter must end nothing.
TEST(Host, ARetiredAdapterEndsWaitingRequestsButNotRunningStreams)
{
    Fixture fixture;
    fixture.start();
    for (const char *id : { "r1", "r2", "r3", "r4" }) // two run, two wait
        fixture.deliver(fixture.request(id));
    fixture.deliver(TicketRead{ R"({ "ticket": 2, "by": "ana", "why": "b", "set": { "adapters": [
        { "adapter": "b@1", "customer": "c", "base": "m" } ] } })" });
    EXPECT_EQ(fixture.state.requests.size(), 4U);
    fixture.deliver(TicketRead{
            R"({ "ticket": 3, "by": "ana", "why": "old", "remove": { "adapters": ["a@1"] } })" });
    EXPECT_EQ(fixture.state.requests.size(), 2U);
    EXPECT_EQ(fixture.state.counters.refusals[ResultCode::AdapterUnknown], 2U);
    EXPECT_EQ(fixture.last<CancelAttempt>(), nullptr);
    fixture.deliver(AttemptEnded{ RequestId{ "r1" }, 1, AttemptOutcome::Done, Tokens{ 20 }, true });
    EXPECT_EQ(fixture.state.counters.completed, 1U);
}

// A customer is removed while its stream runs: the stream must end and be cancelled at the engine.
TEST(Host, ARemovedCustomersStreamsEnd)
{
    Fixture fixture;
    fixture.start();
    fixture.deliver(fixture.request("r1"));
    fixture.deliver(TicketRead{
            R"({ "ticket": 2, "by": "ana", "why": "left", "remove": { "customers": ["c"] } })" });
    EXPECT_TRUE(fixture.state.requests.empty());
    EXPECT_NE(fixture.last<CancelAttempt>(), nullptr);
    EXPECT_EQ(fixture.state.counters.refusals[ResultCode::KeyUnknown], 1U);
}

// A back end reads a call that is not idempotent and closes without answering. Whether the call ran
// is unknown, so it must not be sent again, and the caller must be told so.
TEST(Host, ANonIdempotentCallIsNeverSentTwice)
{
    Fixture fixture;
    fixture.start();
    fixture.deliver(fixture.request("f1", RequestKind::ServiceCall));
    ASSERT_NE(fixture.last<Dispatch>(), nullptr);
    EXPECT_FALSE(fixture.last<Dispatch>()->mayRunTwice);
    fixture.deliver(AttemptEnded{ RequestId{ "f1" }, 1, AttemptOutcome::Failed, Tokens{}, false });
    EXPECT_EQ(fixture.last<Dispatch>(), nullptr);
    ASSERT_NE(fixture.last<Refuse>(), nullptr);
    EXPECT_EQ(fixture.last<Refuse>()->runState, RunState::Unknown);
}

// The host gets SIGTERM while a stream runs. New requests must be refused, and the process must
// exit only after the stream has ended.
TEST(Host, APlannedStopWaitsForTheLastRequest)
{
    Fixture fixture;
    fixture.start();
    fixture.deliver(fixture.request("r1"));
    fixture.deliver(StopAsked{});
    fixture.advanceTime(fromSeconds(1));
    EXPECT_EQ(fixture.last<ExitProcess>(), nullptr);
    fixture.deliver(fixture.request("r2"));
    EXPECT_EQ(fixture.last<Refuse>()->code, ResultCode::HostDraining);
    fixture.deliver(AttemptEnded{ RequestId{ "r1" }, 1, AttemptOutcome::Done, Tokens{ 20 }, true });
    fixture.deliver(Tick{});
    EXPECT_NE(fixture.last<ExitProcess>(), nullptr);
}

// A host that issued a call number is asked to stop while another host runs the call under its
// permit. It must answer for the number until the outcome is reported: otherwise a repeat in
// between would needlessly get "outcome unknown".
TEST(Host, APlannedStopWaitsForTheCallsItPermitted)
{
    Fixture fixture;
    const HostId other{ "h1" };
    fixture.deliver(HostListRead{ { ListedHost{ other, ZoneId{ "z" }, "a", false } }, {} });
    fixture.start();
    fixture.advanceTime(fromSeconds(2)); // no other host sent a heartbeat
    ASSERT_EQ(fixture.state.process, ProcessState::Serving);
    fixture.deliver(fixture.request("n", RequestKind::CallNumbers));
    ASSERT_NE(fixture.last<AnswerCallNumbers>(), nullptr);
    const CallNumber number = fixture.last<AnswerCallNumbers>()->numbers.at(0);
    const auto ask = [&](const char *request) {
        fixture.deliver(PeerMessageReceived{ PeerMessage{
                other, Incarnation{ 1 },
                PermitAsk{ number, CustomerId{ "c" }, RequestId{ request }, fromSeconds(20) } } });
        const SendPeer *sent = fixture.last<SendPeer>();
        return std::get<PermitReply>(sent->body).answer.verdict;
    };
    EXPECT_EQ(ask("first"), PermitVerdict::Granted);
    fixture.deliver(StopAsked{});
    fixture.advanceTime(fromSeconds(3));
    EXPECT_EQ(fixture.last<ExitProcess>(), nullptr);
    EXPECT_EQ(ask("repeat"), PermitVerdict::InProgress);
    fixture.deliver(
            PeerMessageReceived{ PeerMessage{ other, Incarnation{ 1 },
                                              OutcomeReport{ number,
                                                             CustomerId{ "c" },
                                                             RequestId{ "first" },
                                                             CallOutcome::Done,
                                                             { 201, "text/plain", "filed" } } } });
    EXPECT_EQ(ask("repeat"), PermitVerdict::Done);
    fixture.deliver(Tick{});
    EXPECT_NE(fixture.last<ExitProcess>(), nullptr);
}
