#include "store_return_fleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <ostream>
#include <random>

namespace azurewell::gateway {
namespace {

constexpr std::size_t zones = 3;

struct FleetCase
{
    std::size_t hostsPerZone;
    Span inForceWithin; ///< As required by deployments of that size.
    std::uint64_t seeds;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &one)
{
    return out << zones * one.hostsPerZone << "_hosts";
}

using Random = std::mt19937_64;

Span randomMillis(Random &random, std::int64_t from, std::int64_t to)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(from, to)(random));
}

/// Draws a return that begins a few seconds after the start of the play.
StoreReturnPlan drawPlan(const FleetCase &fleetCase, std::uint64_t seed, Random &random)
{
    StoreReturnPlan plan;
    plan.hostsPerZone = fleetCase.hostsPerZone;
    plan.inForceWithin = fleetCase.inForceWithin;
    plan.seed = seed;
    StoreReturn one;
    one.awayAt = StoreReturnPlan::begins + randomMillis(random, 9000, 12'000);
    one.backAt = one.awayAt + randomMillis(random, 100, 5000);
    one.copyAge = randomMillis(random, 500, 8000);
    one.isRefusing = random() % 2 == 0;
    one.hasExpiredLeases = random() % 2 == 0;
    plan.returns = { one };
    return plan;
}

class StoreReturnTest : public testing::TestWithParam<FleetCase>
{
protected:
    using Change = void (*)(StoreReturnPlan &plan, Random &random);

    /// Plays a return for each seed, changed by \a change, and expects no violation.
    static void expectNoViolations(Change change)
    {
        const FleetCase &fleetCase = GetParam();
        const bool isEraIgnored = std::getenv("STORE_ERA_IGNORED") != nullptr;
        std::size_t failed = 0;
        std::map<std::string, std::size_t> kinds;
        for (std::uint64_t seed = 1; seed <= fleetCase.seeds; ++seed) {
            Random random(seed);
            StoreReturnPlan plan = drawPlan(fleetCase, seed, random);
            plan.isEraIgnored = isEraIgnored;
            change(plan, random);
            const StoreReturnResult result = playStoreReturns(plan);
            for (const auto &[kind, count] : result.violations)
                kinds[kind] += count;
            failed += result.violations.empty() ? 0 : 1;
            std::string details;
            for (const std::string &detail : result.details)
                details += "\n  " + detail;
            const Span awayFor = plan.returns.front().backAt - plan.returns.front().awayAt;
            EXPECT_TRUE(result.violations.empty())
                    << "seed " << seed << ", away at "
                    << toSeconds(plan.returns.front().awayAt - StoreReturnPlan::begins) << " s for "
                    << toSeconds(awayFor) << " s, copy " << toSeconds(plan.returns.front().copyAge)
                    << " s old" << details;
            for (const std::size_t calls : result.callsAfterReturn)
                RecordProperty("calls_" + std::to_string(seed), std::to_string(calls));
            std::cout << "seed " << seed << " calls";
            for (const std::size_t calls : result.callsAfterReturn)
                std::cout << ' ' << calls;
            std::cout << '\n';
        }
        std::cout << "seeds with violations " << failed << " of " << fleetCase.seeds << '\n';
        for (const auto &[kind, count] : kinds)
            std::cout << "  " << kind << ' ' << count << '\n';
    }
};

// Guards against changes of the new history that never come into force because their revisions are
// below those that the hosts know.
TEST_P(StoreReturnTest, ChangesBeforeAndAfterTheReturnComeIntoForce)
{
    expectNoViolations([](StoreReturnPlan &, Random &) {});
}

// Guards against changes that are lost when they are written in any moment round the return.
TEST_P(StoreReturnTest, ChangesInEachMomentRoundTheReturnComeIntoForce)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &) {
        plan.denseInterval = std::chrono::milliseconds(100);
    });
}

