#include "world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace azurewell::gateway {
namespace {

std::string firstOf(const World &world)
{
    if (world.violations.empty())
        return {};
    const Violation &first = world.violations.front();
    return "at " + std::to_string(toSeconds(first.at - Instant{ 1'000'000'000 }))
            + " s: " + first.what;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/// The most tokens that started to run within any 8 s.
double mostTokensInWindow(const World &world)
{
    double most = 0;
    double sum = 0;
    auto from = world.admittedTokens.begin();
    for (const auto &[at, tokens] : world.admittedTokens) {
        sum += tokens;
        for (; at - from->first >= std::chrono::seconds(8); ++from)
            sum -= from->second;
        most = std::max(most, sum);
    }
    return most;
}

TEST(GatewayWorld, ACalmFleetServesRareAdaptersInTime)
{
    // Callers ask for 300 adapters of which a few are popular, and nine engines have five places
    // each. A fleet that loads too slowly, or evicts what is about to be used, starts requests
    // late.
    World world{ WorldSettings{} };
    world.runFor(std::chrono::seconds(40));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered, world.asked * 93 / 100);
    EXPECT_LT(quantile(world.startSeconds, 0.95), 0.75);
    EXPECT_LT(world.unloadsInUse, world.unloads * 3 / 100);
}

TEST(GatewayWorld, RequestsStartWhenTheirLoadIsOverAndNotWhenAReportShowsIt)
{
    // Engines report what they hold with a delay of 200 ms, nearly as long as a load takes. Hosts
    // that wait for a report start requests for rare adapters 300 ms later than they could, half of
    // the time that callers take for prompt.
    WorldSettings settings;
    settings.reportLag = std::chrono::milliseconds(200);
    World world{ settings };
    world.runFor(std::chrono::seconds(40));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered, world.asked * 95 / 100);
    EXPECT_LT(quantile(world.startSeconds, 0.9), 0.36);
    EXPECT_LT(world.turnedAway, world.loads / 6);
}

TEST(GatewayWorld, MoreLoadsThanTheStoreBringsAreRefusedEarlyAndTheRestServed)
{
    // More than four times as many requests as in calm times. Loads that queue without a bound
    // would each come after their request was given up, and nobody with a rare adapter would be
    // served.
    WorldSettings settings;
    settings.requestsPerSecond = 180;
    World world{ settings };
    world.runFor(std::chrono::seconds(30));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered, world.asked * 60 / 100);
    EXPECT_LT(quantile(world.startSeconds, 0.95), 1.2);
}

TEST(GatewayWorld, ACustomerStaysWithinItsLimitOverAllHosts)
{
    // One customer sends four times its rate through all hosts, and two hosts are replaced
    // meanwhile. A limit that each host kept for itself would let through six times as much, and a
    // new host that began with a full burst would hand out once more what was used already.
    WorldSettings settings;
    settings.tokenRate = 30000;
    World world{ settings };
    world.runFor(std::chrono::seconds(12));
    world.killHost(0);
    world.runFor(std::chrono::milliseconds(800));
    world.startHost(0, false);
    world.killHost(3);
    world.runFor(std::chrono::seconds(2));
    world.startHost(3, false);
    world.runFor(std::chrono::seconds(15));
    EXPECT_EQ(firstOf(world), "");
    const double room = settings.tokenRate * 9;
    const double most = mostTokensInWindow(world);
    EXPECT_LE(most, room * 1.02);
    EXPECT_GT(most, room * 0.8);
}

TEST(GatewayWorld, EnginesThatStartEmptyGetTheirModelAgain)
{
    // Three engines crash and come back without their base model. Until somebody orders it they
    // serve nothing, and their adapters are gone.
    World world{ WorldSettings{} };
    world.runFor(std::chrono::seconds(10));
    for (std::size_t engine = 0; engine < 3; ++engine)
        world.restartEngine(engine);
    world.runFor(std::chrono::seconds(10));
    const std::uint64_t answered = world.answered;
    const std::uint64_t asked = world.asked;
    world.runFor(std::chrono::seconds(10));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered - answered, (world.asked - asked) * 93 / 100);
}

// Guards against an empty engine that serves nothing for as long as a load may take because the
// order of its model was lost.
TEST(GatewayWorld, AnEmptyEngineGetsItsModelInTimeWhenTheFirstOrderIsLost)
{
    constexpr std::size_t restarted = 3;
    constexpr Span servesAgainWithin = std::chrono::seconds(12);
    WorldSettings settings;
    settings.lostBaseOrders = restarted;
    World world{ settings };
    world.runFor(std::chrono::seconds(10));
    for (std::size_t engine = 0; engine < restarted; ++engine)
        world.restartEngine(engine);
    world.runFor(servesAgainWithin);
    EXPECT_EQ(firstOf(world), "");
    for (std::size_t engine = 0; engine < restarted; ++engine)
        EXPECT_TRUE(world.holdsBase(engine));
}

TEST(GatewayWorld, AnOrderThatIsHeldUpDoesNotOverfillItsEngine)
{
    // An order to load waits for its connection to open while reports come over another one and do
    // not show the load yet. Taken for failed, its place is given to a second adapter; the engine
    // is then ordered to hold six adapters in five places, crashes, and breaks off all that it
    // runs.
    WorldSettings settings;
    settings.slowOrders = 0.1;
    World world{ settings };
    world.runFor(std::chrono::seconds(40));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered, world.asked * 88 / 100);
}

