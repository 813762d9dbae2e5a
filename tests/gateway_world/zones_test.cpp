#include "fleet_size.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

constexpr double warmupPerSecond = 9.2;

/// The most requests that a cold engine may get within a second.
constexpr double maxColdArrivals = 1.5 * warmupPerSecond + 5;

/// Callers send from 4 s on.
constexpr Span settling = std::chrono::seconds(6);

class ZonesTest : public testing::TestWithParam<FleetSize>
{
protected:
    static WorldSettings coldSettingsOf(const FleetSize &fleet)
    {
        WorldSettings settings = settingsWithAdapters(fleet, 20);
        settings.warmupPerSecond = warmupPerSecond;
        return settings;
    }

    void makeAllCold()
    {
        for (std::size_t engine = 0; engine < this->world.engineCount(); ++engine)
            this->world.makeCold(engine);
    }

    World world{ coldSettingsOf(GetParam()) };
};

// Guards against requests to an evacuated zone by hosts that learned of it late, were paused, or
// started during the evacuation.
TEST_P(ZonesTest, AnEvacuatedZoneGetsNoRequestsAfterTheTimeout)
{
    this->world.runFor(settling);
    this->world.evacuateZone(0);
    this->world.killHost(1);
    this->world.pauseHost(2, std::chrono::seconds(2));
    this->world.runFor(std::chrono::seconds(3));
    this->world.startHost(1, false);
    const std::uint64_t answered = this->world.answered;
    const std::uint64_t sent = this->world.requestsSent;
    this->world.runFor(std::chrono::seconds(5));
    EXPECT_EQ(this->world.arrivalsInEvacuatedZones, 0U);
    EXPECT_TRUE(this->world.violations.empty());
    EXPECT_GT(this->world.answered - answered, (this->world.requestsSent - sent) / 2);
}

// Guards against a burst at engines whose zone is back in use and that were restarted meanwhile.
TEST_P(ZonesTest, EnginesOfAZoneThatIsBackInUseAreNotOverloadedWhileCold)
{
    this->world.runFor(settling);
    this->world.evacuateZone(0);
    this->world.runFor(std::chrono::seconds(7));
    this->world.returnZone(0);
    this->world.runFor(std::chrono::seconds(5));
    EXPECT_LE(static_cast<double>(this->world.maxColdArrivals()), maxColdArrivals);
}

// Guards against a burst at the engines of a zone that have crashed together and are back cold.
TEST_P(ZonesTest, EnginesThatReturnColdAreNotOverloaded)
{
    this->world.runFor(settling);
    for (std::size_t engine = 0; engine < this->world.engineCount(); engine += GetParam().zones)
        this->world.crashEngine(engine);
    this->world.runFor(std::chrono::seconds(7));
    EXPECT_LE(static_cast<double>(this->world.maxColdArrivals()), maxColdArrivals);
}

// Guards against a burst at engines that become cold without a restart, before hosts know it, while
// some hosts cannot reach the others.
TEST_P(ZonesTest, EnginesThatBecomeColdAreNotOverloadedBeforeHostsKnow)
{
    this->world.runFor(settling);
    for (std::size_t host = 0; host < this->world.hostCount(); host += 3)
        this->world.partitionHost(host, true);
    for (int round = 0; round < 2; ++round) {
        for (std::size_t engine = 0; engine < this->world.engineCount(); ++engine)
            this->world.makeCold(engine);
        this->world.runFor(std::chrono::seconds(4));
    }
    EXPECT_LE(static_cast<double>(this->world.maxColdArrivals()), maxColdArrivals);
}

// The same while half of the hosts cannot reach the others, some wake from a pause, and one starts.
TEST_P(ZonesTest, EnginesThatBecomeColdAreNotOverloadedWhileHostsWakeAndStart)
{
    this->world.runFor(settling);
    this->world.killHost(1);
    for (std::size_t host = 3; host < this->world.hostCount(); host += 7)
        this->world.pauseHost(host, std::chrono::seconds(2));
    this->world.runFor(std::chrono::milliseconds(1500));
    for (std::size_t host = 0; host < this->world.hostCount(); host += 2)
        this->world.partitionHost(host, true);
    this->makeAllCold();
    this->world.runFor(std::chrono::milliseconds(400));
    this->world.startHost(1, false);
    this->world.runFor(std::chrono::seconds(4));
    EXPECT_LE(static_cast<double>(this->world.maxColdArrivals()), maxColdArrivals);
}

// The same while no host reaches any other.
TEST_P(ZonesTest, EnginesThatBecomeColdAreNotOverloadedByHostsThatAreAllAlone)
{
    this->world.runFor(settling);
    for (std::size_t host = 0; host < this->world.hostCount(); ++host)
        this->world.partitionHost(host, true);
    for (int round = 0; round < 2; ++round) {
        this->makeAllCold();
        this->world.runFor(std::chrono::seconds(4));
    }
    EXPECT_LE(static_cast<double>(this->world.maxColdArrivals()), maxColdArrivals);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ZonesTest,
                         testing::Values(FleetSize{ 3, 2, 3, 120 }, FleetSize{ 3, 23, 30, 700 },
                                         FleetSize{ 5, 39, 24, 900 }));

} // namespace
} // namespace azurewell::gateway
