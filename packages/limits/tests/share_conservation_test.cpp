#include "share_fleet.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

/// Short times, so that a run of a few seconds covers many leases, requests and takeovers.
ShareSettings shortTimes()
{
    ShareSettings settings;
    settings.lease = fromSeconds(0.5);
    settings.maxLentRunTime = fromSeconds(1);
    settings.reachableTimeout = fromSeconds(0.5);
    settings.pauseThreshold = fromSeconds(0.2);
    settings.takeoverDelay = fromSeconds(0.25);
    settings.queryInterval = fromSeconds(0.1);
    settings.mutualDoubtTimeout = fromSeconds(3);
    settings.layout.minShareTokens = 100;
    return settings;
}

FleetFaults allFaults()
{
    FleetFaults faults;
    faults.lost = 0.05;
    faults.duplicated = 0.05;
    faults.maxDelay = fromSeconds(0.4);
    faults.pausesPerSecond = 0.3;
    faults.replacementsPerSecond = 0.15;
    faults.partitionsPerSecond = 0.15;
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

/// Two host ordinals: each share is half of the whole, so that a fault at one is clearly visible.
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

/// Whether a run with one of the first \a seeds violates the bound.
bool violatesBound(const ShareSettings &settings, const FleetFaults &faults,
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

// Guards against exceeding rate x window + burst over any window. Messages are lost, duplicated and
// delayed, hosts paused and replaced, zones partitioned, and tickets change rate, burst and host
// ordinals, all at once, while the customer sends bursts far above its rate.
TEST_P(ShareConservation, NoWindowExceedsRateAndBurst)
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
    // Runs that never come near the bound would not test it.
    EXPECT_GT(fullest, 0.8);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShareConservation, testing::Range<std::uint64_t>(0, 8));

// Guards against serving nothing, or more than the bound, during a network partition: a zone is
// partitioned from the others under full load, and both sides serve from the shares they own.
TEST(ShareConservationFaults, BothSidesOfAPartitionServeWithinTheBound)
{
    ShareFleet fleet(1, shortTimes(), FleetFaults{}, firstTicket());
    fleet.run(fromSeconds(3));
    for (const char *other : { "b", "c" })
        fleet.partitionedUntil[{ ZoneId{ "a" }, ZoneId{ other } }] = fleet.now + fromSeconds(30);
    const std::vector<std::uint64_t> before = fleet.admittedByHost();
    fleet.run(fromSeconds(20));
    const std::vector<std::uint64_t> after = fleet.admittedByHost();
    for (std::size_t host = 0; host < before.size(); ++host)
        EXPECT_GT(after[host], before[host]) << "host " << host;
    EXPECT_LE(fleet.meter.worst, roundingTokens);
}

// The check must detect a new host that starts with its whole share of the burst: with each
// replacement the customer would get that share again.
TEST(ShareConservationFaults, FullNewShareIsDetected)
{
    ShareSettings settings = shortTimes();
    FleetFaults faults;
    faults.replacementsPerSecond = 1;
    EXPECT_FALSE(violatesBound(settings, faults, twoSeats(), 1000));
    settings.faults.newShareIsFull = true;
    EXPECT_TRUE(violatesBound(settings, faults, twoSeats(), 1000));
}

// The check must detect a lender whose bucket refills over the tokens that it has lent, so that
// both are generated at once.
TEST(ShareConservationFaults, LendingWithoutReservingIsDetected)
{
    ShareSettings settings = shortTimes();
    EXPECT_FALSE(violatesBound(settings, FleetFaults{}, firstTicket()));
    settings.faults.lendsWithoutReserving = true;
    EXPECT_TRUE(violatesBound(settings, FleetFaults{}, firstTicket()));
}

// The check must detect a grant that arrives twice and is counted twice.
TEST(ShareConservationFaults, DuplicateGrantIsDetected)
{
    ShareSettings settings = shortTimes();
    FleetFaults faults;
    faults.duplicated = 0.5;
    faults.maxDelay = fromSeconds(0.2);
    EXPECT_FALSE(violatesBound(settings, faults, firstTicket()));
    settings.faults.acceptsDuplicates = true;
    EXPECT_TRUE(violatesBound(settings, faults, firstTicket()));
}
