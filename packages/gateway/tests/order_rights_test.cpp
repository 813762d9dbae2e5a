#include "azurewell/gateway/order_rights.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

/// Three hosts of one zone, seen from the one that ranks first for the engine.
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
            noteMember(this->members, memberCalled(name));
        const std::vector<HostId> ranked = rankedHosts(this->members, ZoneId{ "z" }, "e");
        this->members = {};
        this->members.zone.value = "z";
        this->members.self = ranked[0];
        this->others = { ranked[1], ranked[2] };
        this->hear();
    }

    Member memberCalled(const std::string &name) const
    {
        return { HostId{ name }, ZoneId{ "z" }, { name, 1 }, Incarnation{ 1 },
                 this->now,      this->now,     false,       false };
    }

    /// The other hosts are heard now.
    void hear()
    {
        for (const HostId &other : this->others)
            noteMember(this->members, this->memberCalled(other.value));
    }

    /// Time passes in ticks, with heartbeats where \a isHeard and reports that show \a orders.
    void pass(Span span, bool isHeard, std::uint64_t orders)
    {
        const Instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + std::chrono::milliseconds(100);
            if (isHeard)
                this->hear();
            updateMembers(this->members, this->now);
            EngineState state;
            state.ordersTaken = orders;
            noteReport(this->rights, state, this->now, this->now);
        }
    }

    bool may()
    {
        return mayOrder(this->rights, this->engine, this->members, this->start, FencingNumber{ 7 },
                        this->now);
    }

    Instant now{ 1'000'000'000 };
    Upstream engine;
    Members members;
    std::vector<HostId> others;
    OrderRights rights;
    OrderStart start;
};

TEST_F(OrderRightsTest, BeginAfterTheCountHasStoodStill)
{
    // A new process finds an engine at which another host may just have ordered. It must not order
    // until that host's last order is past the lease.
    this->pass(std::chrono::milliseconds(3000), true, 5);
    EXPECT_FALSE(this->may());
    this->pass(std::chrono::milliseconds(1000), true, 5);
    EXPECT_TRUE(this->may());
    EXPECT_EQ(this->rights.fencing, FencingNumber{ 7 });
}

TEST_F(OrderRightsTest, AreLostWhenTheCountMovesWithoutThisHost)
{
    // A host was paused, another took over. The count that moved is all that it can see of that.
    this->pass(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->may());
    this->pass(std::chrono::milliseconds(100), true, 6);
    EXPECT_FALSE(this->may());
}

TEST_F(OrderRightsTest, AreNotBegunWithoutMostOfTheZone)
{
    // All others fall silent: they may be dead, or this host is cut off while it still reaches the
    // engine, and they have chosen another host to order there.
    this->pass(std::chrono::milliseconds(3000), true, 5);
    this->pass(std::chrono::seconds(8), false, 5);
    EXPECT_FALSE(this->may());
}

TEST_F(OrderRightsTest, AreNotBegunInAnotherZoneWhoseHostsAreSilent)
{
    // A zone is cut off whose engines are still reached from outside. Its hosts hear each other and
    // go on with their orders; a host of another zone that hears most of the fleet must not begin.
    const auto hearZone = [this](Members &to) {
        for (const std::string &name : { "k", "l", "m", "n" }) {
            Member member = this->memberCalled(name);
            member.zone.value = "y";
            noteMember(to, member);
        }
    };
    Members zone;
    zone.zone.value = "y";
    hearZone(zone);
    zone.self.value = "k";
    this->members.zone.value = "y";
    this->members.self = firstAlive(zone, ZoneId{ "z" }, "e", this->now);
    for (int step = 0; step < 80; ++step) {
        hearZone(this->members);
        this->pass(std::chrono::milliseconds(100), false, 5);
    }
    EXPECT_EQ(presumedHolder(this->engine, this->members, this->now), this->members.self);
    EXPECT_FALSE(this->may());
}

TEST_F(OrderRightsTest, GoOnBehindACutWhileOrdersFollowEachOther)
{
    // A zone is cut off and its callers go on asking. A host that orders all the while is seen by
    // the other side, which keeps away; once it has paused, the other side may begin.
    this->pass(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->may());
    this->pass(std::chrono::milliseconds(1500), false, 5);
    noteOrderTaken(this->rights, this->now);
    EXPECT_TRUE(this->may());
    this->pass(std::chrono::milliseconds(1600), false, 6);
    EXPECT_FALSE(this->may());
}

TEST_F(OrderRightsTest, AreConfirmedAnewAfterACut)
{
    // The cut has healed and all hosts are heard again, but what the others ordered meanwhile shows
    // only in later reports.
    this->pass(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->may());
    this->pass(std::chrono::seconds(2), false, 5);
    this->hear();
    this->now = this->now + std::chrono::milliseconds(20);
    updateMembers(this->members, this->now);
    EXPECT_FALSE(this->may());
    this->pass(std::chrono::seconds(1), true, 5);
    EXPECT_TRUE(this->may());
}

TEST_F(OrderRightsTest, NeedAReportThatIsNotOld)
{
    this->pass(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->may());
    this->now = this->now + std::chrono::seconds(2);
    this->hear();
    EXPECT_FALSE(this->may());
}

TEST_F(OrderRightsTest, AreNotUsedBeforeTheFirstLookAfterAPause)
{
    // A process is paused for half a second, and the first thing that it handles when it wakes is
    // an answer of its engine. It still believes what it believed about the others before.
    this->pass(std::chrono::seconds(5), true, 5);
    ASSERT_TRUE(this->may());
    this->now = this->now + std::chrono::milliseconds(500);
    EXPECT_FALSE(this->may());
    this->pass(std::chrono::milliseconds(1000), true, 5);
    EXPECT_TRUE(this->may());
}

TEST_F(OrderRightsTest, BeginAtOnceWhenTheWholeSystemStartsForTheFirstTime)
{
    this->start = { true, this->now };
    this->pass(std::chrono::milliseconds(2000), true, 0);
    EXPECT_FALSE(this->may());
    this->pass(std::chrono::milliseconds(800), true, 0);
    EXPECT_TRUE(this->may());
}

} // namespace
} // namespace azurewell::gateway
