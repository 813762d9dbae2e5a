#include "azurewell/scheduling/urgency_queue.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

WaitingRequest requestOf(const std::string &customer, int number, std::int64_t cost = 1000)
{
    WaitingRequest request;
    request.request = RequestId{ customer + std::to_string(number) };
    request.requester = HostId{ "host" };
    request.customer = CustomerId{ customer };
    request.cost = Tokens{ cost };
    request.deadline = Instant{ 1'000'000 };
    request.latestStart = request.deadline;
    return request;
}

} // namespace

// Guards against a FIFO order of levels.
TEST(UrgencyQueue, MoreUrgentLevelComesFirst)
{
    UrgencyQueue queue;
    enqueue(queue, Priority{ 5 }, requestOf("a", 0));
    enqueue(queue, Priority{ 0 }, requestOf("b", 0));
    ASSERT_NE(peekNext(queue), nullptr);
    EXPECT_EQ(peekNext(queue)->customer, CustomerId{ "b" });
    EXPECT_EQ(takeNext(queue)->customer, CustomerId{ "b" });
    EXPECT_EQ(takeNext(queue)->customer, CustomerId{ "a" });
    EXPECT_EQ(peekNext(queue), nullptr);
    EXPECT_FALSE(takeNext(queue));
}

// Guards against credit for the past: a level that was idle must not be granted before more urgent
// ones for shares that it did not use.
TEST(UrgencyQueue, IdleLevelKeepsNoOverdueShare)
{
    UrgencyQueue queue;
    queue.rate = TokenRate{ 1000 };
    queue.levels[5].minimumShare = 0.1;
    enqueue(queue, Priority{ 5 }, requestOf("a", 0));
    for (int number = 0; number < 2; ++number) {
        enqueue(queue, Priority{ 0 }, requestOf("b", number));
        takeNext(queue);
    }
    EXPECT_GT(queue.levels[5].overdueTokens, 0);
    EXPECT_TRUE(remove(queue, HostId{ "host" }, RequestId{ "a0" }));
    EXPECT_EQ(queue.levels[5].overdueTokens, 0);
}

// Guards against starvation when more urgent levels queue more than was estimated on arrival.
TEST(UrgencyQueue, OverdueLevelIsGrantedFirst)
{
    UrgencyQueue queue;
    queue.rate = TokenRate{ 1000 };
    queue.levels[5].minimumShare = 0.1;
    enqueue(queue, Priority{ 5 }, requestOf("a", 0));
    bool isGranted = false;
    for (int number = 0; number < 10 && !isGranted; ++number) {
        enqueue(queue, Priority{ 0 }, requestOf("b", number));
        const CustomerId next = peekNext(queue)->customer;
        isGranted = takeNext(queue)->customer == CustomerId{ "a" };
        EXPECT_EQ(next == CustomerId{ "a" }, isGranted);
    }
    EXPECT_TRUE(isGranted);
}

// Guards against a prompt of another host being removed in place of the right one.
TEST(UrgencyQueue, RemovesByRequesterAndRequest)
{
    UrgencyQueue queue;
    enqueue(queue, Priority{ 5 }, requestOf("a", 0));
    EXPECT_FALSE(remove(queue, HostId{ "other" }, RequestId{ "a0" }));
    EXPECT_TRUE(remove(queue, HostId{ "host" }, RequestId{ "a0" }));
    EXPECT_EQ(queue.size, 0U);
}

// Guards against prompts of a lost host that stay in the queue.
TEST(UrgencyQueue, ExpiredPromptsAreRemoved)
{
    UrgencyQueue queue;
    WaitingRequest first = requestOf("a", 0);
    first.latestStart = Instant{ 500'000 };
    enqueue(queue, Priority{ 5 }, first);
    enqueue(queue, Priority{ 0 }, requestOf("b", 0));
    EXPECT_TRUE(takeExpired(queue, Instant{ 499'999 }).empty());
    EXPECT_EQ(takeExpired(queue, Instant{ 500'000 }).size(), 1U);
    EXPECT_EQ(takeExpired(queue, Instant{ 1'000'000 }).size(), 1U);
    EXPECT_EQ(queue.size, 0U);
}

// Guards against memory that follows the load, and a burst that displaces prompts of others.
TEST(UrgencyQueue, FullQueueDropsLeastUrgentPromptOfLargestCustomer)
{
    UrgencyQueue queue;
    enqueue(queue, Priority{ 5 }, requestOf("small", 0));
    for (std::size_t number = 1; number < maxWaitingPrompts; ++number)
        enqueue(queue, Priority{ 5 }, requestOf("large", static_cast<int>(number)));
    const std::optional<WaitingRequest> dropped = enqueue(queue, Priority{ 0 },
                                                          requestOf("urgent", 0));
    ASSERT_TRUE(dropped);
    EXPECT_EQ(dropped->request, RequestId{ "large" + std::to_string(maxWaitingPrompts - 1) });
    EXPECT_EQ(queue.size, maxWaitingPrompts);
}

// Guards against prompts that are queued although they can't be granted in time.
TEST(UrgencyQueue, RejectsWhatWouldBeTooLate)
{
    UrgencyQueue queue;
    const EngineCapacity engine{ TokenRate{ 1000 }, 1 };
    for (int number = 0; number < 3; ++number)
        enqueue(queue, Priority{ 0 }, requestOf("a", number));
    EXPECT_GE(tokensAhead(queue, Priority{ 5 }, CustomerId{ "b" }, 1), 3000);
    EXPECT_EQ(offer(queue, Priority{ 5 }, requestOf("b", 0), engine, Instant{ 0 }).verdict,
              OfferVerdict::TooLate);
}
