#include "azurewell/host/host.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const std::string ticketText = R"({ "ticket": 1, "by": "ana", "why": "start", "set": {
    "zones": [ { "id": "z", "seats": 3 } ],
    "customers": [ { "id": "c", "rate": 3000, "burst": 9000 } ],
    "keys": [ { "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "customer": "c", "state": "issued" } ],
    "adapters": [ { "adapter": "a@1", "customer": "c", "base": "m" } ],
    "upstreams": [ { "id": "e1", "kind": "engine", "zone": "z", "address": "127.0.0.1:1", "base": "m", "batch_slots": 64, "adapter_slots": 1 } ] } })";

/// Three hosts whose messages arrive at once, and an engine that carries out every order.
struct ThreeHosts
{
    std::vector<HostState> states;
    Instant now{ 0 };
    std::vector<Refuse> refused;
    std::size_t dispatched = 0;

    ThreeHosts()
    {
        HostListRead list;
        for (std::uint32_t number = 0; number < 3; ++number) {
            HostIdentity self;
            self.id = HostId{ std::to_string(number) };
            self.zone = ZoneId{ "z" };
            self.seat = SeatNumber{ number };
            self.peerAddress = self.id.value;
            self.incarnation = Incarnation{ 1 };
            list.hosts.push_back(ListedHost{ self.id, self.zone, self.peerAddress, false });
            this->states.push_back(makeHost(self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value()));
        }
        for (std::size_t host = 0; host < 3; ++host) {
            this->deliver(host, list);
            this->deliver(host, TicketRead{ ticketText });
        }
    }
    void deliver(std::size_t host, const Event &event)
    {
        std::vector<Action> actions;
        handle(this->states[host], event, this->now, actions);
        const HostIdentity &self = this->states[host].self;
        for (const Action &action : actions) {
            if (const SendPeer *send = std::get_if<SendPeer>(&action))
                this->deliver(std::stoul(send->to.value),
                              PeerMessageReceived{ { self.id, self.incarnation, send->body } });
            if (const OrderEngine *order = std::get_if<OrderEngine>(&action))
                this->deliver(
                        host,
                        OrderEnded{ order->engine, order->adapter, order->isLoad, true, {}, {} });
            if (const Refuse *refusal = std::get_if<Refuse>(&action))
                this->refused.push_back(*refusal);
            this->dispatched += std::holds_alternative<Dispatch>(action) ? 1 : 0;
        }
    }
    void advanceTime(double seconds)
    {
        const Instant until = this->now + fromSeconds(seconds);
        while (this->now < until) {
            this->now = this->now + tickInterval;
            for (std::size_t host = 0; host < 3; ++host)
                this->deliver(host, Tick{});
        }
    }
    void request(std::size_t host, const std::string &id, std::int64_t tokens)
    {
        RequestArrived event;
        event.request = RequestId{ id };
        event.key = KeyHash{ std::string(64, 'a') };
        event.adapter = AdapterRef{ "a@1" };
        event.promptTokens = Tokens{ 10 };
        event.maxGenerated = Tokens{ tokens - 10 };
        event.deadline = this->now + fromSeconds(30);
        this->deliver(host, event);
    }
};

} // namespace

// The load balancer sends a burst within the customer's limit to one of three hosts. A third of it
// fits that host's own share; the rest must be admitted with tokens borrowed from the others.
TEST(HostShares, ABurstAtOneHostBorrowsTokensOfTheOthers)
{
    ThreeHosts hosts;
    hosts.advanceTime(5);
    for (int number = 0; number < 7; ++number)
        hosts.request(0, "r" + std::to_string(number), 1000);
    hosts.advanceTime(0.1);
    EXPECT_EQ(hosts.dispatched, 7U);
    EXPECT_TRUE(hosts.refused.empty());
    EXPECT_GT(hosts.states[1].shares.counters.lentTokens, 0U);
}

// A customer sends above its rate. Requests that can't be admitted within two seconds must be
// refused at once with a correct Retry-After; those that wait must be admitted or refused in time.
TEST(HostShares, RequestsAboveTheRateAreRefusedWithACorrectRetryAfter)
{
    ThreeHosts hosts;
    hosts.advanceTime(5);
    for (int number = 0; number < 40; ++number)
        hosts.request(0, "r" + std::to_string(number), 1000);
    ASSERT_FALSE(hosts.refused.empty());
    EXPECT_EQ(hosts.refused.back().code, ResultCode::RateExceeded);
    EXPECT_EQ(hosts.refused.back().runState, RunState::NotRun);
    EXPECT_GE(hosts.refused.back().retryAfter.value(), fromSeconds(2));
    hosts.advanceTime(3);
    EXPECT_EQ(hosts.dispatched + hosts.refused.size(), 40U);
    EXPECT_TRUE(hosts.states[0].waitingForTokens.empty());
}

// A request exceeds the tokens that one host can ever collect. It must be refused at once instead
// of waiting.
TEST(HostShares, ARequestThatExceedsTheBurstIsRefusedAtOnce)
{
    ThreeHosts hosts;
    hosts.advanceTime(5);
    hosts.request(0, "r", 9000);
    ASSERT_EQ(hosts.refused.size(), 1U);
    EXPECT_EQ(hosts.refused[0].code, ResultCode::ExceedsBurst);
}

// A process is suspended for a minute and resumes beside its successor. It must refuse requests as
// soon as it learns of the successor.
TEST(HostShares, AReplacedHostRefusesRequests)
{
    ThreeHosts hosts;
    hosts.advanceTime(5);
    Heartbeat beat;
    beat.zone = ZoneId{ "z" };
    beat.seat = SeatNumber{ 0 };
    hosts.deliver(0, PeerMessageReceived{ { HostId{ "3" }, Incarnation{ 2 }, beat } });
    hosts.request(0, "r", 100);
    ASSERT_EQ(hosts.refused.size(), 1U);
    EXPECT_EQ(hosts.refused[0].code, ResultCode::NoShare);
}
