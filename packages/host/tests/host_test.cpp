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

/// One host with an engine that does what it is told at once.
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

    void give(const Event &event)
    {
        this->actions.clear();
        handle(this->state, event, this->now, this->actions);
        const std::vector<Action> taken = this->actions;
        for (const Action &action : taken) {
            if (const OrderEngine *order = std::get_if<OrderEngine>(&action))
                handle(this->state,
                       OrderEnded{ order->engine, order->adapter, order->isLoad, true }, this->now,
                       this->actions);
        }
    }
    void pass(Span span)
    {
        const Instant until = this->now + span;
        while (this->now < until) {
            this->now = this->now + tickInterval;
            this->give(Tick{});
        }
    }
    void begin()
    {
        this->give(TicketRead{ ticketText });
        this->pass(fromSeconds(1));
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
        event.mostGenerated = Tokens{ 20 };
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
    fixture.begin();
    fixture.give(fixture.request("r1"));
    ASSERT_NE(fixture.last<Dispatch>(), nullptr);
    EXPECT_EQ(fixture.last<Dispatch>()->upstream, UpstreamId{ "e1" });
    fixture.give(AttemptEnded{ RequestId{ "r1" }, 1, AttemptOutcome::Done, Tokens{ 20 }, true });
    EXPECT_TRUE(fixture.state.requests.empty());
    EXPECT_TRUE(fixture.state.kept.at(UpstreamId{ "e1" }).granted.empty());
}

// A key is withdrawn while a caller's stream runs and another request waits. Both end within the
// same moment, and new requests are refused with the reason.
TEST(Host, AWithdrawnKeyStopsEverywhere)
{
    Fixture fixture;
    fixture.begin();
    for (const char *id : { "r1", "r2", "r3" })
        fixture.give(fixture.request(id));
    fixture.give(TicketRead{ withdrawal });
    EXPECT_TRUE(fixture.state.requests.empty());
    EXPECT_NE(fixture.last<CancelAttempt>(), nullptr);
    EXPECT_EQ(fixture.state.counters.refusals[ResultCode::KeyWithdrawn], 3U);
    fixture.give(fixture.request("r4"));
    EXPECT_EQ(fixture.last<Refuse>()->code, ResultCode::KeyWithdrawn);
}

// An adapter is retired while a stream runs on it and other requests wait for a slot. The stream
// goes on to its end; what waits is refused as not run. A ticket that only adds an adapter ends
// nothing.
TEST(Host, ARetiredAdapterEndsWhatWaitsAndLetsRunningStreamsEnd)
{
    Fixture fixture;
    fixture.begin();
    for (const char *id : { "r1", "r2", "r3", "r4" }) // two run, two wait
        fixture.give(fixture.request(id));
    fixture.give(TicketRead{ R"({ "ticket": 2, "by": "ana", "why": "b", "set": { "adapters": [
        { "adapter": "b@1", "customer": "c", "base": "m" } ] } })" });
    EXPECT_EQ(fixture.state.requests.size(), 4U);
    fixture.give(TicketRead{
            R"({ "ticket": 3, "by": "ana", "why": "old", "remove": { "adapters": ["a@1"] } })" });
    EXPECT_EQ(fixture.state.requests.size(), 2U);
    EXPECT_EQ(fixture.state.counters.refusals[ResultCode::AdapterUnknown], 2U);
    EXPECT_EQ(fixture.last<CancelAttempt>(), nullptr);
    fixture.give(AttemptEnded{ RequestId{ "r1" }, 1, AttemptOutcome::Done, Tokens{ 20 }, true });
    EXPECT_EQ(fixture.state.counters.completed, 1U);
}

// A customer is removed while its stream runs: the stream ends, and the engine is told.
TEST(Host, ARemovedCustomersStreamsEnd)
{
    Fixture fixture;
    fixture.begin();
    fixture.give(fixture.request("r1"));
    fixture.give(TicketRead{
            R"({ "ticket": 2, "by": "ana", "why": "left", "remove": { "customers": ["c"] } })" });
    EXPECT_TRUE(fixture.state.requests.empty());
    EXPECT_NE(fixture.last<CancelAttempt>(), nullptr);
    EXPECT_EQ(fixture.state.counters.refusals[ResultCode::KeyUnknown], 1U);
}

// A back end reads a filing and closes without answering. Whether it was filed is not known, so it
// is not sent again, and the caller is told just that.
TEST(Host, AFilingIsNeverSentTwice)
{
    Fixture fixture;
    fixture.begin();
    fixture.give(fixture.request("f1", RequestKind::ServiceCall));
    ASSERT_NE(fixture.last<Dispatch>(), nullptr);
    EXPECT_FALSE(fixture.last<Dispatch>()->mayRunTwice);
    fixture.give(AttemptEnded{ RequestId{ "f1" }, 1, AttemptOutcome::Failed, Tokens{}, false });
    EXPECT_EQ(fixture.last<Dispatch>(), nullptr);
    ASSERT_NE(fixture.last<Refuse>(), nullptr);
    EXPECT_EQ(fixture.last<Refuse>()->runState, RunState::Unknown);
}

// The host gets SIGTERM while a stream runs. The stream ends in its own time, new requests are sent
// elsewhere, and only then does the process leave.
TEST(Host, APlannedStopWaitsForTheLastRequest)
{
    Fixture fixture;
    fixture.begin();
    fixture.give(fixture.request("r1"));
    fixture.give(StopAsked{});
    fixture.pass(fromSeconds(1));
    EXPECT_EQ(fixture.last<LeaveProcess>(), nullptr);
    fixture.give(fixture.request("r2"));
    EXPECT_EQ(fixture.last<Refuse>()->code, ResultCode::HostDraining);
    fixture.give(AttemptEnded{ RequestId{ "r1" }, 1, AttemptOutcome::Done, Tokens{ 20 }, true });
    fixture.give(Tick{});
    EXPECT_NE(fixture.last<LeaveProcess>(), nullptr);
}
