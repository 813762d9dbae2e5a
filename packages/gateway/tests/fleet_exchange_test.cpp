#include "azurewell/gateway/gateway.h"
#include "azurewell/gateway/gossip_codec.h"

#include "store_positions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace azurewell::gateway {
namespace {

/// One host of a large fleet with thirty hosts in each of three zones.
class FleetExchangeTest : public testing::Test
{
protected:
    FleetExchangeTest()
    {
        Identity self;
        self.id.value = "h0";
        self.zone.value = "z0";
        self.address = { "h0", 1 };
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        for (int host = 1; host < hosts; ++host)
            this->receiveFrom(host);
    }

    Gossip messageOf(int host) const
    {
        Gossip message;
        message.from.value = "h" + std::to_string(host);
        message.zone.value = "z" + std::to_string(host % 3);
        message.address = { message.from.value, 1 };
        message.incarnation.value = 1;
        return message;
    }

    Actions take(const Gossip &message)
    {
        Actions actions;
        handle(this->state, message, this->now, actions);
        return actions;
    }

    Actions receiveFrom(int host)
    {
        return this->take(this->messageOf(host));
    }

    /// Advances the clock in ticks, receiving messages from all hosts but \a unreachable. Returns
    /// the messages that this host sends.
    std::vector<SendGossip> advance(Span span, int unreachable = 0)
    {
        std::vector<SendGossip> sent;
        const Instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + tickInterval;
            Actions actions;
            tick(this->state, this->now, actions);
            sent.insert(sent.end(), actions.gossip.begin(), actions.gossip.end());
            for (int host = 1; host < hosts; ++host) {
                if (host != unreachable
                    && this->now.micros / tickInterval.count() % 20 == host % 20)
                    this->receiveFrom(host);
            }
        }
        return sent;
    }

    static std::size_t countTo(const std::vector<SendGossip> &sent, const std::string &host)
    {
        return static_cast<std::size_t>(
                std::count_if(sent.begin(), sent.end(),
                              [&](const SendGossip &message) { return message.to.ip == host; }));
    }

    static bool requestsChanges(const Actions &actions)
    {
        return std::any_of(actions.gossip.begin(), actions.gossip.end(),
                           [](const SendGossip &sent) { return sent.message->wantsChanges; });
    }

