#include "azurewell/gateway/configuration.h"
#include "azurewell/gateway/gossip_codec.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace azurewell::gateway {
namespace {

constexpr Instant now{ 1'000'000'000 };

/// Routes and customers of one service, with the given priorities.
Configuration configurationOf(const std::vector<std::optional<Priority>> &ofRoutes,
                              const std::vector<std::optional<Priority>> &ofCustomers)
{
    Configuration configuration;
    for (const std::optional<Priority> &priority : ofRoutes) {
        Route route;
        route.services.push_back({ ServiceId{ "s" }, 1 });
        route.priority = priority;
        configuration.routes.push_back(route);
    }
    for (const std::optional<Priority> &priority : ofCustomers) {
        Customer customer;
        customer.priority = priority;
        configuration.customers.push_back(customer);
    }
    indexPriorities(configuration);
    return configuration;
}

std::optional<Priority> priorityIn(const Configuration &configuration, std::size_t route,
                                   std::size_t customer)
{
    return priorityOf(configuration, configuration.routes[route],
                      &configuration.customers[customer], ServiceId{ "s" });
}

Gossip decoded(const Gossip &message)
{
    const Result<Gossip> result = decodeGossip(encodeGossip(message, now), now);
    EXPECT_TRUE(result);
    return result ? result.value() : Gossip{};
}

// Guards against routes that override what a customer has paid for.
TEST(Priorities, CustomersGoBeforeRoutes)
{
    const Configuration stated = configurationOf({ Priority{ 0 }, Priority{ 2 } },
                                                 { Priority{ 1 }, Priority{ 6 } });
    EXPECT_EQ(priorityIn(stated, 0, 0), Priority{ 0 });
    EXPECT_EQ(priorityIn(stated, 1, 0), Priority{ 1 });
    EXPECT_EQ(priorityIn(stated, 0, 1), Priority{ 2 });
    EXPECT_EQ(priorityIn(stated, 1, 1), Priority{ 3 });
}

// Guards against routes whose priorities are hidden, as all customers have the same one.
TEST(Priorities, RoutesAreRankedAmongEqualCustomers)
{
    const Configuration stated = configurationOf({ Priority{ 2 }, Priority{ 0 } },
                                                 { Priority{ 1 }, Priority{ 1 } });
    EXPECT_EQ(priorityIn(stated, 0, 0), Priority{ 1 });
    EXPECT_EQ(priorityIn(stated, 1, 1), Priority{ 0 });
}

// Guards against a missing priority of a customer that counts as the most urgent.
TEST(Priorities, AMissingOneIsTheDefault)
{
    const Configuration stated = configurationOf({ Priority{ 0 } },
                                                 { std::nullopt, Priority{ 4 }, Priority{ 6 } });
    EXPECT_EQ(priorityIn(stated, 0, 1), Priority{ 0 });
    EXPECT_EQ(priorityIn(stated, 0, 0), Priority{ 1 });
    EXPECT_EQ(priorityIn(stated, 0, 2), Priority{ 2 });
}

// Guards against a header that changes the order at engines although there is nothing to order.
TEST(Priorities, OnePriorityIsNotStated)
{
    const Configuration same = configurationOf({ Priority{ 2 } }, { Priority{ 1 } });
    EXPECT_EQ(priorityIn(same, 0, 0), std::nullopt);
    const Configuration none = configurationOf({ std::nullopt, std::nullopt }, { std::nullopt });
    EXPECT_EQ(priorityIn(none, 0, 0), std::nullopt);
}

// Guards against load figures and priorities that are lost between hosts.
TEST(PriorityMessages, KeepOptionalFields)
{
    Gossip message;
    AdmissionRequest ask;
    ask.customer.value = "c";
    ask.priority = Priority{ 0 };
    ask.objectiveLeft = std::chrono::milliseconds(700);
    ask.maxPause = std::chrono::milliseconds(400);
    message.admissionRequests.push_back(ask);
    AdmissionReply reply;
    reply.isQueued = true;
    reply.isUnservable = true;
    message.admissionReplies.push_back(reply);
    message.promptsRead.push_back(
            { UpstreamId{ "e" }, 3, std::chrono::milliseconds(90), true, 2.5 });
    EngineUpdate update;
    update.tokensPerSecond = 22'000;
    update.openPlaces = 0;
    update.unreadTokens = 1110;
    update.slowdown = 1.5;
    message.engines.push_back(update);
    const Gossip out = decoded(message);
    ASSERT_EQ(out.admissionRequests.size(), 1U);
    EXPECT_EQ(out.admissionRequests[0].customer, ask.customer);
    EXPECT_EQ(out.admissionRequests[0].priority, ask.priority);
    EXPECT_EQ(out.admissionRequests[0].objectiveLeft, ask.objectiveLeft);
    EXPECT_EQ(out.admissionRequests[0].maxPause, ask.maxPause);
    ASSERT_EQ(out.admissionReplies.size(), 1U);
    EXPECT_TRUE(out.admissionReplies[0].isQueued);
    EXPECT_TRUE(out.admissionReplies[0].isUnservable);
    ASSERT_EQ(out.promptsRead.size(), 1U);
    EXPECT_EQ(out.promptsRead[0].engine, UpstreamId{ "e" });
    EXPECT_EQ(out.promptsRead[0].request, 3U);
    EXPECT_EQ(out.promptsRead[0].elapsed, std::chrono::milliseconds(90));
    EXPECT_TRUE(out.promptsRead[0].isFailed);
    EXPECT_DOUBLE_EQ(out.promptsRead[0].slowdown, 2.5);
    ASSERT_EQ(out.engines.size(), 1U);
    EXPECT_EQ(out.engines[0].tokensPerSecond, 22'000U);
    EXPECT_EQ(out.engines[0].openPlaces, 0U);
    EXPECT_EQ(out.engines[0].unreadTokens, 1110U);
    EXPECT_DOUBLE_EQ(out.engines[0].slowdown, 1.5);
}

// Guards against messages of old hosts whose missing fields are read as the most urgent priority or
// as no free slots.
TEST(PriorityMessages, MissingFieldsMeanNone)
{
    Gossip message;
    message.admissionRequests.emplace_back();
    message.admissionReplies.emplace_back();
    message.engines.emplace_back();
    const Gossip out = decoded(message);
    ASSERT_EQ(out.admissionRequests.size(), 1U);
    EXPECT_EQ(out.admissionRequests[0].priority, std::nullopt);
    EXPECT_EQ(out.admissionRequests[0].customer, CustomerId{});
    EXPECT_EQ(out.admissionRequests[0].objectiveLeft, Span{});
    EXPECT_EQ(out.admissionRequests[0].maxPause, Span{});
    ASSERT_EQ(out.admissionReplies.size(), 1U);
    EXPECT_FALSE(out.admissionReplies[0].isQueued);
    EXPECT_FALSE(out.admissionReplies[0].isUnservable);
    EXPECT_TRUE(out.promptsRead.empty());
    ASSERT_EQ(out.engines.size(), 1U);
    EXPECT_EQ(out.engines[0].openPlaces, std::nullopt);
    EXPECT_EQ(out.engines[0].tokensPerSecond, 0U);
    EXPECT_EQ(out.engines[0].slowdown, 0);
}

} // namespace
} // namespace azurewell::gateway
