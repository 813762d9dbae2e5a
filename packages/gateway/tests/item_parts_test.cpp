#include "azurewell/gateway/item_parts.h"

#include "store_positions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace azurewell::gateway {
namespace {

PublishedChanges changesOf(std::uint64_t revision, std::size_t bytes)
{
    std::mt19937 random(static_cast<std::uint32_t>(revision)); // random bytes do not compress
    std::string value(bytes, 'a');
    for (std::size_t offset = 0; offset < bytes; ++offset)
        value[offset] = static_cast<char>(random());
    return { at(3), at(9), { { "k", at(revision), false, value } } };
}

std::vector<ItemPart> partsOf(const PublishedChanges &changes)
{
    PackedItem packed;
    packItem(packed, changes.items.front());
    return splitItem(changes, packed);
}

// Guards against saturating the links of small hosts with configurations.
TEST(ItemParts, AreCompressedAndPacedByLinkSpeed)
{
    const PublishedChanges changes{ at(3),
                                    at(9),
                                    { { "k", at(7), false, std::string(300'000, 'x') } } };
    EXPECT_EQ(partsOf(changes).size(), 1U);
    EXPECT_EQ(linkPauseAfter(125'000, 10), Span(std::chrono::milliseconds(200)));
}

// Guards against memory that grows with forged keys.
TEST(ItemParts, NumberOfPartialItemsIsBounded)
{
    PartialItems partial;
    for (int key = 0; key < 100; ++key)
        addPart(partial,
                { {}, at(1), std::to_string(key), at(1), 0, 20'000, std::string(16'384, 'x') });
    EXPECT_LE(partial.byKey.size(), 4U);
}

// Guards against bytes that are not a packed value.
TEST(ItemParts, InvalidPackedValueIsDropped)
{
    PartialItems partial;
    const std::string junk(1000, 'j');
    EXPECT_FALSE(addPart(partial, { {}, at(1), "k", at(1), 0, junk.size(), junk }));
    EXPECT_FALSE(addPart(partial, { {}, at(1), "k", at(1), 0, 2, "xx" }));
    EXPECT_TRUE(partial.byKey.empty());
}

TEST(ItemParts, AssembleInAnyOrderWithDuplicates)
{
    const PublishedChanges changes = changesOf(7, 100'000);
    std::vector<ItemPart> parts = partsOf(changes);
    std::reverse(parts.begin(), parts.end());
    PartialItems partial;
    for (std::size_t part = 1; part < parts.size(); ++part) {
        EXPECT_FALSE(addPart(partial, parts[part]));
        EXPECT_FALSE(addPart(partial, parts[part])) << "duplicate part";
    }
    const std::optional<PublishedChanges> whole = addPart(partial, parts.front());
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->items.front().value, changes.items.front().value);
    EXPECT_TRUE(partial.byKey.empty());
}

// Guards against a value assembled from parts of two revisions.
TEST(ItemParts, OfTwoRevisionsAreNotMixed)
{
    const std::vector<ItemPart> older = partsOf(changesOf(7, 40'000));
    const std::vector<ItemPart> newer = partsOf(changesOf(8, 40'000));
    PartialItems partial;
    addPart(partial, older[0]);
    addPart(partial, newer[1]);
    EXPECT_FALSE(addPart(partial, older[2]));
    EXPECT_FALSE(addPart(partial, newer[2]));
    const std::optional<PublishedChanges> whole = addPart(partial, newer[0]);
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->items.front().value, changesOf(8, 40'000).items.front().value);
}

// Guards against forged datagrams that claim a huge size or write past the end of the value.
TEST(ItemParts, InconsistentPartsAreDropped)
{
    PartialItems partial;
    EXPECT_FALSE(
            addPart(partial, { {}, at(1), "k", at(1), 0, 1ULL << 40U, std::string(16'384, 'x') }));
    EXPECT_FALSE(
            addPart(partial, { {}, at(1), "k", at(1), 16'384, 20'000, std::string(16'384, 'x') }));
    EXPECT_FALSE(addPart(partial, { {}, at(1), "k", at(1), 7, 20'000, "x" }));
    EXPECT_FALSE(addPart(partial, { {}, at(1), "k", at(1), 0, 0, {} }));
    EXPECT_TRUE(partial.byKey.empty());
}

} // namespace
} // namespace azurewell::gateway
