#include "azurewell/gateway/zone_relay.h"

#include "azurewell/gateway/gossip_codec.h"

#include <gtest/gtest.h>

#include <set>

namespace azurewell::gateway {
namespace {

constexpr Span millisecond = std::chrono::milliseconds(1);

/// A zone of ten hosts as known to one of them.
class ZoneRelayTest : public testing::Test
{
protected:
    ZoneRelayTest()
    {
        this->members.self.value = "self";
        this->members.zone.value = "z";
        for (int host = 0; host < hosts; ++host)
            this->receiveFrom("h" + std::to_string(host));
    }

    void receiveFrom(const std::string &name, std::uint32_t linkMbps = 20)
    {
        Member member;
        member.id.value = name;
        member.zone = this->members.zone;
        member.address = { name, 1 };
        member.lastMessageAt = this->now;
        member.lastAliveAt = this->now;
        member.linkMbps = linkMbps;
        recordMember(this->members, member);
    }

    std::string selectedRelay()
    {
        const Member *relay = selectRelay(this->members, this->members.zone, this->now);
        return relay ? relay->id.value : std::string();
    }

    static constexpr int hosts = 9;
    Members members;
    Instant now{ 1'000'000'000 };
};

RelayedUpdate updateOf(const std::string &host, const std::string &engine, std::int64_t micros)
{
    RelayedUpdate update;
    update.origin.value = host;
    update.incarnation.value = 1;
    update.uses = { { CustomerId{ "c" }, static_cast<double>(micros), 1 } };
    update.engines.emplace_back();
    update.engines.back().engine.value = engine;
    update.engines.back().state.seenAt = Instant{ micros };
    return update;
}

TEST_F(ZoneRelayTest, HostsWithFastLinksRelay)
{
    for (const char *name : { "h2", "h4", "h7" })
        this->receiveFrom(name, 200);
    EXPECT_TRUE((std::set<std::string>{ "h2", "h4", "h7" }.contains(this->selectedRelay())));
}

// Guards against sending requests to a crashed relay until its heartbeat timeout.
TEST_F(ZoneRelayTest, UnresponsiveRelayIsSkipped)
{
    const std::string first = this->selectedRelay();
    this->now = this->now + relayAnswerTimeout - millisecond;
    EXPECT_EQ(this->selectedRelay(), first);
    this->now = this->now + millisecond;
    const std::string second = this->selectedRelay();
    EXPECT_NE(second, first);
    EXPECT_NE(second, "");
}

// Guards against skipping a relay that answers because it was first requested a long time ago.
TEST_F(ZoneRelayTest, RespondingRelayIsKept)
{
    const std::string first = this->selectedRelay();
    for (int i = 0; i < 20; ++i) {
        this->now = this->now + relayAnswerTimeout / 2;
        this->receiveFrom(first);
        EXPECT_EQ(this->selectedRelay(), first);
    }
}

TEST_F(ZoneRelayTest, RecoveredRelayIsUsedAgain)
{
    const std::string first = this->selectedRelay();
    this->now = this->now + relayAnswerTimeout;
    EXPECT_NE(this->selectedRelay(), first);
    this->receiveFrom(first);
    EXPECT_EQ(this->selectedRelay(), first);
}

TEST_F(ZoneRelayTest, NoRelayIsSelectedIfNoneIsAlive)
{
    this->now = this->now + std::chrono::seconds(30);
    EXPECT_EQ(this->selectedRelay(), "");
    EXPECT_EQ(selectRelay(this->members, ZoneId{ "unknown" }, this->now), nullptr);
}

TEST(RelayedNewsTest, MergeKeepsNewestUpdatePerEngineAndCustomer)
{
    std::map<HostId, RelayedUpdate> collected;
    mergeUpdate(collected, updateOf("a", "e1", 10));
    mergeUpdate(collected, updateOf("a", "e2", 20));
    mergeUpdate(collected, updateOf("a", "e1", 30));
    mergeUpdate(collected, updateOf("b", "e1", 40));
    ASSERT_EQ(collected.size(), 2U);
    const RelayedUpdate &fromA = collected[HostId{ "a" }];
    ASSERT_EQ(fromA.engines.size(), 2U);
    EXPECT_EQ(fromA.engines.back().state.seenAt, Instant{ 30 });
    ASSERT_EQ(fromA.uses.size(), 1U);
    EXPECT_EQ(fromA.uses.front().admitted, 30);
}

// Guards against attributing what a host admitted in its earlier incarnation to its current one.
TEST(RelayedNewsTest, RestartedHostReplacesEarlierUpdates)
{
    std::map<HostId, RelayedUpdate> collected;
    mergeUpdate(collected, updateOf("a", "e1", 10));
    RelayedUpdate later = updateOf("a", "e2", 5);
    later.incarnation.value = 2;
    mergeUpdate(collected, later);
    EXPECT_EQ(collected[HostId{ "a" }].engines.size(), 1U);
    EXPECT_EQ(collected[HostId{ "a" }].uses.front().admitted, 5);
}

// Guards against the updates of two hundred hosts at once exceeding a datagram and being dropped
// entirely.
TEST(RelayedNewsTest, EachPartFitsIntoADatagram)
{
    std::map<HostId, RelayedUpdate> collected;
    constexpr int hosts = 200;
    constexpr int customers = 19;
    constexpr std::size_t largestPart = 20'000;
    for (int host = 0; host < hosts; ++host) {
        RelayedUpdate update = updateOf("host-with-a-long-name-" + std::to_string(host), "e", 1);
        for (int customer = 0; customer < customers; ++customer)
            update.uses.push_back(
                    { CustomerId{ "customer-" + std::to_string(customer) }, 1e6, 1e5 });
        mergeUpdate(collected, update);
    }
    std::size_t sentHosts = 0;
    for (const std::vector<RelayedUpdate> &part : splitUpdates(collected)) {
        Gossip message;
        message.relayed = part;
        sentHosts += part.size();
        EXPECT_LT(encodeGossip(message, Instant{ 1 }).size(), largestPart);
    }
    EXPECT_EQ(sentHosts, static_cast<std::size_t>(hosts));
}

TEST(RelayedNewsTest, RoundTrips)
{
    const Instant now{ 1'000'000 };
    Gossip message;
    message.relayTo = RelayScope::Zone;
    message.linkMbps = 200;
    message.relayed = { updateOf("a", "e1", now.micros) };
    const Result<Gossip> arrived = decodeGossip(encodeGossip(message, now), now);
    ASSERT_TRUE(arrived);
    EXPECT_EQ(arrived.value().relayTo, RelayScope::Zone);
    EXPECT_EQ(arrived.value().linkMbps, 200U);
    ASSERT_EQ(arrived.value().relayed.size(), 1U);
    const RelayedUpdate &update = arrived.value().relayed.front();
    EXPECT_EQ(update.origin.value, "a");
    EXPECT_EQ(update.uses.front().admitted, static_cast<double>(now.micros));
    EXPECT_EQ(update.engines.front().state.seenAt, now);
}

} // namespace
} // namespace azurewell::gateway
