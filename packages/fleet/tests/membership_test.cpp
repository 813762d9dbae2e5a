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
        return noteHeartbeat(this->membership, this->charts.peer, other, Incarnation{ incarnation },
                             beat, now);
    }
};

} // namespace

TEST(Membership, APeerIsUsableOnlyWhileItIsHeard)
{
    Fixture fixture;
    applyHostList(fixture.membership, fixture.charts.peer, self,
                  { ListedHost{ other, zone, "127.0.0.1:1", false } });
    EXPECT_FALSE(isUsable(fixture.membership, other));
    EXPECT_TRUE(fixture.beat(1, Instant{ 0 }));
    EXPECT_TRUE(isUsable(fixture.membership, other));
    noteSilence(fixture.membership, fixture.charts.peer, Instant{ 0 } + suspectAfter);
    EXPECT_FALSE(isUsable(fixture.membership, other));
    EXPECT_TRUE(fixture.beat(1, Instant{ 0 } + fromSeconds(3)));
    EXPECT_TRUE(isUsable(fixture.membership, other));
}

// A host was replaced while its process was stopped, and the process is continued later. It still
// believes in its old leases; whatever it sends has to be dropped.
TEST(Membership, AnOlderIncarnationIsNotHeard)
{
    Fixture fixture;
    EXPECT_TRUE(fixture.beat(2, Instant{ 0 }));
    EXPECT_FALSE(fixture.beat(1, Instant{ 1 }));
    EXPECT_EQ(fixture.membership.peers[other].incarnation, Incarnation{ 2 });
}

TEST(Membership, ALeavingHostKeepsNoEngine)
{
    Fixture fixture;
    fixture.beat(1, Instant{ 0 });
    int keptByOther = 0;
    for (int engine = 0; engine < 100; ++engine)
        keptByOther += keeperOf(fixture.membership, self, zone, false,
                                UpstreamId{ std::to_string(engine) }, zone)
                == other;
    EXPECT_NEAR(keptByOther, 50, 20);
    fixture.beat(1, Instant{ 1 }, true);
    for (int engine = 0; engine < 100; ++engine)
        EXPECT_EQ(keeperOf(fixture.membership, self, zone, false,
                           UpstreamId{ std::to_string(engine) }, zone),
                  self);
}
