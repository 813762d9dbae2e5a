#include "world.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

using std::chrono::seconds;

/// More sends than this, after all hosts could know of the fifth crash, are too many.
constexpr std::uint64_t maxLateSends = 3;

/// Sound requests are served at least this often, compared with the time before.
constexpr double minServedShare = 0.95;

struct FleetCase
{
    const char *name;
    std::size_t zones;
    std::size_t hostsPerZone;
    std::size_t enginesPerZone;
    double requestsPerSecond;
    std::uint64_t seeds;
    Span duration;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &fleet)
{
    return out << fleet.name;
}

class CrashingParts : public testing::TestWithParam<FleetCase>
{
protected:
    static WorldSettings settings(std::uint64_t seed)
    {
        WorldSettings settings;
        settings.seed = seed;
        settings.zones = GetParam().zones;
        settings.hostsPerZone = GetParam().hostsPerZone;
        settings.enginesPerZone = GetParam().enginesPerZone;
        settings.requestsPerSecond = GetParam().requestsPerSecond;
        settings.adapters = 30;
        settings.crashingPartCount = 1;
        return settings;
    }

    static void expectContained(const World &world)
    {
        EXPECT_TRUE(world.violations.empty());
        for (const auto &[id, part] : world.crashingParts) {
            EXPECT_GT(part.crashedEngines.size(), 0U);
            EXPECT_LE(part.sentAfterFifthCrash, maxLateSends);
        }
    }

    static void expectSoundServed(const World &world)
    {
        EXPECT_GT(world.soundTries.after.sent, 100U);
        EXPECT_GE(world.soundTries.after.servedShare(),
                  minServedShare * world.soundTries.before.servedShare());
    }
};

// Guards against requests that differ in all but one part of their prompts and crash one engine
// after the other.
TEST_P(CrashingParts, AreFoundInRequestsThatDiffer)
{
    for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
        World world{ settings(seed) };
        world.runFor(GetParam().duration);
        expectContained(world);
        expectSoundServed(world);
    }
}

// Guards against a guilty part that hides the guilt of another one.
TEST_P(CrashingParts, TwoAtOnceAreBothFound)
{
    WorldSettings two = settings(4);
    two.crashingPartCount = 2;
    World world{ two };
    world.runFor(GetParam().duration);
    expectContained(world);
    expectSoundServed(world);
}

INSTANTIATE_TEST_SUITE_P(Fleets, CrashingParts,
                         testing::Values(FleetCase{ "6_hosts", 3, 2, 3, 40, 3, seconds(60) },
                                         FleetCase{ "69_hosts", 3, 23, 14, 200, 1, seconds(40) },
                                         FleetCase{ "195_hosts", 5, 39, 24, 400, 1, seconds(40) }),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

} // namespace
} // namespace azurewell::gateway
