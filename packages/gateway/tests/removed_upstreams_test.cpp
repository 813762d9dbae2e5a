#include "azurewell/gateway/gateway.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

const UpstreamId upstreamId{ "i-1" };

/// A host that reads the platform, before one upstream. Changes have to be in force within 2 s.
class RemovedUpstream : public testing::Test
{
protected:
    RemovedUpstream()
    {
        Identity self;
        self.id.value = "h";
        self.propagationTimeout = std::chrono::seconds(2);
        gateway::start(this->state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
        ListedUpstream listed;
        listed.id = upstreamId;
        listed.service.value = "s";
        listUpstream(this->state, listed, this->now);
        recordPlatformAnswer(this->state, false, this->now);
    }

    /// Reads, \a sinceView after the last view, that the entry is gone.
    void remove(Span sinceView)
    {
        recordPlatformView(this->state, this->now);
        this->now = this->now + sinceView;
        removeUpstream(this->state, upstreamId, this->now);
    }

    bool isUsableAfter(Span span) const
    {
        return isUsable(this->state.upstreams.at(upstreamId), this->now + span);
    }

    GatewayState state;
    Instant now{ 1'000'000'000 };
};

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against servers that are lost for a moment as their entries disappear for one.
TEST_F(RemovedUpstream, IsUsedForAMomentLonger)
{
    this->remove(milliseconds(20));
    EXPECT_TRUE(this->isUsableAfter(milliseconds(700)));
    EXPECT_FALSE(this->isUsableAfter(milliseconds(900)));
}

// Guards against requests that arrive later than 2 s after a removal which the host has read late,
// as the platform had cut its call.
TEST_F(RemovedUpstream, GetsNothingLaterThanAfterARemovalRightBehindTheLastView)
{
    recordPlatformFailure(this->state, this->now + milliseconds(900));
    this->remove(milliseconds(1300));
    EXPECT_TRUE(this->isUsableAfter(milliseconds(500)));
    EXPECT_FALSE(this->isUsableAfter(milliseconds(600)));
}

// Guards against servers that are lost after an outage in which their entries have expired.
TEST_F(RemovedUpstream, IsUsedUntilItMayBeBackAfterAnOutage)
{
    recordPlatformFailure(this->state, this->now + seconds(9));
    this->remove(seconds(10));
    EXPECT_TRUE(this->isUsableAfter(milliseconds(1100)));
    EXPECT_FALSE(this->isUsableAfter(milliseconds(1300)));
}

} // namespace
} // namespace azurewell::gateway