    static constexpr int hosts = 90;
    GatewayState state;
    Instant now{ 1'000'000'000 };
};

TEST_F(FleetExchangeTest, HostsOfTheOwnZoneGetMoreHeartbeats)
{
    // Guards against hosts that spend their processor time on heartbeats by sending to 89 others
    // every 250 ms. Hosts that take over each other's engines have to detect a loss first.
    this->advance(std::chrono::seconds(4));
    const std::vector<SendGossip> sent = this->advance(std::chrono::seconds(10));
    EXPECT_LT(sent.size(), 10 * 80U);
    EXPECT_GE(countTo(sent, "h3"), 12U);
    EXPECT_GE(countTo(sent, "h1"), 4U);
    EXPECT_GT(countTo(sent, "h3"), 2 * countTo(sent, "h1"));
    EXPECT_EQ(countReachable(this->state.members, this->now), hosts - 1U);
}

TEST_F(FleetExchangeTest, UnreachableHostOfTheZoneIsDetectedWithinAFewHeartbeats)
{
    // Guards against detecting a crashed host late: until the others of its zone do, its engines
    // have no coordinator.
    this->advance(std::chrono::seconds(2));
    this->advance(std::chrono::milliseconds(4000), 3);
    EXPECT_FALSE(isAlive(this->state.members, HostId{ "h3" }, this->now));
    EXPECT_EQ(countReachable(this->state.members, this->now), hosts - 2U);
}

TEST_F(FleetExchangeTest, ChangesAreRequestedInTheOwnZoneFirst)
{
    // Guards against thirty transfers of each configuration change between zones, which happen if
    // all hosts of a zone request it from another zone.
    Configuration configuration;
    configuration.version = 1;
    setConfiguration(this->state, configuration);
    Gossip elsewhere = this->messageOf(1);
    elsewhere.newestChange = at(7);
    EXPECT_FALSE(requestsChanges(this->take(elsewhere)));
    Gossip inZone = this->messageOf(3);
    inZone.newestChange = at(7);
    EXPECT_TRUE(requestsChanges(this->take(inZone)));
}

TEST_F(FleetExchangeTest, SmallFleetRequestsChangesFromAnyZone)
{
    // Guards against sending requests to a leaving upstream after it stopped serving: the only
    // other host of this zone does not know of the change yet, and waiting half a second for it
    // takes too long.
    GatewayState small;
    gateway::start(small, this->state.self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(),
                   this->now);
    Configuration configuration;
    configuration.version = 1;
    setConfiguration(small, configuration);
    Gossip elsewhere = this->messageOf(1);
    elsewhere.newestChange = at(7);
    Actions actions;
    handle(small, elsewhere, this->now, actions);
    EXPECT_TRUE(requestsChanges(actions));
}

TEST_F(FleetExchangeTest, ChangesAreRequestedFromOtherZonesIfTheOwnZoneLacksThem)
{
    // Guards against a withdrawn key that still works in a zone whose readers the platform all
    // rejects while it serves the other zones.
    Configuration configuration;
    configuration.version = 1;
    setConfiguration(this->state, configuration);
    Gossip elsewhere = this->messageOf(1);
    elsewhere.newestChange = at(7);
    this->take(elsewhere);
    this->advance(std::chrono::milliseconds(700));
    EXPECT_TRUE(requestsChanges(this->take(elsewhere)));
}

TEST_F(FleetExchangeTest, RequesterGetsMissingChanges)
{
    applyListing(this->state.published, {}, at(4), this->now);
    applyEvents(this->state.published, { at(4), at(9), { { "k", at(7), false, "v" } } }, this->now);
    Gossip request = this->messageOf(3);
    request.position = at(5);
    EXPECT_TRUE(this->take(request).gossip.empty());
    request.wantsChanges = true;
    const Actions answer = this->take(request);
    ASSERT_EQ(answer.gossip.size(), 1U);
    ASSERT_EQ(answer.gossip.front().message->changes.size(), 1U);
    EXPECT_EQ(answer.gossip.front().message->changes.front().items.size(), 1U);
}

TEST_F(FleetExchangeTest, OtherHostsReadThePlatformWhenTheReadersFail)
{
    // Guards against reads that grow with the fleet, and against a zone without updates because the
    // platform rejects the only hosts that read it.
    Configuration configuration;
    configuration.version = 1;
    setConfiguration(this->state, configuration);
    for (int host = 3; host < hosts; host += 3) {
        Gossip message = this->messageOf(host);
        message.platform = PlatformView::NotRead;
        this->take(message);
    }
    const bool readsFirst = readsPlatform(this->state, this->now);
    for (int host = 3; host < hosts; host += 3) {
        Gossip message = this->messageOf(host);
        message.platform = PlatformView::Failing;
        this->take(message);
    }
    EXPECT_FALSE(readsFirst);
    EXPECT_TRUE(readsPlatform(this->state, this->now));
}

TEST_F(FleetExchangeTest, HostReadsThePlatformIfNoOtherHostSendsChanges)
{
    // Guards against answering 404 on new routes because a configuration with many routes was too
    // large for a message and this host left reading to others.
    Configuration configuration;
    configuration.version = 1;
    setConfiguration(this->state, configuration);
    applyListing(this->state.published, {}, at(5), this->now);
    Gossip ahead = this->messageOf(3);
    ahead.newestChange = at(7);
    this->take(ahead);
    EXPECT_FALSE(readsPlatform(this->state, this->now));
    this->advance(std::chrono::milliseconds(700));
    EXPECT_TRUE(readsPlatform(this->state, this->now));
    applyListing(this->state.published, {}, at(7), this->now);
    EXPECT_FALSE(readsPlatform(this->state, this->now));
}

// Guards against a configuration larger than a datagram that hosts cannot send to each other.
TEST_F(FleetExchangeTest, OversizedItemIsSentInParts)
{
    std::mt19937 random(1);
    std::string large(70'000, 'x');
    for (char &one : large)
        one = static_cast<char>(random());
    applyListing(this->state.published, {}, at(5), this->now);
    applyEvents(this->state.published, { at(5), at(9), { { "k", at(7), false, large } } },
                this->now);
    Gossip request = this->messageOf(3);
    request.position = at(5);
    request.wantsChanges = true;
    const Actions answer = this->take(request);
    EXPECT_EQ(answer.gossip.size(), 5U);
    PartialItems partial;
    std::optional<PublishedChanges> whole;
    for (const SendGossip &sent : answer.gossip) {
        EXPECT_TRUE(sent.message->changes.empty());
        EXPECT_LT(encodeGossip(*sent.message, this->now).size(), 20'000U);
        ASSERT_EQ(sent.message->itemParts.size(), 1U);
        ASSERT_FALSE(whole);
        whole = addPart(partial, sent.message->itemParts.front());
    }
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->items.front().value, large);
    EXPECT_EQ(whole->after, at(5));
    EXPECT_EQ(whole->upTo, at(9));
}

TEST_F(FleetExchangeTest, EntryWithOnlyNewLoadedAdaptersIsNoChange)
{
    ListedUpstream before;
    before.id.value = "e";
    before.serial = 4;
    ListedUpstream after = before;
    after.serial = 5;
    after.engine.ready = { { { "m", "a" }, 1 } };
    EXPECT_TRUE(isSameListing(before, after));
    after.isLeaving = true;
    EXPECT_FALSE(isSameListing(before, after));
    after = before;
    after.engine.start = 9;
    EXPECT_FALSE(isSameListing(before, after));
}

// Guards against a host that starts after the platform has lost changes, and serves without what
// its peers know to be confirmed.
TEST_F(FleetExchangeTest, AHostThatStartsBesideOthersHearsThemBeforeItReadsThePlatform)
{
    this->state.self.seeds = { { "2", 1 } };
    EXPECT_FALSE(readsPlatform(this->state, this->now));
    this->advance(std::chrono::milliseconds(700));
    EXPECT_TRUE(readsPlatform(this->state, this->now)) << "it has heard nobody";
    this->state.self.seeds.clear();
    this->state.startedAt = this->now;
    EXPECT_TRUE(readsPlatform(this->state, this->now)) << "there is nobody to hear";
}

TEST_F(FleetExchangeTest, AHostWithoutConfigurationReadsThePlatform)
{
    EXPECT_TRUE(readsPlatform(this->state, this->now));
}

/// Returns the position up to which \a answer to \a request claims to be complete.
StorePosition completeUpTo(const Actions &answer, const Gossip &request)
{
    StorePosition upTo = request.position;
    for (const SendGossip &sent : answer.gossip) {
        for (const PublishedChanges &changes : sent.message->changes)
            upTo = std::max(upTo, changes.upTo);
    }
    return upTo;
}

// Guards against a host that joined after an upstream was deleted sending its changes as complete:
// the receivers would keep sending requests to the upstream.
TEST_F(FleetExchangeTest, HostThatJoinedLaterClaimsNoEarlierChanges)
{
    constexpr std::uint64_t joinedAt = 50;
    applyListing(this->state.published, { { "a", at(joinedAt - 2), false, "1" } }, at(joinedAt),
                 this->now);
    Gossip request = this->messageOf(3);
    request.wantsChanges = true;
    request.position = at(joinedAt - 10);
    EXPECT_EQ(completeUpTo(this->take(request), request), request.position);
    applyEvents(this->state.published,
                { at(joinedAt), at(joinedAt + 5), { { "a", at(joinedAt + 5), false, "2" } } },
                this->now);
    request.position = at(joinedAt);
    EXPECT_EQ(completeUpTo(this->take(request), request), at(joinedAt + 5));
    request.position = {};
    EXPECT_EQ(completeUpTo(this->take(request), request), at(joinedAt + 5));
}

// Guards against a host that read a new listing, because the platform dropped its history, sending
// its changes as complete: upstreams created and deleted in between would never be removed at the
// receivers.
TEST_F(FleetExchangeTest, HostThatListedAgainClaimsNoChangesInTheGap)
{
    applyListing(this->state.published, { { "a", at(8), false, "1" } }, at(10), this->now);
    applyListing(this->state.published, { { "a", at(38), false, "2" } }, at(40), this->now);
    Gossip request = this->messageOf(3);
    request.wantsChanges = true;
    request.position = at(30);
    EXPECT_EQ(completeUpTo(this->take(request), request), request.position);
    request.position = at(10);
    EXPECT_EQ(completeUpTo(this->take(request), request), at(40))
            << "the host knows the deletions that it found itself";
}

// Guards against hosts that the platform rejects and that keep an old configuration, because all
// others have read new listings and none can send them every change.
TEST_F(FleetExchangeTest, HostSendsNewestChangesIfItCannotSendAll)
{
    applyListing(this->state.published, { { "a", at(38), false, "2" } }, at(40), this->now);
    Gossip request = this->messageOf(3);
    request.wantsChanges = true;
    request.position = at(30);
    request.newestChange = at(29);
    const Actions answer = this->take(request);
    ASSERT_EQ(answer.gossip.size(), 1U);
    PublishedState asker;
    applyListing(asker, { { "a", at(29), false, "1" }, { "b", at(20), false, "1" } }, at(30),
                 this->now);
    EXPECT_EQ(applyChanges(asker, answer.gossip.front().message->changes.front(), {}, this->now)
                      .size(),
              1U);
    EXPECT_EQ(asker.items.at("a").position, at(38));
    EXPECT_EQ(asker.position, at(30)) << "the requester stays behind and keeps requesting";
    request.newestChange = at(38);
    EXPECT_TRUE(this->take(request).gossip.empty())
            << "the requester already has the newest change";
}

// Guards against an idle host of a large fleet spending its processor time on engines where nothing
// is due.
TEST_F(FleetExchangeTest, IdleHostChecksOnlyEnginesWithDueWork)
{
    Configuration configuration;
    configuration.version = 1;
    Service service;
    service.id.value = "engines";
    service.engine = EngineLimits{};
    configuration.services.push_back(service);
    setConfiguration(this->state, configuration);
    constexpr int engines = 240;
    Gossip update = this->messageOf(3);
    for (int engine = 0; engine < engines; ++engine) {
        ListedUpstream listed;
        listed.id.value = "e" + std::to_string(engine);
        listed.service.value = "engines";
        listed.zone.value = "z1";
        listUpstream(this->state, listed, this->now);
        update.engines.push_back({ listed.id, {} });
        update.engines.back().state.models = { "base" };
    }
    this->advance(std::chrono::seconds(1));
    const std::uint64_t before = this->state.counters.enginePolls;
    constexpr int seconds = 10;
    for (int second = 0; second < seconds; ++second) {
        for (EngineUpdate &one : update.engines)
            one.state.seenAt = this->now;
        this->take(update);
        this->advance(std::chrono::seconds(1));
    }
    EXPECT_LT(this->state.counters.enginePolls - before, engines * seconds);
}

} // namespace
} // namespace azurewell::gateway