// Guards against a listing or an order of eras that mixes two histories when the store returns
// again before what it lost first is written.
TEST_P(StoreReturnTest, TwoReturnsInARowLoseNothing)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &random) {
        StoreReturn again = plan.returns.front();
        again.awayAt = plan.returns.front().backAt + randomMillis(random, 40, 4000);
        again.backAt = again.awayAt + randomMillis(random, 20, 2000);
        again.copyAge = randomMillis(random, 500, 9000);
        plan.returns.push_back(again);
    });
}

// Guards against a listing whose pages come from two histories.
TEST_P(StoreReturnTest, AReturnWithinAListingLosesNothing)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &random) {
        StoreReturn again = plan.returns.front();
        again.awayAt = plan.returns.front().backAt + randomMillis(random, 40, 600);
        again.backAt = again.awayAt + std::chrono::milliseconds(20);
        again.isRefusing = false;
        plan.returns.push_back(again);
    });
}

// Guards against hosts that start after the loss, list the older copy and never learn what it lost.
TEST_P(StoreReturnTest, HostsThatStartInTheGapLearnWhatWasLost)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &random) {
        const std::size_t count = plan.zones * plan.hostsPerZone;
        plan.absentFirst = { count - 1 };
        const std::int64_t away = (plan.returns.front().backAt - plan.returns.front().awayAt)
                / std::chrono::milliseconds(1);
        plan.starts.push_back(
                { count - 1, plan.returns.front().awayAt + randomMillis(random, -500, away) });
        for (std::size_t host = 0; host < count / 3; ++host)
            plan.starts.push_back(
                    { host * 3 + random() % 2,
                      plan.returns.front().awayAt + randomMillis(random, -500, away + 2500) });
    });
}

// Guards against hosts that the store turns away and that nobody tells what the new history has,
// lost or given up.
TEST_P(StoreReturnTest, HostsThatTheStoreTurnsAwayAreTold)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &random) {
        plan.rejectedEach = 2 + random() % 3;
        plan.rejectsFrom = plan.returns.front().awayAt - randomMillis(random, 0, 1500);
        plan.rejectsUntil = plan.returns.front().backAt + randomMillis(random, 100, 15'000);
    });
}

// Guards against hosts of a zone without messages from others that disagree with these for good.
TEST_P(StoreReturnTest, AZoneCutOffMeanwhileLosesNothing)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &random) {
        const std::size_t zone = random() % plan.zones;
        const Instant from = plan.returns.front().awayAt - randomMillis(random, 0, 2000);
        plan.cuts.push_back(
                { zone, from, plan.returns.front().backAt + randomMillis(random, -500, 4000) });
    });
}

// Guards against faults that show only when several of these happen at once.
TEST_P(StoreReturnTest, AllOfTheseAtOnceLoseNothing)
{
    expectNoViolations([](StoreReturnPlan &plan, Random &random) {
        const StoreReturn first = plan.returns.front();
        StoreReturn again = first;
        again.awayAt = first.backAt + randomMillis(random, 40, 6000);
        again.backAt = again.awayAt + randomMillis(random, 20, 3000);
        again.copyAge = randomMillis(random, 500, 10'000);
        plan.returns.push_back(again);
        if (random() % 2 == 0)
            plan.denseInterval = std::chrono::milliseconds(100);
        plan.rejectedEach = 3 + random() % 3;
        plan.rejectsFrom = first.awayAt - randomMillis(random, 0, 1500);
        plan.rejectsUntil = again.backAt + randomMillis(random, -1500, 9000);
        const std::size_t count = plan.zones * plan.hostsPerZone;
        const std::int64_t span = (again.backAt - first.awayAt) / std::chrono::milliseconds(1);
        for (std::size_t host = 0; host < count / 3; ++host)
            plan.starts.push_back({ host * 3 + random() % 3,
                                    first.awayAt + randomMillis(random, -500, span + 2000) });
    });
}

INSTANTIATE_TEST_SUITE_P(Fleets, StoreReturnTest,
                         testing::Values(FleetCase{ 2, std::chrono::seconds(2), 40 },
                                         FleetCase{ 23, std::chrono::seconds(3), 4 },
                                         FleetCase{ 65, std::chrono::seconds(4), 1 }));

} // namespace
} // namespace azurewell::gateway
