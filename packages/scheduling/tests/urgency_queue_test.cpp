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
