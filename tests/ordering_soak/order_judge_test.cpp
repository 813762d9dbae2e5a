#include "order_judge.h"

#include <gtest/gtest.h>

namespace azurewell::soak {
namespace {

CarriedOutOrder orderOf(const std::string &owner, std::uint64_t fencing, std::int64_t millis)
{
    CarriedOutOrder order;
    order.at = Instant{ 1'000'000 } + std::chrono::milliseconds(millis);
    order.engine = "e1";
    order.owner = owner;
    order.fencing = fencing;
    order.status = 202;
    return order;
}

std::vector<ViolationKind> kindsOf(const OrderJudge &judge)
{
    std::vector<ViolationKind> kinds;
    for (const Violation &violation : judge.violations)
        kinds.push_back(violation.kind);
    return kinds;
}

// Guards against a check that reports orders which follow the rules.
TEST(OrderJudge, AcceptsATurnAfterTheLease)
{
    OrderJudge judge;
    judge.record(orderOf("a", 10, 0));
    judge.record(orderOf("a", 10, 100));
    judge.record(orderOf("b", 11, 3100));
    EXPECT_TRUE(judge.violations.empty());
    EXPECT_EQ(judge.turns, 1U);
    EXPECT_EQ(judge.lastOwner("e1"), "b");
}

// Guards against a check that misses two hosts which order in turns.
TEST(OrderJudge, ReportsATurnWithinTheLease)
{
    OrderJudge judge;
    judge.record(orderOf("a", 10, 0));
    judge.record(orderOf("b", 11, 2999));
    EXPECT_EQ(kindsOf(judge), std::vector<ViolationKind>{ ViolationKind::EarlyTurn });
}

// Guards against a check that misses a lower number, whoever sends it.
TEST(OrderJudge, ReportsALowerNumberInOneLife)
{
    OrderJudge judge;
    judge.record(orderOf("a", 10, 0));
    judge.record(orderOf("a", 9, 100));
    EXPECT_EQ(kindsOf(judge), std::vector<ViolationKind>{ ViolationKind::LowerNumber });
    judge.restart("e1");
    judge.record(orderOf("a", 5, 9000));
    EXPECT_EQ(judge.violations.size(), 1U);
}

// Guards against a check that misses a number shared by two hosts.
TEST(OrderJudge, ReportsOneNumberOfTwoHosts)
{
    OrderJudge judge;
    judge.record(orderOf("a", 10, 0));
    judge.record(orderOf("b", 10, 4000));
    EXPECT_EQ(kindsOf(judge), std::vector<ViolationKind>{ ViolationKind::SameNumber });
}

// Guards against a check that misses an overfilled engine.
TEST(OrderJudge, ReportsALoadBeyondThePlaces)
{
    OrderJudge judge;
    CarriedOutOrder order = orderOf("a", 10, 0);
    order.isBeyondPlaces = true;
    judge.record(order);
    EXPECT_EQ(kindsOf(judge), std::vector<ViolationKind>{ ViolationKind::BeyondPlaces });
}

} // namespace
} // namespace azurewell::soak
