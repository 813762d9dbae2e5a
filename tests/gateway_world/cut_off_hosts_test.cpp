#include "fleet_size.h"

#include <gtest/gtest.h>

#include <ostream>

namespace azurewell::gateway {
namespace {

/// Hosts that lose their path to all engines.
enum class CutHosts { Half, WholeZone, AllButOne };

/// A fleet and what happens to it.
struct Case
{
    FleetSize fleet;
    CutHosts hosts;
    EngineCut cut;
};

std::ostream &operator<<(std::ostream &out, const Case &one)
{
    constexpr const char *names[] = { "half", "whole_zone", "all_but_one" };
    return out << one.fleet << '_' << names[static_cast<int>(one.hosts)]
               << (one.cut == EngineCut::Hang ? "_hang" : "_refuse");
}

constexpr std::size_t adaptersPerEngine = 40;

bool isCut(const Case &one, std::size_t host)
{
    switch (one.hosts) {
    case CutHosts::Half:
        return host < one.fleet.zones * one.fleet.hostsPerZone / 2;
    case CutHosts::WholeZone:
        return host % one.fleet.zones == 0;
    case CutHosts::AllButOne:
        break;
    }
    return host != 0;
}

void cutHosts(World &world, const Case &one, EngineCut cut)
{
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        if (isCut(one, host))
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
    const Case &one = GetParam();
    World world{ settingsWithAdapters(one.fleet, adaptersPerEngine) };
    world.runFor(std::chrono::seconds(8));
    cutHosts(world, one, one.cut);
    world.runFor(std::chrono::seconds(12));
    cutHosts(world, one, EngineCut::None);
    const double atCut = world.triesAtCutHosts.servedShare();
    const double atOthers = world.triesAtOtherHosts.servedShare();
    EXPECT_GT(world.triesAtCutHosts.sent, 50U);
    EXPECT_GE(atCut, atOthers * 0.95);
    EXPECT_TRUE(world.violations.empty());
}

// Guards against two hosts that order at one engine when paths are lost and come back.
TEST_P(CutOffHosts, LeaveOneHostThatOrdersAtAnEngine)
{
    const Case &one = GetParam();
    const std::uint64_t seeds = one.fleet.hostsPerZone > 2 ? 1 : 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world{ settingsWithAdapters(one.fleet, adaptersPerEngine, seed) };
        world.runFor(std::chrono::milliseconds(8000 + 37 * seed));
        for (int round = 1; round <= 3; ++round) {
            cutHosts(world, one, one.cut);
            world.runFor(std::chrono::milliseconds(1700 * round));
            cutHosts(world, one, EngineCut::None);
            world.runFor(std::chrono::milliseconds(1500 * round));
        }
        for (const Violation &violation : world.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation.what;
    }
}

INSTANTIATE_TEST_SUITE_P(
        Fleets, CutOffHosts,
        testing::Values(Case{ { 3, 2, 3, 40 }, CutHosts::Half, EngineCut::Hang },
                        Case{ { 3, 2, 3, 40 }, CutHosts::Half, EngineCut::Refuse },
                        Case{ { 3, 2, 3, 40 }, CutHosts::WholeZone, EngineCut::Hang },
                        Case{ { 3, 2, 3, 40 }, CutHosts::AllButOne, EngineCut::Refuse },
                        Case{ { 3, 23, 24, 300 }, CutHosts::Half, EngineCut::Hang },
                        Case{ { 3, 23, 24, 300 }, CutHosts::WholeZone, EngineCut::Refuse },
                        Case{ { 5, 39, 24, 400 }, CutHosts::WholeZone, EngineCut::Hang }));

} // namespace
} // namespace azurewell::gateway
