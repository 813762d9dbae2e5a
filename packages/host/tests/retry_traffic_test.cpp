#include "azurewell/host/host.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const std::string ticketText = R"({ "ticket": 1, "by": "ana", "why": "start", "set": {
    "zones": [ { "id": "z", "seats": 1 } ],
    "customers": [ { "id": "c", "rate": 1000000, "burst": 1000000, "services": ["routes"] } ],
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "c", "state": "issued" } ],
    "services": [ { "id": "routes", "idempotent": true } ],
    "upstreams": [
      { "id": "s1", "kind": "service", "zone": "z", "address": "127.0.0.1:1", "service": "routes", "batch_slots": 8 },
      { "id": "s2", "kind": "service", "zone": "z", "address": "127.0.0.1:2", "service": "routes", "batch_slots": 8 },
      { "id": "s3", "kind": "service", "zone": "z", "address": "127.0.0.1:3", "service": "routes", "batch_slots": 8 } ] } })";

/// A host whose back ends answer every request with 503.
struct RefusingWorld
{
    HostState state;
    Instant now{ 0 };
    std::uint64_t sent = 0;
    std::uint64_t refused = 0;

    RefusingWorld()
    {
        HostIdentity self;
        self.id = HostId{ "h0" };
        self.zone = ZoneId{ "z" };
        self.incarnation = Incarnation{ 1 };
        this->state = makeHost(self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value());
        this->deliver(TicketRead{ ticketText });
        this->advanceTime(fromSeconds(1));
    }

    void deliver(const Event &event)
    {
        std::vector<Action> actions;
        handle(this->state, event, this->now, actions);
        for (const Action &action : actions) {
            if (std::get_if<Refuse>(&action))
                ++this->refused;
            const Dispatch *dispatch = std::get_if<Dispatch>(&action);
            if (!dispatch)
                continue;
            ++this->sent;
            AttemptEnded ended;
            ended.request = dispatch->request;
            ended.attempt = dispatch->attempt;
            ended.outcome = AttemptOutcome::Refused;
            this->deliver(ended);
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
    void ask(int number)
    {
        RequestArrived event;
        event.request = RequestId{ "r" + std::to_string(number) };
        event.kind = RequestKind::ServiceCall;
        event.key = KeyHash{ std::string(64, 'a') };
        event.service = ServiceId{ "routes" };
        event.isSafeMethod = true;
        event.deadline = this->now + fromSeconds(30);
        this->deliver(event);
    }
};

} // namespace

// Every back end answers 503 for a while. Callers must be refused at once, and the back ends must
// get less than a tenth more requests than callers sent: more retries would keep them overloaded.
TEST(RetryTraffic, StaysUnderATenthWhileEveryUpstreamRefuses)
{
    RefusingWorld world;
    constexpr int requestCount = 2000;
    for (int number = 0; number < requestCount; ++number) {
        world.ask(number);
        world.advanceTime(tickInterval);
    }
    EXPECT_LT(world.sent, requestCount * 1.1);
    EXPECT_EQ(world.refused, static_cast<std::uint64_t>(requestCount));
    EXPECT_TRUE(world.state.requests.empty());
}
