#include "azurewell/gateway/zone_relay.h"

#include "azurewell/gateway/gossip_codec.h"

#include <gtest/gtest.h>

#include <set>

namespace azurewell::gateway {
namespace {

constexpr Span millisecond = std::chrono::milliseconds(1);

/// A zone of ten hosts as one of them knows it.
class ZoneRelayTest : public testing::Test
{
protected:
    ZoneRelayTest()
    {
        this->members.self.value = "self";
        this->members.zone.value = "z";
        for (int host = 0; host < hosts; ++host)
            this->hear("h" + std::to_string(host));
    }

    void hear(const std::string &name, std::uint32_t linkMbps = 20)
    {
        Member member;
        member.id.value = name;
        member.zone = this->members.zone;
        member.address = { name, 1 };
        member.heardAt = this->now;
        member.aliveAt = this->now;
        member.linkMbps = linkMbps;
        noteMember(this->members, member);
    }

    std::string ask()
    {
        const Member *relay = askRelay(this->members, this->members.zone, this->now);
        return relay ? relay->id.value : std::string();
    }

    static constexpr int hosts = 9;
    Members members;
    Instant now{ 1'000'000'000 };
};

RelayedNews newsOf(const std::string &host, const std::string &engine, std::int64_t micros)
{
    RelayedNews news;
    news.origin.value = host;
    news.incarnation.value = 1;
    news.uses = { { CustomerId{ "c" }, static_cast<double>(micros), 1 } };
    news.engines.emplace_back();
    news.engines.back().engine.value = engine;
    news.engines.back().state.seenAt = Instant{ micros };
    return news;
}

TEST_F(ZoneRelayTest, HostsWithFastLinksRelay)
{
    for (const char *name : { "h2", "h4", "h7" })
        this->hear(name, 200);
    EXPECT_TRUE((std::set<std::string>{ "h2", "h4", "h7" }.contains(this->ask())));
}

// A relay that died is asked for as long as it takes to notice that it is silent.
TEST_F(ZoneRelayTest, ARelayThatDoesNotAnswerIsPassedOver)
{
    const std::string first = this->ask();
    this->now = this->now + relayAnswersWithin - millisecond;
    EXPECT_EQ(this->ask(), first);
    this->now = this->now + millisecond;
    const std::string second = this->ask();
    EXPECT_NE(second, first);
    EXPECT_NE(second, "");
}

// A relay that answers is passed over because it was asked a long time ago.
TEST_F(ZoneRelayTest, ARelayThatIsHeardStays)
{
    const std::string first = this->ask();
    for (int i = 0; i < 20; ++i) {
        this->now = this->now + relayAnswersWithin / 2;
        this->hear(first);
        EXPECT_EQ(this->ask(), first);
    }
}

TEST_F(ZoneRelayTest, ARelayThatIsHeardAgainIsAskedAgain)
{
    const std::string first = this->ask();
    this->now = this->now + relayAnswersWithin;
    EXPECT_NE(this->ask(), first);
    this->hear(first);
    EXPECT_EQ(this->ask(), first);
}

TEST_F(ZoneRelayTest, NobodyIsAskedWhereNobodyLives)
{
    this->now = this->now + std::chrono::seconds(30);
    EXPECT_EQ(this->ask(), "");
    EXPECT_EQ(askRelay(this->members, ZoneId{ "unknown" }, this->now), nullptr);
}

TEST(RelayedNewsTest, OfEachEngineAndCustomerTheNewestWordStays)
{
    std::map<HostId, RelayedNews> gathered;
    mergeNews(gathered, newsOf("a", "e1", 10));
    mergeNews(gathered, newsOf("a", "e2", 20));
    mergeNews(gathered, newsOf("a", "e1", 30));
    mergeNews(gathered, newsOf("b", "e1", 40));
    ASSERT_EQ(gathered.size(), 2U);
    const RelayedNews &fromA = gathered[HostId{ "a" }];
    ASSERT_EQ(fromA.engines.size(), 2U);
    EXPECT_EQ(fromA.engines.back().state.seenAt, Instant{ 30 });
    ASSERT_EQ(fromA.uses.size(), 1U);
    EXPECT_EQ(fromA.uses.front().admitted, 30);
}

// What a host admitted in its earlier life is told as of its present one.
TEST(RelayedNewsTest, ARestartedHostBeginsAnew)
{
    std::map<HostId, RelayedNews> gathered;
    mergeNews(gathered, newsOf("a", "e1", 10));
    RelayedNews later = newsOf("a", "e2", 5);
    later.incarnation.value = 2;
    mergeNews(gathered, later);
    EXPECT_EQ(gathered[HostId{ "a" }].engines.size(), 1U);
    EXPECT_EQ(gathered[HostId{ "a" }].uses.front().admitted, 5);
}

// The news of two hundred hosts at once are larger than a datagram, and are dropped whole.
TEST(RelayedNewsTest, EachPartFitsIntoADatagram)
{
    std::map<HostId, RelayedNews> gathered;
    constexpr int hosts = 200;
    constexpr int customers = 19;
    constexpr std::size_t largestPart = 20'000;
    for (int host = 0; host < hosts; ++host) {
        RelayedNews news = newsOf("host-with-a-long-name-" + std::to_string(host), "e", 1);
        for (int customer = 0; customer < customers; ++customer)
            news.uses.push_back({ CustomerId{ "customer-" + std::to_string(customer) }, 1e6, 1e5 });
        mergeNews(gathered, news);
    }
    std::size_t told = 0;
    for (const std::vector<RelayedNews> &part : splitNews(gathered)) {
        Gossip message;
        message.relayed = part;
        told += part.size();
        EXPECT_LT(encodeGossip(message, Instant{ 1 }).size(), largestPart);
    }
    EXPECT_EQ(told, static_cast<std::size_t>(hosts));
}

TEST(RelayedNewsTest, TravelsWhole)
{
    const Instant now{ 1'000'000 };
    Gossip message;
    message.relayTo = RelayScope::Zone;
    message.linkMbps = 200;
    message.relayed = { newsOf("a", "e1", now.micros) };
    const Result<Gossip> arrived = decodeGossip(encodeGossip(message, now), now);
    ASSERT_TRUE(arrived);
    EXPECT_EQ(arrived.value().relayTo, RelayScope::Zone);
    EXPECT_EQ(arrived.value().linkMbps, 200U);
    ASSERT_EQ(arrived.value().relayed.size(), 1U);
    const RelayedNews &news = arrived.value().relayed.front();
    EXPECT_EQ(news.origin.value, "a");
    EXPECT_EQ(news.uses.front().admitted, static_cast<double>(now.micros));
    EXPECT_EQ(news.engines.front().state.seenAt, now);
}

} // namespace
} // namespace azurewell::gateway
