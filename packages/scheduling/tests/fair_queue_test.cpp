#include "azurewell/scheduling/fair_queue.h"

#include <gtest/gtest.h>

#include <map>

using namespace azurewell;

namespace {

WaitingRequest requestOf(const std::string &customer, int number, std::int64_t cost = 100)
{
    WaitingRequest request;
    request.request = RequestId{ customer + std::to_string(number) };
    request.customer = CustomerId{ customer };
    request.cost = Tokens{ cost };
    request.deadline = Instant{ 1'000'000 };
    request.latestStart = request.deadline;
    return request;
}

bool anyMayRun(const AdapterRef &)
{
    return true;
}

} // namespace

// Guards against starvation: a customer's first request must not wait behind a hundred earlier
// requests of another customer.
TEST(FairQueue, HotCustomerDoesNotDelayAnother)
{
    FairQueue queue;
    for (int number = 0; number < 100; ++number)
        enqueue(queue, requestOf("hot", number));
    takeNext(queue, anyMayRun);
    enqueue(queue, requestOf("quiet", 0));
    EXPECT_EQ(takeNext(queue, anyMayRun)->customer, CustomerId{ "quiet" });
}

// Guards against an advantage for long requests: customers get equal numbers of tokens, not of
// requests.
TEST(FairQueue, ServiceIsCountedInTokens)
{
    FairQueue queue;
    for (int number = 0; number < 200; ++number) {
        enqueue(queue, requestOf("long", number, 1000));
        enqueue(queue, requestOf("short", number, 100));
    }
    std::map<std::string, std::int64_t> tokens;
    for (int taken = 0; taken < 110; ++taken) {
        const WaitingRequest request = *takeNext(queue, anyMayRun);
        tokens[request.customer.value] += request.cost.count;
    }
    EXPECT_NEAR(static_cast<double>(tokens["long"]), static_cast<double>(tokens["short"]), 1000.0);
}

TEST(FairQueue, IdleCustomerGetsNoCredit)
{
    FairQueue queue;
    for (int number = 0; number < 50; ++number)
        enqueue(queue, requestOf("busy", number));
    for (int taken = 0; taken < 20; ++taken)
        takeNext(queue, anyMayRun);
    for (int number = 0; number < 50; ++number)
        enqueue(queue, requestOf("returning", number));
    int returning = 0;
    for (int taken = 0; taken < 20; ++taken)
        returning += takeNext(queue, anyMayRun)->customer == CustomerId{ "returning" } ? 1 : 0;
    EXPECT_NEAR(returning, 10, 1);
}

TEST(FairQueue, ExpiredRequestsAreRemoved)
{
    FairQueue queue;
    enqueue(queue, requestOf("a", 0));
    EXPECT_TRUE(takeExpired(queue, Instant{ 999'999 }).empty());
    EXPECT_EQ(takeExpired(queue, Instant{ 1'000'000 }).size(), 1U);
    EXPECT_EQ(queue.size, 0U);
}
