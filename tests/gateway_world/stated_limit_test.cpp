#include "world.h"

#include <gtest/gtest.h>

#include <ostream>

namespace azurewell::gateway {
namespace {

/// Maximum number of requests in any 4 s.
double maxAllowed(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

/// The size of a fleet, its request rate, and the limit that two of its engines state.
struct Case
{
    std::size_t zones;
    std::size_t hostsPerZone;
    std::size_t enginesPerZone;
    double requestsPerSecond;
    double perSecond;
};

std::ostream &operator<<(std::ostream &out, const Case &one)
{
    return out << one.zones * one.hostsPerZone << "_hosts_" << one.perSecond << "_a_second";
}

class StatedLimits : public testing::TestWithParam<Case>
{
};

// Guards against hosts that each send at the rate that an engine accepts from all hosts together,
// and against hosts that ignore the limit.
TEST_P(StatedLimits, AreKeptByAllHostsTogether)
{
    const Case &fleet = GetParam();
    WorldSettings settings;
    settings.zones = fleet.zones;
    settings.hostsPerZone = fleet.hostsPerZone;
    settings.enginesPerZone = fleet.enginesPerZone;
    settings.requestsPerSecond = fleet.requestsPerSecond;
    settings.adapters = 40 * fleet.enginesPerZone;
    settings.fullSpeedLoads = fleet.enginesPerZone * 2;
    World world{ settings };
    world.runFor(std::chrono::seconds(8));
    world.limitEngine(0, fleet.perSecond);
    world.limitEngine(1, fleet.perSecond);
    world.runFor(std::chrono::seconds(12));
    for (std::size_t engine = 0; engine < 2; ++engine)
        EXPECT_LE(static_cast<double>(world.maxArrivalsUnderLimit(engine)),
                  maxAllowed(fleet.perSecond));
    EXPECT_TRUE(world.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(Fleets, StatedLimits,
                         testing::Values(Case{ 3, 2, 3, 60, 1 }, Case{ 3, 2, 3, 60, 0.3 },
                                         Case{ 3, 2, 3, 60, 2 }, Case{ 3, 27, 30, 400, 1 },
                                         Case{ 3, 27, 30, 400, 0.5 }, Case{ 5, 39, 24, 700, 1.2 }));

void limitAllEngines(World &world, double perSecond)
{
    for (std::size_t engine = 0; engine < world.engineCount(); ++engine)
        world.limitEngine(engine, perSecond);
}

void expectLimitsKept(const World &world, double perSecond)
{
    for (std::size_t engine = 0; engine < world.engineCount(); ++engine)
        EXPECT_LE(static_cast<double>(world.maxArrivalsUnderLimit(engine)), maxAllowed(perSecond));
}

// Guards against unused capacity: a service must accept the sum of its engines' limits, whichever
// hosts its callers use.
TEST(StatedLimitsWorld, AreFullyUsedWhenEveryEngineStatesOne)
{
    constexpr double perSecond = 2;
    constexpr int seconds = 16;
    World world{ WorldSettings{} };
    world.runFor(std::chrono::seconds(8));
    limitAllEngines(world, perSecond);
    world.runFor(std::chrono::seconds(4));
    const std::uint64_t answered = world.answered;
    world.runFor(std::chrono::seconds(seconds));
    const double allowed = perSecond * static_cast<double>(world.engineCount()) * seconds;
    EXPECT_GT(static_cast<double>(world.answered - answered), 0.8 * allowed);
    expectLimitsKept(world, perSecond);
}

// Guards against hosts that issue the permits of the whole fleet while others, who do not hear
// them, issue them, too.
TEST(StatedLimitsWorld, AreKeptWhileSomeHostsAreNotHeard)
{
    constexpr double perSecond = 2;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        WorldSettings settings;
        settings.seed = seed;
        settings.requestsPerSecond = 60;
        World world{ settings };
        world.runFor(std::chrono::seconds(8));
        limitAllEngines(world, perSecond);
        world.runFor(std::chrono::seconds(4));
        for (std::size_t host = 0; host < world.hostCount(); host += 3)
            world.muteHost(host, true);
        world.runFor(std::chrono::seconds(8));
        SCOPED_TRACE(seed);
        expectLimitsKept(world, perSecond);
    }
}

// Guards against two hosts that both grant permits, and against none doing so, when the granting
// host is killed, paused or restarted.
TEST(StatedLimitsWorld, AreKeptWhenHostsAreReplaced)
{
    constexpr double perSecond = 2;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        WorldSettings settings;
        settings.seed = seed;
        settings.hostsPerZone = 4;
        settings.requestsPerSecond = 60;
        World world{ settings };
        world.runFor(std::chrono::seconds(8));
        limitAllEngines(world, perSecond);
        for (std::size_t host = 0; host < world.hostCount(); ++host) {
            world.pauseHost((host + 5) % world.hostCount(), std::chrono::seconds(1));
            world.killHost(host);
            world.runFor(std::chrono::milliseconds(1700));
            world.startHost(host, false);
            world.runFor(std::chrono::milliseconds(900));
        }
        expectLimitsKept(world, perSecond);
    }
}

// Guards against an engine that stays limited forever because no request is sent that could return
// an answer without a limit.
TEST(StatedLimitsWorld, EndWhenAnAnswerStatesNone)
{
    World world{ WorldSettings{} };
    world.runFor(std::chrono::seconds(8));
    limitAllEngines(world, 1);
    world.runFor(std::chrono::seconds(8));
    limitAllEngines(world, 0);
    world.runFor(std::chrono::seconds(8));
    const std::uint64_t answered = world.answered;
    const std::uint64_t sentBefore = world.requestsSent;
    world.runFor(std::chrono::seconds(10));
    EXPECT_GT(world.answered - answered, (world.requestsSent - sentBefore) * 88 / 100);
}

} // namespace
} // namespace azurewell::gateway
