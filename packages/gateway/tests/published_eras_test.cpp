#include "azurewell/gateway/gossip_codec.h"
#include "azurewell/gateway/published.h"
#include "store_positions.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

constexpr Instant lostAt{ 100'000'000 };
constexpr Instant afterHolds = lostAt + std::chrono::seconds(6);

/// A position in the history that began when the store came back from an older copy.
constexpr StorePosition later(std::uint64_t revision)
{
    return { 2, revision };
}

PublishedItem item(const StorePosition &position, const std::string &value)
{
    return { "k", position, false, value };
}

/// Values compare as text, except that those which begin with '?' do not tell which is newer.
ContentOrder compareText(const PublishedItem &known, const PublishedItem &next)
{
    if (known.value == next.value)
        return ContentOrder::Same;
    if (known.value.starts_with('?') || next.value.starts_with('?'))
        return ContentOrder::Unknown;
    return next.value < known.value ? ContentOrder::Older : ContentOrder::Newer;
}

/// A host that knows one item up to revision 90 of the first era.
PublishedState knowing(const std::string &value)
{
    PublishedState state;
    state.compare = compareText;
    applyListing(state, { item(at(80), value) }, at(90), lostAt);
    return state;
}

// Guards against changes that are dropped as old because the store came back from an older copy and
// gives out lower revisions.
TEST(PublishedEras, AChangeOfANewEraIsTakenWhateverItsRevisionIs)
{
    PublishedState state = knowing("v3");
    applyListing(state, { item(later(40), "v3") }, later(50), lostAt);
    EXPECT_EQ(applyEvents(state, { {}, later(51), { item(later(51), "v4") } }, lostAt).size(), 1U);
    EXPECT_EQ(state.items["k"].value, "v4");
    EXPECT_EQ(state.position, later(51));
}

// Guards against a configuration that goes back to an earlier version because the copy holds it.
TEST(PublishedEras, AnOlderContentNeverReplacesAKnownOne)
{
    PublishedState state = knowing("v3");
    EXPECT_TRUE(applyListing(state, { item(later(40), "v1") }, later(50), lostAt).empty());
    EXPECT_TRUE(applyEvents(state, { {}, later(51), { item(later(51), "v2") } }, lostAt).empty());
    EXPECT_TRUE(endHolds(state, afterHolds).empty());
    EXPECT_EQ(state.items["k"].value, "v3");
    EXPECT_TRUE(state.held.empty());
}

// Guards against an upstream that is lost from use, although it serves, because its entry is not
// written again yet.
TEST(PublishedEras, AMissingItemStaysUntilItIsWrittenAgainOrItsTimeIsOver)
{
    PublishedState state = knowing("v3");
    EXPECT_TRUE(applyListing(state, {}, later(50), lostAt).empty());
    EXPECT_TRUE(endHolds(state, lostAt + std::chrono::seconds(1)).empty());
    PublishedState confirmed = state;
    EXPECT_EQ(applyEvents(confirmed, { {}, later(51), { item(later(51), "v4") } }, lostAt).size(),
              1U);
    EXPECT_TRUE(endHolds(confirmed, afterHolds).empty());
    EXPECT_EQ(endHolds(state, afterHolds).size(), 1U);
    EXPECT_TRUE(state.items["k"].isDeleted);
}

// Guards against the hold of an item that was written again unchanged.
TEST(PublishedEras, AnItemWrittenAgainUnchangedIsKept)
{
    PublishedState state = knowing("v3");
    applyListing(state, {}, later(50), lostAt);
    applyEvents(state, { {}, later(51), { item(later(51), "v3") } }, lostAt);
    EXPECT_TRUE(endHolds(state, afterHolds).empty());
    EXPECT_FALSE(state.items["k"].isDeleted);
}

