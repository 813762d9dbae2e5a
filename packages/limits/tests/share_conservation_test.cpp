#include "share_fleet.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

/// Short times, so that a few seconds hold many leases, runs and takeovers.
ShareSettings shortTimes()
{
    ShareSettings settings;
    settings.lease = fromSeconds(0.5);
    settings.longestRun = fromSeconds(1);
    settings.silence = fromSeconds(0.5);
    settings.wakeLimit = fromSeconds(0.2);
    settings.takeoverWait = fromSeconds(0.25);
    settings.queryInterval = fromSeconds(0.1);
    settings.mutualDoubt = fromSeconds(3);
    settings.layout.smallestPart = 100;
    return settings;
}

FleetFaults allFaults()
{
    FleetFaults faults;
    faults.lost = 0.05;
    faults.doubled = 0.05;
    faults.mostDelay = fromSeconds(0.4);
    faults.pausesPerSecond = 0.3;
    faults.replacementsPerSecond = 0.15;
    faults.cutsPerSecond = 0.15;
    faults.ticketsPerSecond = 0.2;
    return faults;
}

FleetTicket firstTicket()
{
    FleetTicket ticket;
    ticket.zones = { { ZoneId{ "a" }, 3 }, { ZoneId{ "b" }, 2 }, { ZoneId{ "c" }, 2 } };
    ticket.terms = ShareTerms{ CustomerId{ "c" }, 2000, 2500 };
    return ticket;
}

/// Two seats: each part is half of the whole, so that a fault at one shows clearly.
FleetTicket twoSeats()
{
    FleetTicket ticket = firstTicket();
    ticket.zones = { { ZoneId{ "a" }, 1 }, { ZoneId{ "b" }, 1 } };
    return ticket;
}

constexpr Span runLength = fromSeconds(6);
constexpr double roundingTokens = 1e-3;

class ShareConservation : public testing::TestWithParam<std::uint64_t>
{
};

/// Whether a run of one of the first \a seeds breaks the bound.
bool breaksTheBound(const ShareSettings &settings, const FleetFaults &faults,
                    const FleetTicket &ticket, std::uint64_t seeds = 100)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ShareFleet fleet(seed, settings, faults, ticket);
        fleet.run(runLength);
        if (fleet.meter.worst > roundingTokens)
            return true;
    }
    return false;
}

} // namespace

// Messages are lost, doubled and late, hosts are paused and replaced, zones are cut off, tickets
// change rate, burst and seats, all at once, while the customer sends far above its rate in bursts.
// Over no window may it receive more than rate times window plus burst.
TEST_P(ShareConservation, NoWindowHoldsMoreThanRateAndBurst)
{
    constexpr std::uint64_t seedsPerTest = 125;
    const std::uint64_t first = GetParam() * seedsPerTest;
    double fullest = 0;
    for (std::uint64_t seed = first; seed < first + seedsPerTest; ++seed) {
        ShareFleet fleet(seed, shortTimes(), allFaults(), firstTicket());
        fleet.run(runLength);
        EXPECT_LE(fleet.meter.worst, roundingTokens) << "seed " << seed;
        EXPECT_GT(fleet.admitted, 0U) << "seed " << seed;
        fullest = std::max(fullest, fleet.meter.fullest);
    }
    // Runs that never come near the bound would prove nothing.
    EXPECT_GT(fullest, 0.8);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShareConservation, testing::Range<std::uint64_t>(0, 8));

// A zone is cut off from the others while both sides are under full load. Both go on serving on the
// parts they hold, and the customer gets no more in sum.
TEST(ShareConservationFaults, BothSidesOfACutServeWithinTheBound)
{
    ShareFleet fleet(1, shortTimes(), FleetFaults{}, firstTicket());
    fleet.run(fromSeconds(3));
    for (const char *other : { "b", "c" })
        fleet.cutUntil[{ ZoneId{ "a" }, ZoneId{ other } }] = fleet.now + fromSeconds(30);
    const std::vector<std::uint64_t> before = fleet.admittedByHost();
    fleet.run(fromSeconds(20));
    const std::vector<std::uint64_t> after = fleet.admittedByHost();
    for (std::size_t host = 0; host < before.size(); ++host)
        EXPECT_GT(after[host], before[host]) << "host " << host;
    EXPECT_LE(fleet.meter.worst, roundingTokens);
}

// A fresh host starts with its whole part of the burst: with each replacement the customer gets
// that part once more. The check has to see it.
TEST(ShareConservationFaults, AFullFreshPartIsSeen)
{
    ShareSettings settings = shortTimes();
    FleetFaults faults;
    faults.replacementsPerSecond = 1;
    EXPECT_FALSE(breaksTheBound(settings, faults, twoSeats(), 1000));
    settings.faults.newPartIsFull = true;
    EXPECT_TRUE(breaksTheBound(settings, faults, twoSeats(), 1000));
}

// A lender's bucket refills over the tokens that it has lent, and both are made at once.
TEST(ShareConservationFaults, LendingWithoutHoldIsSeen)
{
    ShareSettings settings = shortTimes();
    EXPECT_FALSE(breaksTheBound(settings, FleetFaults{}, firstTicket()));
    settings.faults.lendsWithoutHold = true;
    EXPECT_TRUE(breaksTheBound(settings, FleetFaults{}, firstTicket()));
}

// A grant arrives twice and is counted twice.
TEST(ShareConservationFaults, ADoubledGrantIsSeen)
{
    ShareSettings settings = shortTimes();
    FleetFaults faults;
    faults.doubled = 0.5;
    faults.mostDelay = fromSeconds(0.2);
    EXPECT_FALSE(breaksTheBound(settings, faults, firstTicket()));
    settings.faults.acceptsDuplicates = true;
    EXPECT_TRUE(breaksTheBound(settings, faults, firstTicket()));
}
