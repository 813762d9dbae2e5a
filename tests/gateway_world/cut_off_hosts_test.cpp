#include "world.h"

#include <gtest/gtest.h>

#include <ostream>

namespace azurewell::gateway {
namespace {

/// Hosts that lose their path to all engines.
enum class CutHosts { Half, WholeZone, AllButOne };

/// A fleet and what happens to it.
struct Case
{
    std::size_t zones;
    std::size_t hostsPerZone;
    std::size_t enginesPerZone;
    double requestsPerSecond;
    CutHosts hosts;
    EngineCut cut;
};

std::ostream &operator<<(std::ostream &out, const Case &one)
{
    constexpr const char *names[] = { "half", "whole_zone", "all_but_one" };
    return out << one.zones * one.hostsPerZone << "_hosts_" << names[static_cast<int>(one.hosts)]
               << (one.cut == EngineCut::Hang ? "_hang" : "_refuse");
}

WorldSettings settingsOf(const Case &fleet, std::uint64_t seed)
{
    WorldSettings settings;
    settings.seed = seed;
    settings.zones = fleet.zones;
    settings.hostsPerZone = fleet.hostsPerZone;
    settings.enginesPerZone = fleet.enginesPerZone;
    settings.requestsPerSecond = fleet.requestsPerSecond;
    settings.adapters = 40 * fleet.enginesPerZone;
    settings.fullSpeedLoads = fleet.enginesPerZone * 2;
    return settings;
}

bool isCut(const Case &fleet, std::size_t host)
{
    switch (fleet.hosts) {
    case CutHosts::Half:
        return host < fleet.zones * fleet.hostsPerZone / 2;
    case CutHosts::WholeZone:
        return host % fleet.zones == 0;
    case CutHosts::AllButOne:
        break;
    }
    return host != 0;
}

void cutHosts(World &world, const Case &fleet, EngineCut cut)
{
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        if (isCut(fleet, host))
            world.cutFromEngines(host, cut);
    }
}

class CutOffHosts : public testing::TestWithParam<Case>
{
};

// Guards against hosts that take the loss of their own path to the upstreams for the loss of the
// upstreams, and refuse requests that hosts with a path could serve.
TEST_P(CutOffHosts, ServeAsOftenAsTheOthers)
{
    const Case &fleet = GetParam();
    World world{ settingsOf(fleet, 1) };
    world.runFor(std::chrono::seconds(8));
    cutHosts(world, fleet, fleet.cut);
    world.runFor(std::chrono::seconds(12));
    cutHosts(world, fleet, EngineCut::None);
    const double atCut = world.triesAtCutHosts.servedShare();
    const double atOthers = world.triesAtOtherHosts.servedShare();
    EXPECT_GT(world.triesAtCutHosts.sent, 50U);
    EXPECT_GE(atCut, atOthers * 0.95);
    EXPECT_TRUE(world.violations.empty());
}

// Guards against two hosts that order at one engine when paths are lost and come back.
TEST_P(CutOffHosts, LeaveOneHostThatOrdersAtAnEngine)
{
    const Case &fleet = GetParam();
    const std::uint64_t seeds = fleet.hostsPerZone > 2 ? 1 : 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world{ settingsOf(fleet, seed) };
        world.runFor(std::chrono::milliseconds(8000 + 37 * seed));
        for (int round = 1; round <= 3; ++round) {
            cutHosts(world, fleet, fleet.cut);
            world.runFor(std::chrono::milliseconds(1700 * round));
            cutHosts(world, fleet, EngineCut::None);
            world.runFor(std::chrono::milliseconds(1500 * round));
        }
        for (const Violation &violation : world.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation.what;
    }
}

INSTANTIATE_TEST_SUITE_P(
        Fleets, CutOffHosts,
        testing::Values(Case{ 3, 2, 3, 40, CutHosts::Half, EngineCut::Hang },
                        Case{ 3, 2, 3, 40, CutHosts::Half, EngineCut::Refuse },
                        Case{ 3, 2, 3, 40, CutHosts::WholeZone, EngineCut::Hang },
                        Case{ 3, 2, 3, 40, CutHosts::AllButOne, EngineCut::Refuse },
                        Case{ 3, 23, 24, 300, CutHosts::Half, EngineCut::Hang },
                        Case{ 3, 23, 24, 300, CutHosts::WholeZone, EngineCut::Refuse },
                        Case{ 5, 39, 24, 400, CutHosts::WholeZone, EngineCut::Hang }));

} // namespace
} // namespace azurewell::gateway