TEST(GatewayWorld, ASmallFleetTalksLittle)
{
    // Nine hosts that name all others to each other in each heartbeat send 5 KB a second each for
    // that alone, two thirds of it between zones, where every byte is paid for. Control may take
    // 25 KB a second of a host, sent and received together.
    WorldSettings settings;
    settings.hostsPerZone = 3;
    settings.countsBytes = true;
    World world{ settings };
    world.runFor(std::chrono::seconds(10));
    const std::uint64_t bytes = world.messageBytes;
    constexpr int seconds = 10;
    world.runFor(std::chrono::seconds(seconds));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_LT((world.messageBytes - bytes) / (world.hostCount() * seconds), 12'500U);
}

TEST(GatewayWorld, FaultsOfEnginesDoNotMakeALoadCountAsDone)
{
    // Engines fail half of their requests at once, also one that was sent for an adapter that they
    // still load. A host that takes the load for done has the adapter unloaded for another one; the
    // engine, which still loads it, is then ordered to hold more than it can, crashes, and breaks
    // off all that it runs.
    WorldSettings settings;
    settings.faults = 0.45;
    settings.requestsPerSecond = 90;
    for (settings.seed = 1; settings.seed <= 6; ++settings.seed) {
        World world{ settings };
        world.runFor(std::chrono::seconds(40));
        EXPECT_EQ(firstOf(world), "");
    }
}

/// A fleet of 86 hosts and 90 engines in three zones.
WorldSettings largeFleet()
{
    WorldSettings settings;
    settings.hostsPerZone = 28;
    settings.enginesPerZone = 30;
    settings.requestsPerSecond = 400;
    settings.adapters = 2000;
    settings.loadsAtOnce = 48;
    return settings;
}

/// 72 hosts before a customer that uses 1 / 1.8 of its rate.
WorldSettings limitedFleet()
{
    WorldSettings settings = largeFleet();
    settings.hostsPerZone = 24;
    settings.adapters = 40;
    settings.tokenRate = 150000;
    settings.requestsPerSecond = settings.tokenRate / 2000 / 1.8;
    return settings;
}

TEST(GatewayWorld, ALargeFleetTalksLittle)
{
    // Hosts of a large fleet that write to each other as often as those of a small one, or that
    // take each other for silent between two heartbeats and ask every engine for themselves, spend
    // their whole time on that and serve nobody.
    WorldSettings settings = largeFleet();
    settings.countsBytes = true;
    World world{ settings };
    world.runFor(std::chrono::seconds(8));
    const std::uint64_t messages = world.messages;
    const std::uint64_t bytes = world.messageBytes;
    const std::uint64_t reports = world.reports;
    constexpr int seconds = 6;
    world.runFor(std::chrono::seconds(seconds));
    EXPECT_EQ(firstOf(world), "");
    const std::uint64_t hostSeconds = world.hostCount() * seconds;
    EXPECT_LT((world.messages - messages) / hostSeconds, 280U);
    EXPECT_LT((world.messageBytes - bytes) / hostSeconds, 45'000U);
    EXPECT_LT((world.reports - reports) / (world.engineCount() * seconds), 12U);
    EXPECT_GT(world.answered, world.asked * 80 / 100);
    EXPECT_LT(world.unloadsInUse, world.unloads * 3 / 100);
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        EXPECT_EQ(countHeard(world.hostState(host).members, world.now), world.hostCount() - 1);
    }
}

/// Faults of hosts and engines, a few at a time, drawn from a seed.
class FaultSeeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST(GatewayWorld, ACustomerOfALargeFleetStaysWithinItsLimitWhenItSuddenlySendsMore)
{
    // A customer that uses half of its rate sends six times as much from one moment to the next,
    // through 72 hosts of which each sees a small part. Each believes for a while that there is
    // room, and together they admit more than the customer may have.
    const WorldSettings settings = limitedFleet();
    World world{ settings };
    world.runFor(std::chrono::seconds(14));
    world.setRequestRate(settings.requestsPerSecond * 6);
    world.runFor(std::chrono::seconds(9));
    EXPECT_EQ(firstOf(world), "");
    const double room = settings.tokenRate * 9;
    EXPECT_LE(mostTokensInWindow(world), room);
    EXPECT_GT(mostTokensInWindow(world), room * 0.7);
}

TEST(GatewayWorld, ACustomerOfALargeFleetStaysWithinItsLimitWhenAllHostsStartAnew)
{
    // All hosts are killed while a customer sends five times its rate, and start again a second
    // later without any memory of what was admitted. Until they have told each other, each of them
    // believes that nobody has admitted anything since.
    const WorldSettings settings = limitedFleet();
    World world{ settings };
    world.runFor(std::chrono::seconds(14));
    world.setRequestRate(settings.requestsPerSecond * 5);
    world.runFor(std::chrono::seconds(4));
    for (std::size_t host = 0; host < world.hostCount(); ++host)
        world.killHost(host);
    world.runFor(std::chrono::seconds(1));
    for (std::size_t host = 0; host < world.hostCount(); ++host)
        world.startHost(host, false);
    world.runFor(std::chrono::seconds(8));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_LE(mostTokensInWindow(world), settings.tokenRate * 9);
}

/// The hosts that any host asks to relay in \a zone.
std::set<std::size_t> relaysOf(const World &world, const ZoneId &zone)
{
    std::set<std::size_t> relays;
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        Members members = world.hostState(host).members;
        const Member *relay = askRelay(members, zone, world.now);
        if (relay)
            relays.insert(std::stoul(relay->id.value.substr(1)));
    }
    return relays;
}

