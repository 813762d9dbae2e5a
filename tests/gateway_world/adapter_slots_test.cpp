#include "world.h"

#include <gtest/gtest.h>

#include <ostream>

namespace azurewell::gateway {
namespace {

/// Time from a caller's first request for an adapter to its last one, after which none may be left
/// unserved.
constexpr Span longDemand = std::chrono::seconds(20);

struct Fleet
{
    std::size_t zones;
    std::size_t hostsPerZone;
    std::size_t enginesPerZone;
    std::size_t adapterSlots;
    double requestsPerSecond;
    std::size_t adapters;
};

std::ostream &operator<<(std::ostream &out, const Fleet &fleet)
{
    return out << fleet.zones * fleet.hostsPerZone << "_hosts";
}

class AdapterSlots : public testing::TestWithParam<Fleet>
{
protected:
    static WorldSettings settingsOf(const Fleet &fleet)
    {
        WorldSettings settings;
        settings.zones = fleet.zones;
        settings.hostsPerZone = fleet.hostsPerZone;
        settings.enginesPerZone = fleet.enginesPerZone;
        settings.adapterSlots = fleet.adapterSlots;
        settings.requestsPerSecond = fleet.requestsPerSecond;
        settings.adapters = fleet.adapters;
        settings.zipfExponent = 0.8;
        settings.fullSpeedLoads = fleet.zones * fleet.enginesPerZone / 2;
        return settings;
    }

    World world{ settingsOf(GetParam()) };
};

// Guards against adapters that callers request for a long time and that never get a slot.
TEST_P(AdapterSlots, NoAdapterIsRequestedForLongWithoutBeingServed)
{
    this->world.runFor(std::chrono::seconds(30));
    EXPECT_EQ(this->world.countNeverStarted(longDemand), 0U);
    EXPECT_TRUE(this->world.violations.empty());
}

// Guards against slots that are lost to adapters that nobody uses: loaded for callers that have
// left, or kept after their last request.
TEST_P(AdapterSlots, LoadsAreForRequestsThatWaitForThem)
{
    this->world.runFor(std::chrono::seconds(15));
    EXPECT_LT(this->world.unusedLoads, this->world.loads / 4);
    EXPECT_LT(this->world.unloadsWhileInUse, this->world.unloads * 3 / 100);
}

INSTANTIATE_TEST_SUITE_P(Fleets, AdapterSlots,
                         testing::Values(Fleet{ 3, 2, 3, 5, 100, 100 },
                                         Fleet{ 3, 23, 30, 4, 1000, 1000 },
                                         Fleet{ 5, 39, 24, 5, 1000, 1500 }));

} // namespace
} // namespace azurewell::gateway
