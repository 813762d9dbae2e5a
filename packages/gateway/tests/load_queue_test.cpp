#include "azurewell/gateway/load_queue.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

constexpr Instant start{ 1'000'000 };
const ModelName popular{ "base", "popular" };
const ModelName rare{ "base", "rare" };
const ModelName other{ "base", "other" };

bool request(LoadQueue &queue, const ModelName &adapter, std::size_t maxLength, Instant now)
{
    recordLoadRequest(queue, adapter, now);
    return enqueue(queue, adapter, maxLength, now);
}

// Guards against an adapter that is refused each time, as others are requested more often.
TEST(LoadQueue, ARareAdapterIsQueuedInTheEnd)
{
    LoadQueue queue;
    const Span rareInterval = std::chrono::seconds(4);
    const Span popularInterval = std::chrono::milliseconds(200);
    Instant nextRare = start;
    for (Instant now = start; now < start + std::chrono::seconds(30); now = now + popularInterval) {
        request(queue, popular, 1, now);
        if (now >= nextRare) {
            nextRare = now + rareInterval;
            if (request(queue, rare, 1, now))
                return;
        }
        // The popular adapter gets each slot and loses it again.
        if ((now - start).count() % std::chrono::microseconds(std::chrono::seconds(2)).count() == 0)
            recordServed(queue, popular);
    }
    FAIL() << "never queued";
}

// Guards against loads for callers that have left.
TEST(LoadQueue, ALoadThatNobodyRequestsAnyMoreIsNotOrdered)
{
    LoadQueue queue;
    EXPECT_TRUE(request(queue, rare, 2, start));
    const Instant later = start + std::chrono::milliseconds(500);
    EXPECT_TRUE(request(queue, other, 2, later));
    EXPECT_EQ(queuedLoads(queue, later), std::vector<ModelName>{ other });
}

TEST(LoadQueue, TheLongestTurnedAwayComesFirst)
{
    LoadQueue queue;
    EXPECT_TRUE(request(queue, rare, 2, start));
    const Instant later = start + std::chrono::milliseconds(300);
    EXPECT_TRUE(request(queue, other, 2, later));
    EXPECT_TRUE(request(queue, rare, 2, later));
    EXPECT_FALSE(request(queue, popular, 2, later)) << "it has no claim yet";
    EXPECT_EQ(queuedLoads(queue, later), (std::vector<ModelName>{ rare, other }));
    EXPECT_EQ(countQueued(queue), 2U);
}

TEST(LoadQueue, AShorterQueueDropsTheSmallestClaim)
{
    LoadQueue queue;
    EXPECT_TRUE(request(queue, rare, 2, start));
    const Instant later = start + std::chrono::milliseconds(300);
    EXPECT_TRUE(request(queue, other, 2, later));
    EXPECT_FALSE(request(queue, other, 1, later));
    EXPECT_EQ(queuedLoads(queue, later), std::vector<ModelName>{ rare });
}

TEST(LoadQueue, AServedAdapterStartsAnew)
{
    LoadQueue queue;
    EXPECT_TRUE(request(queue, rare, 1, start));
    recordServed(queue, rare);
    const Instant later = start + std::chrono::milliseconds(300);
    EXPECT_TRUE(request(queue, other, 1, later));
    EXPECT_FALSE(request(queue, rare, 1, later));
}

} // namespace
} // namespace azurewell::gateway