// Guards against a removed item, such as the request to evacuate a zone, that returns with the
// copy.
TEST(PublishedEras, ADeletedItemOfTheCopyStaysDeletedWhileItMayBeDeletedAgain)
{
    PublishedState state = knowing("?a");
    applyEvents(state, { {}, at(95), { { "k", at(95), true, {} } } }, lostAt);
    EXPECT_TRUE(applyListing(state, { item(later(80), "?a") }, later(92), lostAt).empty());
    EXPECT_TRUE(state.items["k"].isDeleted);
    EXPECT_EQ(endHolds(state, afterHolds).size(), 1U) << "nobody has deleted it again";
}

// Guards against a listing of the new era that deletes what the first one has held.
TEST(PublishedEras, ASecondListingKeepsWhatIsHeld)
{
    PublishedState state = knowing("v3");
    applyListing(state, {}, later(50), lostAt);
    EXPECT_TRUE(applyListing(state, {}, later(60), lostAt).empty());
    EXPECT_FALSE(state.items["k"].isDeleted);
}

// Guards against a host that starts after the loss and serves by the copy, although others know
// what was confirmed.
TEST(PublishedEras, AHostThatStartsAfterTheLossTakesHeldItemsFromOthers)
{
    PublishedState state = knowing("v3");
    applyListing(state, { item(later(40), "v1") }, later(50), lostAt);
    PublishedState joined;
    joined.compare = compareText;
    applyListing(joined, { item(later(40), "v1") }, later(55), lostAt);
    EXPECT_GT(joined.heldMessagesWanted, 0U);
    EXPECT_EQ(applyChanges(joined, heldChanges(state, joined.position), {}, lostAt).size(), 1U);
    EXPECT_EQ(joined.items["k"].value, "v3");
    EXPECT_EQ(joined.position, later(55));
}

// Guards against hosts that compare revisions of two histories.
TEST(PublishedEras, AHostOfAnOlderEraIsNeverAhead)
{
    PublishedState state = knowing("v3");
    applyListing(state, { item(later(40), "v4") }, later(50), lostAt);
    EXPECT_TRUE(
            applyChanges(state, { at(90), at(99), { item(at(99), "v9") } }, {}, lostAt).empty());
    EXPECT_EQ(state.position, later(50));
}

// Guards against all hosts that list at the same moment, and against listings on calm days.
TEST(PublishedEras, EachHostListsOnceWithinTheFirstSecondOfANewEra)
{
    PublishedState state = knowing("v3");
    EXPECT_FALSE(needsListing(state, 0, afterHolds));
    applyChanges(state, { at(90), later(50), { item(later(50), "v4") } }, {}, lostAt);
    EXPECT_FALSE(needsListing(state, 900'000, lostAt));
    EXPECT_TRUE(needsListing(state, 900'000, lostAt + std::chrono::seconds(1)));
    applyListing(state, { item(later(50), "v4") }, later(50), lostAt);
    EXPECT_FALSE(needsListing(state, 900'000, lostAt + std::chrono::seconds(1)));
}

TEST(PublishedEras, PassBetweenHosts)
{
    Gossip message;
    message.position = later(77);
    message.newestChange = at(95);
    message.holdsItems = true;
    message.wantsHeld = true;
    message.changes.push_back({ at(70), later(77), { item(later(77), "v") }, true });
    message.itemParts.push_back({ at(70), later(77), "k", at(75), 0, 1, "x", true });
    const Result<Gossip> read = decodeGossip(encodeGossip(message, lostAt), lostAt);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().position, later(77));
    EXPECT_EQ(read.value().newestChange, at(95));
    EXPECT_TRUE(read.value().holdsItems);
    EXPECT_TRUE(read.value().wantsHeld);
    EXPECT_EQ(read.value().changes.front().after, at(70));
    EXPECT_EQ(read.value().changes.front().upTo, later(77));
    EXPECT_TRUE(read.value().changes.front().isHeld);
    EXPECT_EQ(read.value().changes.front().items.front().position, later(77));
    EXPECT_EQ(read.value().itemParts.front().position, at(75));
    EXPECT_TRUE(read.value().itemParts.front().isHeld);
}

} // namespace
} // namespace azurewell::gateway
