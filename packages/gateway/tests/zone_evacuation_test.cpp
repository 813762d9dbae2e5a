#include "azurewell/gateway/gateway.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

using std::chrono::milliseconds;

class ZoneEvacuationTest : public testing::Test
{
protected:
    ZoneEvacuationTest()
    {
        this->state.self.propagationTimeout = milliseconds(3000);
        this->state.self.evacuationTimeout = milliseconds(5000);
        Service service;
        service.id.value = "drafts";
        service.warmupTime = milliseconds(3000);
        service.warmupPerSecond = 9;
        Configuration configuration;
        configuration.version = 1;
        configuration.services.push_back(service);
        setConfiguration(this->state, std::move(configuration));
        this->list("a1", "a");
        this->list("b1", "b");
    }

    void list(const std::string &id, const std::string &zone)
    {
        ListedUpstream listed;
        listed.id.value = id;
        listed.zone.value = zone;
        listed.service.value = "drafts";
        listUpstream(this->state, listed, this->now);
    }

    bool isUsed(const std::string &id, Instant at) const
    {
        return isUsable(this->state.upstreams.at(UpstreamId{ id }), at);
    }

    GatewayState state;
    Actions actions;
    const ZoneId zone{ "a" };
    Instant now{ 10'000'000 };
};

// Guards against requests to an evacuated zone by a host that learned of the evacuation as late as
// it may, and whose last request has to open a connection.
TEST_F(ZoneEvacuationTest, AHostThatLearnsLateStopsWithinTheTimeout)
{
    const Instant confirmed = this->now;
    const Instant learned = confirmed + this->state.self.propagationTimeout;
    beginEvacuation(this->state, this->zone, learned, this->actions);
    const Instant lastSend = confirmed + this->state.self.evacuationTimeout - milliseconds(500);
    EXPECT_TRUE(this->isUsed("a1", learned));
    EXPECT_FALSE(this->isUsed("a1", lastSend));
    EXPECT_TRUE(this->isUsed("b1", lastSend));
}

TEST_F(ZoneEvacuationTest, WithoutTimeToSpareAHostStopsAtOnce)
{
    this->state.self.evacuationTimeout = this->state.self.propagationTimeout;
    beginEvacuation(this->state, this->zone, this->now, this->actions);
    EXPECT_FALSE(this->isUsed("a1", this->now));
}

// Guards against a host that starts long after the confirmation and takes it for new.
TEST_F(ZoneEvacuationTest, AHostThatHasJustStartedStopsAtOnce)
{
    this->state.startedAt = this->now - milliseconds(100);
    beginEvacuation(this->state, this->zone, this->now, this->actions);
    EXPECT_FALSE(this->isUsed("a1", this->now));
}

// Guards against an evacuation that is announced again and each time gives the zone more time.
TEST_F(ZoneEvacuationTest, ARepeatedEntryDoesNotExtendTheTime)
{
    beginEvacuation(this->state, this->zone, this->now, this->actions);
    const Instant closesAt = this->state.upstreams.at(UpstreamId{ "a1" }).zoneClosesAt;
    beginEvacuation(this->state, this->zone, this->now + milliseconds(900), this->actions);
    EXPECT_EQ(this->state.upstreams.at(UpstreamId{ "a1" }).zoneClosesAt, closesAt);
}

// Guards against the use of upstreams that join a zone while it is evacuated.
TEST_F(ZoneEvacuationTest, UpstreamsListedDuringAnEvacuationAreNotUsed)
{
    beginEvacuation(this->state, this->zone, this->now, this->actions);
    this->now = this->now + milliseconds(5000);
    this->list("a2", "a");
    this->list("a1", "a");
    EXPECT_FALSE(this->isUsed("a2", this->now));
    EXPECT_FALSE(this->isUsed("a1", this->now));
}

// Guards against a burst at engines that were restarted while their zone was out of use.
TEST_F(ZoneEvacuationTest, UpstreamsOfAZoneThatIsBackInUseCountAsCold)
{
    beginEvacuation(this->state, this->zone, this->now, this->actions);
    this->now = this->now + milliseconds(8000);
    endEvacuation(this->state, this->zone, this->now, this->actions);
    EXPECT_TRUE(this->isUsed("a1", this->now));
    EXPECT_TRUE(isCold(this->state.upstreams.at(UpstreamId{ "a1" }), this->now));
    EXPECT_FALSE(isCold(this->state.upstreams.at(UpstreamId{ "b1" }), this->now));
    EXPECT_EQ(this->actions.logEvents.size(), 2U);
}

TEST_F(ZoneEvacuationTest, TheEndOfAnUnknownEvacuationChangesNothing)
{
    endEvacuation(this->state, this->zone, this->now, this->actions);
    EXPECT_FALSE(isCold(this->state.upstreams.at(UpstreamId{ "a1" }), this->now));
    EXPECT_TRUE(this->actions.logEvents.empty());
}

} // namespace
} // namespace azurewell::gateway
