#include "azurewell/gateway/order_rights.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

/// Three hosts of one zone, from the view of the one that ranks first for the engine.
class OrderRightsTest : public testing::Test
{
protected:
    OrderRightsTest()
    {
        this->engine.listed.id.value = "e";
        this->engine.listed.zone.value = "z";
        this->members.zone.value = "z";
        const std::vector<std::string> names{ "a", "b", "c" };
        this->members.self.value = names.front();
        for (const std::string &name : names)
            recordMember(this->members, memberNamed(name));
        const std::vector<HostId> ranked = rankedHosts(this->members, ZoneId{ "z" }, "e");
        this->members = {};
        this->members.zone.value = "z";
        this->members.self = ranked[0];
        this->others = { ranked[1], ranked[2] };
        this->receiveHeartbeats();
    }

    Member memberNamed(const std::string &name) const
    {
        return { HostId{ name }, ZoneId{ "z" }, { name, 1 }, Incarnation{ 1 },
                 this->now,      this->now,     false,       false };
    }

    /// Receives a heartbeat from each of the other hosts.
    void receiveHeartbeats()
    {
        for (const HostId &other : this->others)
            recordMember(this->members, this->memberNamed(other.value));
    }

    /// Advances the time by \a span in ticks, with heartbeats if \a isReachable and reports with
    /// \a orders.
    void advance(Span span, bool isReachable, std::uint64_t orders)
    {
        const Instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + std::chrono::milliseconds(100);
            if (isReachable)
                this->receiveHeartbeats();
            updateMembers(this->members, this->now);
            EngineState state;
            state.start = this->engineStart;
            state.ordersTaken = orders;
            recordReport(this->rights, state, this->now, this->now);
        }
    }

    bool mayOrderNow()
    {
        return mayOrder(this->rights, this->engine, this->members, this->terms, this->now);
    }

    Instant now{ 1'000'000'000 };
    std::int64_t engineStart = 1'700'000'000'000;
    Upstream engine;
    Members members;
    std::vector<HostId> others;
    OrderRights rights;
    OrderTerms terms;
};