// Load pattern: more rare adapters than places. What was loaded for a waiting request looks idle
// and rare, is evicted before the request hears of it, and is loaded again.
TEST(GatewayWorld, ALoadIsKeptUntilTheRequestsThatAskedForItCanUseIt)
{
    WorldSettings settings = largeFleet();
    settings.adapters = 24000;
    settings.requestsPerSecond = 1000;
    World world{ settings };
    world.runFor(std::chrono::seconds(14));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_LT(world.loads, world.answered * 27 / 100);
    EXPECT_GT(world.answered, world.asked * 70 / 100);
}

// Hosts whose relay has just died believe that nobody else admits anything.
TEST(GatewayWorld, ACustomerOfALargeFleetStaysWithinItsLimitWhenTheRelaysOfAZoneDie)
{
    const WorldSettings settings = limitedFleet();
    World world{ settings };
    world.runFor(std::chrono::seconds(14));
    for (const std::size_t relay : relaysOf(world, ZoneId{ "z1" }))
        world.killHost(relay);
    world.setRequestRate(settings.requestsPerSecond * 6);
    world.runFor(std::chrono::seconds(9));
    EXPECT_EQ(firstOf(world), "");
    EXPECT_LE(mostTokensInWindow(world), settings.tokenRate * 9);
}

