#include "azurewell/http/held_body.h"

#include <gtest/gtest.h>

#include <malloc.h>
#include <vector>

namespace azurewell {
namespace {

constexpr std::size_t longestBlock = 64ULL * 1024;

/// Bytes of the heap in use; 0 under a sanitizer.
std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct Growth
{
    std::size_t pieceBytes;
    std::size_t pieces;
};

class HeldBodyGrowth : public testing::TestWithParam<Growth>
{
};

} // namespace

// Guards against bodies that take up to twice the memory that they are counted with.
TEST_P(HeldBodyGrowth, IsCountedAsAllocated)
{
    const auto &[pieceBytes, pieces] = GetParam();
    const std::string piece(pieceBytes, 'x');
    std::vector<HeldBody> bodies(16);
    const std::size_t before = heapBytes();
    std::size_t counted = 0;
    std::size_t reported = 0;
    for (HeldBody &body : bodies) {
        for (std::size_t i = 0; i < pieces; ++i)
            reported += body.append(piece);
        counted += body.allocatedBytes();
        EXPECT_EQ(body.size(), pieceBytes * pieces);
        EXPECT_LE(body.allocatedBytes(), body.size() + longestBlock);
    }
    EXPECT_EQ(reported, counted);
    EXPECT_LE(heapBytes(), before + counted + counted / 20);
    for (HeldBody &body : bodies)
        body.clear();
    EXPECT_LE(heapBytes(), before + longestBlock);
}

// The last pieces exceed a power of two, where the capacity of a string that grows is largest.
INSTANTIATE_TEST_SUITE_P(Pieces, HeldBodyGrowth,
                         testing::Values(Growth{ 16ULL * 1024, 33 }, Growth{ 4, 132ULL * 1024 },
                                         Growth{ 600'000, 1 }),
                         [](const auto &testInfo) {
                             return std::to_string(testInfo.param.pieceBytes) + "Bytes";
                         });

// Guards against a body that takes a whole block although it is short, as most are.
TEST(HeldBody, TakesLittleIfShort)
{
    HeldBody body;
    body.append("done");
    EXPECT_LE(body.allocatedBytes(), 1024U);
}

// Guards against bytes that are lost or exchanged where blocks meet.
TEST(HeldBody, IsTakenAsItCame)
{
    HeldBody body;
    std::string sent;
    for (std::size_t i = 1; sent.size() < 5 * longestBlock; i = i * 3 / 2 + 1) {
        const std::string piece(i, static_cast<char>('a' + sent.size() % 26));
        sent += piece;
        body.append(piece);
    }
    EXPECT_EQ(body.take(), sent);
    EXPECT_EQ(body.size() + body.allocatedBytes(), 0U);
    body.append("again");
    EXPECT_EQ(body.take(), "again");
}

} // namespace azurewell
