#include "fleet_size.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

/// The size of a fleet and its request rate.
constexpr std::size_t adaptersPerEngine = 40;

class StatedLeaving : public testing::TestWithParam<FleetSize>
{
};

// Guards against requests to an upstream that has said in an answer that it leaves, while the
// platform's list does not know yet.
TEST_P(StatedLeaving, EndsNewRequestsBeforeTheListKnows)
{
    World world{ settingsWithAdapters(GetParam(), adaptersPerEngine) };
    world.runFor(std::chrono::seconds(8));
    world.stateLeaving(0);
    world.stateLeaving(1);
    world.runFor(std::chrono::seconds(12));
    EXPECT_EQ(world.arrivalsAtLeavingEngines, 0U);
    EXPECT_TRUE(world.violations.empty());
}

// Guards against a statement of one process that is applied to the next one.
TEST_P(StatedLeaving, EndsWithTheProcessThatStatedIt)
{
    World world{ settingsWithAdapters(GetParam(), adaptersPerEngine) };
    world.runFor(std::chrono::seconds(8));
    world.stateLeaving(0);
    world.runFor(std::chrono::seconds(4));
    world.crashEngine(0);
    world.runFor(std::chrono::seconds(16));
    EXPECT_GT(world.runsAt(0), 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, StatedLeaving,
                         testing::Values(FleetSize{ 3, 2, 3, 60 }, FleetSize{ 3, 23, 24, 300 }));

class StatedPauses : public testing::TestWithParam<FleetSize>
{
};

// Guards against requests to an upstream that has rejected one and asked for a pause.
TEST_P(StatedPauses, AreKept)
{
    constexpr std::size_t maxArrivals = 2;
    World world{ settingsWithAdapters(GetParam(), adaptersPerEngine) };
    world.runFor(std::chrono::seconds(8));
    world.statePauses(0, std::chrono::seconds(3));
    world.statePauses(1, std::chrono::seconds(3));
    world.runFor(std::chrono::seconds(10));
    EXPECT_LE(world.maxArrivalsInPause(), maxArrivals);
}

// Guards against an upstream that gets no request after its pause.
TEST_P(StatedPauses, End)
{
    World world{ settingsWithAdapters(GetParam(), adaptersPerEngine) };
    world.runFor(std::chrono::seconds(8));
    world.statePauses(0, std::chrono::seconds(3));
    world.runFor(std::chrono::seconds(4));
    world.statePauses(0, Span{});
    const std::uint64_t before = world.runsAt(0);
    world.runFor(std::chrono::seconds(8));
    EXPECT_GT(world.runsAt(0), before);
}

INSTANTIATE_TEST_SUITE_P(Fleets, StatedPauses,
                         testing::Values(FleetSize{ 3, 2, 3, 60 }, FleetSize{ 3, 3, 3, 120 }));

class BrittleEngines : public testing::TestWithParam<FleetSize>
{
};

// Guards against engines that crash because they have to reject more requests than they can bear.
TEST_P(BrittleEngines, AreNotBroughtDownByRequestsThatTheyReject)
{
    constexpr std::size_t room = 2;
    constexpr std::size_t maxRejections = 4;
    World world{ settingsWithAdapters(GetParam(), adaptersPerEngine) };
    world.runFor(std::chrono::seconds(8));
    for (std::size_t engine = 0; engine < world.engineCount(); ++engine)
        world.makeBrittle(engine, room, maxRejections);
    world.runFor(std::chrono::seconds(12));
    EXPECT_LE(world.crashesByRejections, 2 + world.engineCount() / 10);
    EXPECT_GT(world.answered, 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, BrittleEngines,
                         testing::Values(FleetSize{ 3, 2, 3, 100 }, FleetSize{ 3, 3, 3, 160 },
                                         FleetSize{ 3, 23, 24, 700 }));

} // namespace
} // namespace azurewell::gateway