// Each piece of news crosses between the zones once for each host that hears it.
TEST(GatewayWorld, NewsOfALargeFleetCrossBetweenZonesOnce)
{
    WorldSettings settings = largeFleet();
    settings.countsBytes = true;
    World world{ settings };
    world.runFor(std::chrono::seconds(8));
    const SentCounts before = world.sentByKind;
    constexpr int seconds = 6;
    world.runFor(std::chrono::seconds(seconds));
    std::uint64_t bytes = 0;
    for (const auto &[kind, byZone] : world.sentByKind)
        bytes += byZone.elsewhere.bytes - before.at(kind).elsewhere.bytes;
    EXPECT_EQ(firstOf(world), "");
    EXPECT_LT(bytes / (world.hostCount() * seconds), 8'000U);
}

/// Kills, pauses and cuts hosts and restarts engines, in series that overlap.
void playFaults(World &world, std::uint64_t seed, int rounds)
{
    std::mt19937_64 random(seed);
    world.runFor(std::chrono::seconds(8));
    for (int round = 0; round < rounds; ++round) {
        const std::size_t host = random() % world.hostCount();
        const Span length = std::chrono::milliseconds(500 + random() % 9000);
        const std::uint64_t kind = random() % 4;
        if (kind == 0) {
            world.killHost(host);
            world.runFor(length);
            world.startHost(host, false);
        } else if (kind == 1) {
            world.pauseHost(host, length);
        } else if (kind == 2) {
            world.cutHost(host, true);
            world.runFor(length);
            world.cutHost(host, false);
        } else {
            world.restartEngine(random() % world.engineCount());
        }
        world.runFor(std::chrono::milliseconds(random() % 6000));
    }
}

TEST_P(FaultSeeds, NoTwoHostsOrderAtOneEngine)
{
    // Hosts are killed, paused past their rights, cut off from all others while they still reach
    // every engine, and started again, in series that overlap. Two hosts that order at one engine
    // within the lease evict each other's adapters under running requests.
    WorldSettings settings;
    settings.seed = GetParam();
    World world{ settings };
    constexpr int rounds = 8;
    playFaults(world, GetParam(), rounds);
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered, world.asked / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultSeeds, testing::Range<std::uint64_t>(1, 13));

// Seeds that once showed two hosts at one engine: a host that had been paused, one that came back
// from a cut and went on with its right, one that took over before the other had noticed the cut,
// and an engine whose restart looked like the first start of the whole system.
INSTANTIATE_TEST_SUITE_P(Found, FaultSeeds,
                         testing::Values(29, 30, 35, 37, 39, 44, 53, 67, 74, 91, 97, 105, 119, 124,
                                         147, 160, 253));

/// The same in a fleet whose heartbeats come less often.
class LargeFaultSeeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(LargeFaultSeeds, NoTwoHostsOrderAtOneEngine)
{
    // Twenty hosts of each zone hear each other only every half second and notice a silence after
    // two. Several at a time are cut off, which still reach every engine, while others take over.
    WorldSettings settings;
    settings.seed = GetParam();
    settings.hostsPerZone = 21;
    settings.enginesPerZone = 8;
    settings.requestsPerSecond = 150;
    World world{ settings };
    std::mt19937_64 random(GetParam());
    world.runFor(std::chrono::seconds(8));
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        const std::size_t first = random() % world.hostCount();
        const std::size_t count = 1 + random() % 12;
        const std::uint64_t kind = random() % 3;
        const Span length = std::chrono::milliseconds(500 + random() % 9000);
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t host = (first + index * 3) % world.hostCount();
            if (kind == 0)
                world.killHost(host);
            else if (kind == 1)
                world.pauseHost(host, length);
            else
                world.cutHost(host, true);
        }
        world.runFor(length);
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t host = (first + index * 3) % world.hostCount();
            if (kind == 0)
                world.startHost(host, false);
            world.cutHost(host, false);
        }
        world.runFor(std::chrono::milliseconds(random() % 5000));
    }
    EXPECT_EQ(firstOf(world), "");
    EXPECT_GT(world.answered, world.asked / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LargeFaultSeeds, testing::Range<std::uint64_t>(1, 4));

} // namespace
} // namespace azurewell::gateway