TEST_F(OrderRightsTest, BeginOnlyAfterTheOrderCountWasUnchanged)
{
    // Another host may just have ordered at the engine when a new process starts. The new one must
    // not order until the other host's last order is past the lease.
    this->advance(std::chrono::milliseconds(3000), true, 5);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(std::chrono::milliseconds(1000), true, 5);
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against a takeover within the lease of a service that states a longer one.
TEST_F(OrderRightsTest, BeginOnlyAfterTheLeaseThatIsStated)
{
    this->terms.lease = std::chrono::seconds(6);
    this->advance(std::chrono::seconds(6), true, 5);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(std::chrono::seconds(1), true, 5);
    EXPECT_TRUE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, AreLostWhenAnotherHostOrders)
{
    // A host was paused and another one took over. The changed order count is the only sign of it.
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    this->advance(std::chrono::milliseconds(100), true, 6);
    EXPECT_FALSE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, DoNotBeginWithoutAMajorityOfTheZone)
{
    // All other hosts become unreachable: they may be dead, or this host is partitioned from them
    // but still reaches the engine, and they have chosen another coordinator.
    this->advance(std::chrono::milliseconds(3000), true, 5);
    this->advance(std::chrono::seconds(8), false, 5);
    EXPECT_FALSE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, DoNotBeginInAnotherZoneThatIsUnreachable)
{
    // A zone is partitioned, but its engines are reachable from outside. Its hosts reach each other
    // and keep ordering; a host of another zone that reaches most of the fleet must not start.
    const auto receiveZoneHeartbeats = [this](Members &to) {
        for (const std::string &name : { "k", "l", "m", "n" }) {
            Member member = this->memberNamed(name);
            member.zone.value = "y";
            recordMember(to, member);
        }
    };
    Members zone;
    zone.zone.value = "y";
    receiveZoneHeartbeats(zone);
    zone.self.value = "k";
    this->members.zone.value = "y";
    this->members.self = firstLiveHost(zone, ZoneId{ "z" }, "e", this->now);
    for (int step = 0; step < 80; ++step) {
        receiveZoneHeartbeats(this->members);
        this->advance(std::chrono::milliseconds(100), false, 5);
    }
    EXPECT_EQ(presumedCoordinator(this->engine, this->members, this->now), this->members.self);
    EXPECT_FALSE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, ContinueInAPartitionWhileOrdersAreFrequent)
{
    // A zone is partitioned and its callers keep sending requests. As long as a host keeps
    // ordering, the other side sees its orders and does not start; after a gap in its orders, the
    // other side may start.
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    this->advance(std::chrono::milliseconds(1500), false, 5);
    recordOrderAccepted(this->rights, this->now);
    EXPECT_TRUE(this->mayOrderNow());
    this->advance(std::chrono::milliseconds(1600), false, 6);
    EXPECT_FALSE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, AreReconfirmedAfterAPartition)
{
    // The partition has ended and all hosts are reachable again, but orders that the others gave
    // meanwhile show only in later reports.
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    this->advance(std::chrono::seconds(2), false, 5);
    this->receiveHeartbeats();
    this->now = this->now + std::chrono::milliseconds(20);
    updateMembers(this->members, this->now);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(std::chrono::seconds(1), true, 5);
    EXPECT_TRUE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, NeedARecentReport)
{
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    this->now = this->now + std::chrono::seconds(2);
    this->receiveHeartbeats();
    EXPECT_FALSE(this->mayOrderNow());
}

TEST_F(OrderRightsTest, AreNotUsedAfterAPauseBeforeMembersAreUpdated)
{
    // A process is paused for half a second, and the first event after that is an answer of its
    // engine. Its view of the other hosts is outdated.
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    this->now = this->now + std::chrono::milliseconds(500);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(std::chrono::milliseconds(1000), true, 5);
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against further orders by a count that the engine has just refused, or that an unanswered
// order may have changed.
TEST_F(OrderRightsTest, NeedALaterReportAfterAnOrderThatFailed)
{
    for (const OrderOutcome outcome : { OrderOutcome::Conflict, OrderOutcome::Unknown }) {
        this->advance(std::chrono::seconds(5), true, 5);
        ASSERT_TRUE(this->mayOrderNow());
        this->now = this->now + std::chrono::milliseconds(5);
        recordOrderFailed(this->rights, outcome, this->now);
        EXPECT_FALSE(this->mayOrderNow());
        this->advance(std::chrono::milliseconds(100), true, 5);
        EXPECT_TRUE(this->mayOrderNow());
    }
}

// Guards against two hosts that both order at an engine, as one of them is not heard.
TEST_F(OrderRightsTest, EndWhenAnotherHostStatesThatItOrders)
{
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    recordClaim(this->rights, this->now);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(takeoverWait(this->terms), true, 5);
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against a host that begins again every few seconds beside one that orders and does not
// hear it.
TEST_F(OrderRightsTest, DoNotBeginWhileAnotherHostGoesOnToStateThatItOrders)
{
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    for (int claims = 0; claims < 20; ++claims) {
        recordClaim(this->rights, this->now);
        EXPECT_FALSE(this->mayOrderNow());
        this->advance(std::chrono::milliseconds(500), true, 5);
    }
    this->advance(takeoverWait(this->terms), true, 5);
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against an order on the report of a moment before, when the host that ordered has just
// lost its path to the upstreams and this one becomes first.
TEST_F(OrderRightsTest, BeginOnlyAfterReportsFromAfterTheOtherHostLostItsPath)
{
    std::swap(this->members.self, this->others.front());
    this->members.others.clear();
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_FALSE(this->mayOrderNow());
    Member first = this->memberNamed(this->others.front().value);
    first.unreachableServices.insert(this->engine.listed.service);
    recordMember(this->members, first);
    EXPECT_FALSE(this->mayOrderNow());
    for (int ticks = 0; ticks < 10; ++ticks) {
        this->advance(std::chrono::milliseconds(100), false, 5);
        first.lastMessageAt = this->now;
        recordMember(this->members, first);
    }
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against an unanswered first order that arrives after the next one and is carried out, too.
TEST_F(OrderRightsTest, WaitForAnUnansweredFirstOrder)
{
    this->advance(std::chrono::seconds(5), true, 0);
    this->mayOrderNow();
    this->advance(std::chrono::seconds(1), true, 0);
    ASSERT_TRUE(this->mayOrderNow());
    recordOrderFailed(this->rights, OrderOutcome::Unknown, this->now);
    this->advance(std::chrono::seconds(2), true, 0);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(std::chrono::seconds(1), true, 0);
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against numbers of an earlier start of the engine, or of refused orders, that stay ahead
// of those that other hosts derive from the engine's count.
TEST_F(OrderRightsTest, GiveNumbersThatFollowFromAcceptedOrdersOfThisStartOnly)
{
    this->advance(std::chrono::seconds(5), true, 5);
    OrderRights other = this->rights;
    for (int tries = 0; tries < 80; ++tries)
        recordOrderFailed(this->rights, OrderOutcome::OldFencing, this->now);
    constexpr std::uint64_t maxExactInJson = 1ULL << 53U;
    EXPECT_LT(nextFencing(this->rights, this->members.self).value, maxExactInJson);
    this->rights.sentFencing = nextFencing(this->rights, this->members.self);
    this->engineStart += 5000;
    this->advance(std::chrono::seconds(5), true, 0);
    other.start = this->engineStart;
    other.ordersAtBegin = 1;
    EXPECT_LT(nextFencing(this->rights, this->members.self), nextFencing(other, this->others[0]));
}

// Guards against updates of another host that show an earlier process of the engine.
TEST_F(OrderRightsTest, DoNotFollowAnUpdateOfAnEarlierStart)
{
    this->advance(std::chrono::seconds(5), true, 5);
    EngineState state;
    state.start = this->engineStart - 1;
    state.ordersTaken = 9;
    EXPECT_TRUE(isOutdatedUpdate(this->rights, state));
    state.start = this->engineStart;
    EXPECT_FALSE(isOutdatedUpdate(this->rights, state));
}

// Guards against first orders of two hosts, of which the engine checks neither.
TEST_F(OrderRightsTest, BeginAtAnEngineWithoutOrdersOnlyAfterOthersHaveHeardOfIt)
{
    this->advance(std::chrono::seconds(2), true, 0);
    recordClaim(this->rights, this->now);
    this->advance(std::chrono::seconds(3), true, 0);
    EXPECT_FALSE(this->mayOrderNow());
    EXPECT_FALSE(this->rights.isCoordinating);
    this->advance(std::chrono::milliseconds(600), true, 0);
    EXPECT_FALSE(this->mayOrderNow());
    EXPECT_TRUE(this->rights.isCoordinating);
    this->advance(2 * this->members.plan.inZone, true, 0);
    EXPECT_TRUE(this->mayOrderNow());
}

// Guards against first orders of two hosts that start before their seeds and know of no other host.
TEST_F(OrderRightsTest, BeginLateAtAnEngineWithoutOrdersBeforeAnyOtherHostIsHeard)
{
    this->terms = { true, true, this->now };
    this->advance(std::chrono::seconds(10), false, 0);
    EXPECT_FALSE(this->mayOrderNow());
    EXPECT_FALSE(this->rights.isCoordinating);
    this->terms.isAlone = false;
    this->advance(std::chrono::seconds(1), true, 0);
    this->mayOrderNow();
    EXPECT_TRUE(this->rights.isCoordinating);
}

// Guards against a report that shows an engine as it was before an earlier report.
TEST_F(OrderRightsTest, DoNotFollowAReportThatStepsBack)
{
    this->advance(std::chrono::seconds(5), true, 5);
    EngineState state;
    state.start = this->engineStart;
    state.ordersTaken = 4;
    EXPECT_TRUE(isOutdated(this->rights, state));
    state.ordersTaken = 5;
    EXPECT_FALSE(isOutdated(this->rights, state));
    state.start = this->engineStart - 1;
    state.ordersTaken = 0;
    EXPECT_FALSE(isOutdated(this->rights, state));
}

// Guards against a fencing number that is lower than one of another host, whose orders this host
// knows from the engine's count only.
TEST_F(OrderRightsTest, GiveFencingNumbersThatRiseWithTheOrdersOfAllHosts)
{
    OrderRights other;
    other.start = this->engineStart;
    for (std::uint64_t orders = 0; orders < 100; ++orders) {
        other.ordersAtBegin = orders;
        this->rights.start = this->engineStart;
        this->rights.ordersAtBegin = orders + 1;
        EXPECT_LT(nextFencing(other, this->others[0]),
                  nextFencing(this->rights, this->members.self));
    }
}

// Guards against an order that was held up and reaches the engine with a lower number than the
// orders after it.
TEST_F(OrderRightsTest, KeepTheFencingNumberWhileThisHostOrders)
{
    this->advance(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->mayOrderNow());
    const FencingNumber first = nextFencing(this->rights, this->members.self);
    recordOrderAccepted(this->rights, this->now);
    this->advance(std::chrono::seconds(1), true, 6);
    ASSERT_TRUE(this->mayOrderNow());
    EXPECT_EQ(nextFencing(this->rights, this->members.self), first);
    recordEngineUpdate(this->rights, { .start = this->engineStart, .ordersTaken = 7 }, this->now);
    this->advance(std::chrono::seconds(5), true, 7);
    ASSERT_TRUE(this->mayOrderNow());
    EXPECT_GT(nextFencing(this->rights, this->members.self), first);
}

// Guards against a fencing number of an engine's earlier process that is higher than that of its
// next one.
TEST_F(OrderRightsTest, GiveHigherFencingNumbersAfterARestartOfTheEngine)
{
    OrderRights before;
    before.start = this->engineStart;
    before.ordersAtBegin = 900;
    OrderRights after;
    after.start = this->engineStart + 1000;
    EXPECT_LT(nextFencing(before, this->others[0]), nextFencing(after, this->others[1]));
    constexpr std::uint64_t maxExactInJson = 1ULL << 53U;
    EXPECT_LT(nextFencing(after, this->others[0]).value, maxExactInJson);
}

// Guards against a host that never gets an order accepted again, as the engine has recorded a high
// fencing number of an order that it refused.
TEST_F(OrderRightsTest, RaiseTheFencingNumberUntilTheEngineAcceptsIt)
{
    this->rights.start = this->engineStart;
    const FencingNumber refused{ nextFencing(this->rights, this->others[0]).value
                                 + (20ULL << 12U) };
    for (int tries = 0; tries < 6; ++tries)
        recordOrderFailed(this->rights, OrderOutcome::OldFencing, this->now);
    EXPECT_GT(nextFencing(this->rights, this->members.self), refused);
}

TEST_F(OrderRightsTest, BeginEarlyAtTheFirstStartOfTheSystem)
{
    this->terms = { true, false, this->now };
    this->advance(std::chrono::milliseconds(2000), true, 0);
    EXPECT_FALSE(this->mayOrderNow());
    this->advance(std::chrono::milliseconds(800), true, 0);
    EXPECT_TRUE(this->mayOrderNow());
}

} // namespace
} // namespace azurewell::gateway
