#include "azurewell/fleet/membership.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const HostId self{ "h0" };
const HostId other{ "h1" };
const ZoneId zone{ "z" };

struct Fixture
{
    KnownCharts charts = loadKnownCharts(AZUREWELL_CHARTS_DIR).value();
    Membership membership;

    bool beat(std::uint64_t incarnation, Instant now, bool isLeaving = false)
    {
        Heartbeat beat;
        beat.zone = zone;
        beat.isLeaving = isLeaving;
        return recordHeartbeat(this->membership, this->charts.peer, other,
                               Incarnation{ incarnation }, beat, now);
    }
};

} // namespace

TEST(Membership, APeerIsUsableOnlyWhileReachable)
{
    Fixture fixture;
    applyHostList(fixture.membership, fixture.charts.peer, self,
                  { ListedHost{ other, zone, "127.0.0.1:1", false } });
    EXPECT_FALSE(isUsable(fixture.membership, other));
    EXPECT_TRUE(fixture.beat(1, Instant{ 0 }));
    EXPECT_TRUE(isUsable(fixture.membership, other));
    updateUnreachablePeers(fixture.membership, fixture.charts.peer, Instant{ 0 } + suspectAfter);
    EXPECT_FALSE(isUsable(fixture.membership, other));
    EXPECT_TRUE(fixture.beat(1, Instant{ 0 } + fromSeconds(3)));
    EXPECT_TRUE(isUsable(fixture.membership, other));
}

// A host was replaced while its process was suspended, and the process resumes later. It still
// relies on its old leases, so its messages must be dropped.
TEST(Membership, AnOlderIncarnationIsIgnored)
{
    Fixture fixture;
    EXPECT_TRUE(fixture.beat(2, Instant{ 0 }));
    EXPECT_FALSE(fixture.beat(1, Instant{ 1 }));
    EXPECT_EQ(fixture.membership.peers[other].incarnation, Incarnation{ 2 });
}

TEST(Membership, ALeavingHostCoordinatesNoEngine)
{
    Fixture fixture;
    fixture.beat(1, Instant{ 0 });
    int keptByOther = 0;
    for (int engine = 0; engine < 100; ++engine)
        keptByOther += coordinatorOf(fixture.membership, self, zone, false,
                                     UpstreamId{ std::to_string(engine) }, zone)
                == other;
    EXPECT_NEAR(keptByOther, 50, 20);
    fixture.beat(1, Instant{ 1 }, true);
    for (int engine = 0; engine < 100; ++engine)
        EXPECT_EQ(coordinatorOf(fixture.membership, self, zone, false,
                                UpstreamId{ std::to_string(engine) }, zone),
                  self);
}
