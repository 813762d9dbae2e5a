#include "fleet_size.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

constexpr Span settling = std::chrono::seconds(10);
constexpr std::size_t adaptersPerEngine = 40;

/// Fleets in which two hosts could order at one engine at a time. Each adapter is requested by all
/// hosts, so that whoever may order does.
class OneOrderer : public testing::TestWithParam<FleetSize>
{
protected:
    /// Runs \a play for each seed and reports the first violation of each.
    template <typename Play>
    void playSeeds(Play play)
    {
        for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
            const World world = play(settingsWithAdapters(GetParam(), adaptersPerEngine, seed));
            if (!world.violations.empty()) {
                ADD_FAILURE() << "seed " << seed << ": " << world.violations.size()
                              << " violations, the first at "
                              << toSeconds(world.violations.front().at - Instant{})
                              << " s: " << world.violations.front().what;
            }
            EXPECT_GT(world.answered, 0U);
        }
    }
};

/// Whether \a host is among the third of the hosts that is disturbed in \a round.
bool isDisturbed(std::size_t host, std::size_t round)
{
    return (host * 7 + round) % 3 == 0;
}

// Guards against a host that goes on to order when all its messages to others are lost and another
// host has taken over.
TEST_P(OneOrderer, StopsWhenOthersNoLongerHearIt)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 3; ++round) {
            for (std::size_t host = 0; host < world.hostCount(); ++host)
                world.muteHost(host, isDisturbed(host, round));
            world.runFor(std::chrono::milliseconds(6000 + 37 * settings.seed));
            for (std::size_t host = 0; host < world.hostCount(); ++host)
                world.muteHost(host, false);
            world.runFor(std::chrono::milliseconds(3000));
        }
        return world;
    });
}

// Guards against the same at engines that have accepted no order yet and so check no count.
TEST_P(OneOrderer, StopsWhenOthersNoLongerHearItBeforeTheFirstOrder)
{
    this->playSeeds([](WorldSettings settings) {
        settings.callersStart = std::chrono::milliseconds(4000 + 100 * settings.seed);
        World world{ settings };
        world.runFor(std::chrono::milliseconds(3500));
        for (std::size_t host = 0; host < world.hostCount(); ++host)
            world.muteHost(host, isDisturbed(host, settings.seed));
        world.runFor(std::chrono::seconds(12));
        return world;
    });
}

// Guards against hosts that get the processor late, again and again, and order by what was true
// before.
TEST_P(OneOrderer, IsAloneWhileHostsAreStarved)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 4; ++round) {
            const Span maxLag = std::chrono::milliseconds(round % 2 == 0 ? 3000 : 700);
            for (std::size_t host = 0; host < world.hostCount(); ++host)
                world.starveHost(host, isDisturbed(host, round) ? maxLag : Span{});
            world.runFor(std::chrono::milliseconds(6000 + 37 * settings.seed));
        }
        return world;
    });
}

// Guards against orders that reach their engine after another host has taken over.
TEST_P(OneOrderer, IsAloneWhenOrdersAreLate)
{
    this->playSeeds([](WorldSettings settings) {
        settings.maxOrderDelay = std::chrono::milliseconds(1200);
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 3; ++round) {
            for (std::size_t host = 0; host < world.hostCount(); ++host)
                world.partitionHost(host, isDisturbed(host, round));
            world.runFor(std::chrono::milliseconds(5000 + 37 * settings.seed));
            for (std::size_t host = 0; host < world.hostCount(); ++host)
                world.partitionHost(host, false);
            world.runFor(std::chrono::milliseconds(2500));
        }
        return world;
    });
}

// Guards against a host that starts late in the first start of the system and orders at once at an
// engine where another one does.
TEST_P(OneOrderer, IsAloneWhenHostsStartOverManySeconds)
{
    this->playSeeds([](WorldSettings settings) {
        settings.firstStartSpread = std::chrono::seconds(9);
        World world{ settings };
        world.runFor(std::chrono::seconds(25));
        return world;
    });
}

// Guards against a fencing number that is lower than that of a host that was killed before the
// others heard of its number.
TEST_P(OneOrderer, UsesHigherFencingNumbersThanAHostThatWasKilled)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 3; ++round) {
            for (std::size_t host = 0; host < world.hostCount(); ++host) {
                if (isDisturbed(host, round))
                    world.killHost(host);
            }
            world.runFor(std::chrono::milliseconds(5000 + 37 * settings.seed));
            for (std::size_t host = 0; host < world.hostCount(); ++host) {
                if (isDisturbed(host, round))
                    world.startHost(host, false);
            }
            world.runFor(std::chrono::milliseconds(4500 + 137 * settings.seed));
        }
        return world;
    });
}

// Guards against reports of which a newer one shows an older state of its engine.
TEST_P(OneOrderer, DoesNotBelieveReportsThatStepBack)
{
    this->playSeeds([](WorldSettings settings) {
        settings.reportLagJitter = std::chrono::milliseconds(300);
        World world{ settings };
        world.runFor(std::chrono::seconds(40));
        return world;
    });
}

// Guards against orders that are carried out long after their host took them for unanswered.
TEST_P(OneOrderer, IsAloneWhenUnansweredOrdersArriveSecondsLater)
{
    this->playSeeds([](WorldSettings settings) {
        settings.heldUpOrderFraction = 0.3;
        settings.maxHoldUp = std::chrono::seconds(4);
        World world{ settings };
        world.runFor(std::chrono::seconds(40));
        return world;
    });
}

class OneOrdererAfterLongPartitions : public OneOrderer
{
};

// Guards against two sides of a long partition that have forgotten each other and both order at
// engines that restart.
TEST_P(OneOrdererAfterLongPartitions, IsAloneWhenEnginesRestart)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t host = 0; host < world.hostCount(); ++host)
            world.moveToSide(host, isDisturbed(host, settings.seed) ? 1 : 0);
        world.runFor(std::chrono::seconds(50));
        for (std::size_t engine = 0; engine < world.engineCount(); ++engine) {
            world.crashEngine(engine);
            world.runFor(std::chrono::milliseconds(700));
        }
        world.runFor(std::chrono::seconds(8));
        return world;
    });
}

INSTANTIATE_TEST_SUITE_P(Fleets, OneOrderer,
                         testing::Values(FleetSize{ 3, 2, 3, 40, 40 },
                                         FleetSize{ 3, 23, 24, 300, 2 },
                                         FleetSize{ 5, 39, 24, 400, 1 }));

INSTANTIATE_TEST_SUITE_P(Fleets, OneOrdererAfterLongPartitions,
                         testing::Values(FleetSize{ 3, 2, 3, 40, 40 }));

} // namespace
} // namespace azurewell::gateway
