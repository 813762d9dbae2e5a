#include "azurewell/gateway/adapter_uses.h"
#include "azurewell/gateway/gossip_codec.h"
#include "azurewell/gateway/published.h"
#include "store_positions.h"

#include <gtest/gtest.h>

#include <random>

namespace azurewell::gateway {
namespace {

constexpr Instant now{ 5'000'000'000 };

PublishedItem item(const std::string &key, std::uint64_t revision, const std::string &value)
{
    return { key, at(revision), false, value };
}

TEST(PublishedState, NeverGoesBackToAnOlderRevision)
{
    // Guards against a withdrawn key that works again because a host receives a change from another
    // host and then reads a stale answer of the platform.
    PublishedState state;
    applyChanges(state, { {}, at(9), { item("k", 9, "new") } }, {}, now);
    EXPECT_TRUE(applyChanges(state, { {}, at(9), { item("k", 7, "old") } }, {}, now).empty());
    EXPECT_EQ(state.items["k"].value, "new");
}

TEST(PublishedState, IsCompleteOnlyUpToTheFirstPageOfAListing)
{
    // Guards against missing a change between two pages of a listing: if the listing counted as
    // complete up to the newest item, the watch would begin after the change and never report it.
    PublishedState state;
    applyListing(state, { item("a", 3, "1"), item("z", 12, "2") }, at(10), now);
    EXPECT_EQ(state.position, at(10));
}

TEST(PublishedState, ListingDeletesMissingItems)
{
    PublishedState state;
    applyListing(state, { item("a", 3, "1"), item("b", 4, "2") }, at(5), now);
    const std::vector<PublishedItem> changed = applyListing(state, { item("a", 3, "1") }, at(9),
                                                            now);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed.front().key, "b");
    EXPECT_TRUE(changed.front().isDeleted);
}

TEST(PublishedState, SendsMissingChangesToAnotherHost)
{
    PublishedState state;
    applyListing(state, { item("a", 3, "1"), item("b", 8, "2") }, at(10), now);
    const PublishedChanges changes = changesAfter(state, at(5));
    ASSERT_EQ(changes.items.size(), 1U);
    PublishedState other;
    applyListing(other, { item("a", 3, "1") }, at(5), now);
    EXPECT_EQ(applyChanges(other, changes, {}, now).size(), 1U);
    EXPECT_EQ(other.position, at(10));
}

// Guards against never using an upstream again after its entry expired and was restored unchanged.
TEST(PublishedState, EntryDeletedAndRestoredInOneSeriesIsKept)
{
    PublishedState state;
    applyListing(state, { item("upstream", 3, "1"), item("other", 4, "2") }, at(5), now);
    const auto hasChanged = [&state](const PublishedItem &next) {
        return next.isDeleted || state.items[next.key].value != next.value;
    };
    PublishedChanges changes{ at(5), at(9), {} };
    changes.items = { { "upstream", at(6), true, {} },
                      item("other", 7, "2"),
                      item("upstream", 8, "1") };
    removeUnchanged(changes.items, hasChanged);
    applyChanges(state, changes, {}, now);
    EXPECT_FALSE(state.items["upstream"].isDeleted);
    EXPECT_EQ(state.items["other"].position, at(4));
}

// Guards against hosts that all read a new listing at once and then cannot send changes to any
// other host.
TEST(PublishedState, KnowsDeletionsOfEarlierItemsAcrossAListing)
{
    PublishedState state;
    applyListing(state, { item("a", 3, "1"), item("b", 4, "2") }, at(10), now);
    applyListing(state, { item("a", 3, "1") }, at(20), now);
    EXPECT_FALSE(isCompleteAfter(state, at(9)));
    EXPECT_TRUE(isCompleteAfter(state, at(10)));
    EXPECT_FALSE(isCompleteAfter(state, at(15)))
            << "items created and deleted within the gap are unknown";
    EXPECT_TRUE(isCompleteAfter(state, at(20)));
    const PublishedChanges changes = changesAfter(state, at(10));
    ASSERT_EQ(changes.items.size(), 1U);
    EXPECT_TRUE(changes.items.front().isDeleted);
}

// Guards against a host that has received the first part of another host's state and sends it on as
// if it were complete.
TEST(PublishedState, IsCompleteSinceTheFirstSendersRevision)
{
    PublishedState state;
    applyChanges(state, { {}, at(7), { item("a", 7, "1") } }, at(50), now);
    applyChanges(state, { at(7), at(30), { item("b", 30, "1") } }, at(50), now);
    EXPECT_FALSE(isCompleteAfter(state, at(30)));
    applyListing(state, { item("a", 7, "1") }, at(60), now);
    EXPECT_FALSE(isCompleteAfter(state, at(30))) << "the state before the listing was incomplete";
    EXPECT_TRUE(isCompleteAfter(state, at(60)));
}

TEST(PublishedState, RejectsChangesAfterAGap)
{
    PublishedState state;
    EXPECT_TRUE(applyChanges(state, { at(5), at(9), { item("k", 9, "v") } }, {}, now).empty());
    EXPECT_EQ(state.position, StorePosition{});
}

TEST(AdapterUses, AreSentUntilTheyEnd)
{
    OwnUses uses;
    const AdapterPlace place{ UpstreamId{ "e" }, { "m", "a" } };
    beginUse(uses, place);
    beginUse(uses, place);
    std::vector<AdapterUse> sent = takeUnreported(uses, place.first);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_TRUE(sent.front().isRunning);
    EXPECT_EQ(sent.front().begun, 2U);
    endUse(uses, place);
    endUse(uses, place);
    sent = takeUnreported(uses, place.first);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_FALSE(sent.front().isRunning);
    EXPECT_TRUE(takeUnreported(uses, place.first).empty());
}

TEST(AdapterUses, OfUnreachableHostExpire)
{
    // Guards against an adapter that can never be evicted because a host that used it has crashed.
    RemoteUses uses;
    const AdapterRef adapter{ "m/a" };
    recordRemoteUse(uses, adapter, HostId{ "h1" }, true, minHeartbeatInterval, now);
    EXPECT_TRUE(isUsedElsewhere(uses, adapter, now + std::chrono::milliseconds(400)));
    EXPECT_FALSE(isUsedElsewhere(uses, adapter, now + std::chrono::milliseconds(900)));
}

Gossip fullMessage()
{
    Gossip message;
    message.from.value = "h1";
    message.zone.value = "z";
    message.address = { "10.0.0.1", 7600 };
    message.incarnation.value = 5;
    message.position = at(77);
    message.heardAgo = std::chrono::milliseconds(120);
    message.members.push_back({ HostId{ "h2" },
                                ZoneId{ "z" },
                                { "10.0.0.2", 7600 },
                                Incarnation{ 3 },
                                std::chrono::milliseconds(40) });
    message.uses.push_back({ CustomerId{ "c" }, 1000.5, 200 });
    EngineUpdate update;
    update.engine.value = "e";
    update.state.seenAt = now - std::chrono::milliseconds(100);
    update.state.ordersTaken = 9;
    update.state.models = { "m" };
    update.state.ready = { { { "m", "a" }, 2 } };
    update.isOrdering = true;
    message.engines.push_back(update);
    message.adapterUses.push_back({ UpstreamId{ "e" }, { "m", "a" }, true, 3 });
    message.promptWork.push_back({ UpstreamId{ "e" }, 1800 });
    message.loadRequests.push_back({ UpstreamId{ "e" }, { "m", "b" } });
    message.loadRefusals.push_back({ UpstreamId{ "e" }, { "m", "b" }, true });
    message.changes.push_back({ at(70), at(77), { item("k", 77, "v") } });
    return message;
}

TEST(GossipCodec, RoundTrips)
{
    const Result<Gossip> read = decodeGossip(encodeGossip(fullMessage(), now), now);
    ASSERT_TRUE(read);
    const Gossip &message = read.value();
    EXPECT_EQ(message.from, HostId{ "h1" });
    EXPECT_EQ(message.heardAgo, std::chrono::milliseconds(120));
    EXPECT_EQ(message.members.front().silentFor, std::chrono::milliseconds(40));
    EXPECT_DOUBLE_EQ(message.uses.front().inWindow, 200);
    EXPECT_EQ(message.engines.front().state.seenAt, now - std::chrono::milliseconds(100));
    EXPECT_EQ(message.engines.front().state.findReady({ "m", "a" })->version, 2U);
    EXPECT_TRUE(message.engines.front().isOrdering);
    EXPECT_TRUE(message.adapterUses.front().isRunning);
    EXPECT_TRUE(message.loadRefusals.front().isStoreBusy);
    EXPECT_EQ(message.changes.front().items.front().value, "v");
}

TEST(GossipCodec, HandlesCorruptDatagrams)
{
    // Guards against a decoder that trusts a length in a forged datagram and exhausts memory.
    std::mt19937 random(7);
    const std::string good = encodeGossip(fullMessage(), now);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = good;
        for (int change = 0; change < 1 + round % 5; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        const Result<Gossip> read = decodeGossip(bytes, now);
        if (!read) {
            EXPECT_EQ(read.error().code, ResultCode::MessageInvalid);
        }
    }
}

} // namespace
} // namespace azurewell::gateway
