#include "fleet_size.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace azurewell::gateway {
namespace {

constexpr Span settling = std::chrono::seconds(10);

/// Servers that are released one after the other, in the time of a test.
constexpr std::size_t maxReleases = 12;

/// Share of the resumptions at hosts in touch that must go on while two servers of their version
/// serve.
constexpr double minShareThatGoesOn = 0.95;

/// Fleets before servers of two software versions, with callers that take broken streams up again
/// at any host.
class StreamVersions : public testing::TestWithParam<FleetSize>
{
protected:
    static WorldSettings streamSettingsOf(const FleetSize &fleet, std::uint64_t seed)
    {
        WorldSettings settings = settingsOf(fleet, seed);
        settings.adapters = 1;
        settings.servesStreams = true;
        settings.brokenStreams = 0.2;
        return settings;
    }

    /// Runs \a play for each seed. No stream may have events of two versions, and of the
    /// resumptions at hosts in touch enough must go on, over all seeds.
    template <typename Play>
    void playSeeds(Play play)
    {
        StreamTries resumptions;
        StreamTries newStreams;
        std::uint64_t ofTwoVersions = 0;
        for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
            const World world = play(streamSettingsOf(GetParam(), seed));
            if (world.streamsOfTwoVersions > 0) {
                ADD_FAILURE() << "seed " << seed << ": " << world.streamsOfTwoVersions
                              << " streams of two versions";
            }
            ofTwoVersions += world.streamsOfTwoVersions;
            resumptions.sent += world.resumptions.sent;
            resumptions.gotEvents += world.resumptions.gotEvents;
            newStreams.sent += world.newStreams.sent;
            newStreams.gotEvents += world.newStreams.gotEvents;
        }
        EXPECT_GE(resumptions.sent, 12 * GetParam().seeds);
        EXPECT_GE(resumptions.share(), minShareThatGoesOn)
                << resumptions.gotEvents << " of " << resumptions.sent;
        EXPECT_GE(newStreams.share(), minShareThatGoesOn)
                << newStreams.gotEvents << " of " << newStreams.sent;
        RecordProperty("resumptions", static_cast<int>(resumptions.sent));
        RecordProperty("went_on", static_cast<int>(resumptions.gotEvents));
        RecordProperty("of_two_versions", static_cast<int>(ofTwoVersions));
    }
};

/// Whether \a host is among the fifth of the hosts that is disturbed in \a round.
bool isDisturbed(std::size_t host, std::size_t round)
{
    return (host * 7 + round) % 5 == 0;
}

/// Replaces every second server, one after the other, by one of another version.
void playReleases(World &world, std::uint64_t seed)
{
    for (std::size_t round = 0; round < std::min(world.engineCount() / 2, maxReleases); ++round) {
        world.releaseEngine(2 * round, "v2");
        world.runFor(std::chrono::milliseconds(900 + 11 * seed));
    }
    world.runFor(settling);
}

/// Servers get another version while a fifth of the hosts reaches neither the others nor the store.
World playHostsWithoutTouch(WorldSettings settings)
{
    settings.softwareVersions = 1;
    World world{ settings };
    world.runFor(std::chrono::seconds(20));
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        const bool isAway = isDisturbed(host, settings.seed);
        world.takeStoreAway(host, isAway);
        world.moveToSide(host, isAway ? 1 + host : 0);
    }
    playReleases(world, settings.seed);
    return world;
}

// Guards against a stream that goes on at a server of another software version: what two versions
// write does not fit together.
TEST_P(StreamVersions, GoOnAtTheVersionThatBeganThem)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(std::chrono::seconds(20));
        return world;
    });
}

// Guards against a resumption that is refused or goes wrong because the host that passed on the
// first event is gone, and against hosts that have just started and know nothing.
TEST_P(StreamVersions, GoOnBesideRestartsAndJoinsOfHosts)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 4; ++round) {
            for (std::size_t host = 0; host < world.hostCount(); ++host) {
                if (isDisturbed(host, round))
                    world.killHost(host);
            }
            world.runFor(std::chrono::milliseconds(2000 + 37 * settings.seed));
            for (std::size_t host = 0; host < world.hostCount(); ++host) {
                if (isDisturbed(host, round))
                    world.startHost(host, false);
            }
            world.runFor(std::chrono::milliseconds(4500));
        }
        return world;
    });
}

// Guards against a resumption that waits for the answer of a host that stands still.
TEST_P(StreamVersions, GoOnBesideFrozenHosts)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 5; ++round) {
            for (std::size_t host = 0; host < world.hostCount(); ++host) {
                if (isDisturbed(host, round))
                    world.pauseHost(host, std::chrono::milliseconds(600 + 700 * round));
            }
            world.runFor(std::chrono::milliseconds(5000 + 37 * settings.seed));
        }
        return world;
    });
}

// Guards against records and questions on a calm day on which a service has one version only.
TEST_P(StreamVersions, CostNothingWhileThereIsOneVersion)
{
    OriginCounters sum;
    this->playSeeds([&sum](WorldSettings settings) {
        settings.softwareVersions = 1;
        World world{ settings };
        world.runFor(std::chrono::seconds(15));
        for (std::size_t host = 0; host < world.hostCount(); ++host) {
            const OriginCounters &counters = world.hostState(host).counters.origins;
            sum.recorded += counters.recorded;
            sum.sent += counters.sent;
            sum.questions += counters.questions;
            sum.unknown += counters.unknown;
        }
        return world;
    });
    EXPECT_GT(sum.recorded, 0U);
    EXPECT_EQ(sum.sent, 0U);
    EXPECT_EQ(sum.questions, 0U);
    EXPECT_EQ(sum.unknown, 0U);
}

// Guards against hosts without touch that guess who began a stream.
TEST_P(StreamVersions, GoOnBesideCutsOfZonesAndHosts)
{
    this->playSeeds([](const WorldSettings &settings) {
        World world{ settings };
        world.runFor(settling);
        for (std::size_t round = 0; round < 4; ++round) {
            for (std::size_t host = 0; host < world.hostCount(); ++host) {
                const bool isCut = round % 2 == 0 ? host % settings.zones == round / 2
                                                  : isDisturbed(host, round);
                world.moveToSide(host, isCut ? 1 : 0);
            }
            world.runFor(std::chrono::milliseconds(5000 + 37 * settings.seed));
            for (std::size_t host = 0; host < world.hostCount(); ++host)
                world.moveToSide(host, 0);
            world.runFor(std::chrono::milliseconds(4500));
        }
        return world;
    });
}

// Guards against streams that are begun and taken up again while the hosts learn, one after the
// other, that a server has another version now.
TEST_P(StreamVersions, GoOnWhileServersAreReleased)
{
    this->playSeeds([](WorldSettings settings) {
        settings.softwareVersions = 1;
        World world{ settings };
        world.runFor(settling);
        for (std::size_t server = 0; server < std::min(world.engineCount(), maxReleases);
             ++server) {
            world.releaseEngine(server, "v2");
            world.runFor(std::chrono::milliseconds(900 + 11 * settings.seed));
        }
        world.runFor(settling);
        return world;
    });
}

// Guards against hosts that are cut off from the others and the store, know of one version only and
// resume a stream there that another version has begun.
TEST_P(StreamVersions, AreNeverMixedWhileTheStoreIsAwayFromHostsWithoutTouch)
{
    this->playSeeds(playHostsWithoutTouch);
}

// Guards against a host that hears nobody, but takes its entries of servers for fresh until the
// members of a large fleet have timed out. A seed that showed it.
TEST(StreamVersionsInALargeFleet, AreNeverMixedAtAHostThatHearsNobody)
{
    WorldSettings settings = settingsOf(FleetSize{ 5, 39, 4, 120, 1 }, 2);
    settings.adapters = 1;
    settings.servesStreams = true;
    settings.brokenStreams = 0.2;
    EXPECT_EQ(playHostsWithoutTouch(settings).streamsOfTwoVersions, 0U);
}

// Guards against hosts of a zone that hear each other, but neither the other zones nor the store,
// and take themselves for in touch until the members of other zones have timed out.
TEST_P(StreamVersions, AreNeverMixedInAZoneWithoutTouchAndStore)
{
    this->playSeeds([](WorldSettings settings) {
        settings.softwareVersions = 1;
        World world{ settings };
        world.runFor(std::chrono::seconds(20));
        const std::size_t zone = settings.seed % settings.zones;
        for (std::size_t host = 0; host < world.hostCount(); ++host) {
            const bool isAway = host % settings.zones == zone;
            world.takeStoreAway(host, isAway);
            world.moveToSide(host, isAway ? 1 : 0);
        }
        playReleases(world, settings.seed);
        return world;
    });
}

// Guards against hosts that start after all were lost, list one version and go on there with
// streams that a version which has left began, however late and whether or not the caller names its
// attempt.
TEST_P(StreamVersions, AreNeverMixedAfterAllHostsWereLost)
{
    std::uint64_t resumptions = 0;
    for (std::uint64_t seed = 1; seed <= std::min<std::uint64_t>(GetParam().seeds, 8); ++seed) {
        WorldSettings settings = streamSettingsOf(GetParam(), seed);
        settings.softwareVersions = 1;
        settings.unnamedResumptions = 0.5;
        settings.maxTimeToResume = std::chrono::seconds(25);
        World world{ settings };
        world.runFor(std::chrono::seconds(20));
        for (std::size_t server = 0; server < world.engineCount(); ++server)
            world.releaseEngine(server, "v2");
        world.runFor(std::chrono::milliseconds(4000 + 100 * seed));
        for (std::size_t host = 0; host < world.hostCount(); ++host)
            world.killHost(host);
        world.runFor(std::chrono::seconds(1));
        const std::uint64_t resumedBefore = world.resumptionsSent;
        world.newStreams = {};
        for (std::size_t host = 0; host < world.hostCount(); ++host)
            world.startHost(host, false);
        world.runFor(std::chrono::seconds(40));
        EXPECT_EQ(world.streamsOfTwoVersions, 0U) << "seed " << seed;
        EXPECT_GE(world.newStreams.share(), minShareThatGoesOn);
        resumptions += world.resumptionsSent - resumedBefore;
    }
    EXPECT_GE(resumptions, 20U);
}

/// How a host of the tests below is out of step while servers of another version join.
enum class OutOfStep : std::uint8_t { Paused, Cut, CutWithoutStore, Unheard, ZoneCut };

/// What the servers of the old version do meanwhile.
enum class OldServers : std::uint8_t { Stay, DrainAtOnce, DrainOneByOne };
constexpr std::uint64_t oldServersKinds = 3;

struct OutOfStepPlay
{
    OutOfStep how;
    OldServers old;
    Span joinsAfter; ///< From the begin of the disturbance.
    Span lasts;
};

void disturb(World &world, const WorldSettings &settings, const OutOfStepPlay &play, bool isBegin)
{
    const std::size_t disturbed = settings.seed % world.hostCount();
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        const bool isOfZone = play.how == OutOfStep::ZoneCut
                && host % settings.zones == disturbed % settings.zones;
        if (host != disturbed && !isOfZone)
            continue;
        if (play.how == OutOfStep::Paused && isBegin)
            world.pauseHost(host, play.lasts);
        if (play.how == OutOfStep::Unheard)
            world.muteHost(host, isBegin);
        if (play.how == OutOfStep::CutWithoutStore || play.how == OutOfStep::ZoneCut)
            world.takeStoreAway(host, isBegin);
        if (play.how != OutOfStep::Paused && play.how != OutOfStep::Unheard)
            world.moveToSide(host, isBegin ? 1 : 0);
    }
}

/// Servers of a second version join, and old ones leave, beside hosts that are out of step.
World playOutOfStep(WorldSettings settings, const OutOfStepPlay &play)
{
    settings.softwareVersions = 1;
    settings.brokenStreams = 0.5;
    settings.unnamedResumptions = settings.seed % 2 == 0 ? 0.5 : 0;
    settings.messageBuffer = 250;
    settings.maxEntryDelay = std::chrono::milliseconds(100);
    settings.requestsPerSecond *= 4;
    World world{ settings };
    world.runFor(std::chrono::seconds(20));
    const std::size_t oldServers = world.engineCount();
    disturb(world, settings, play, true);
    world.runFor(play.joinsAfter);
    for (std::size_t server = 0; server < oldServers; ++server)
        world.joinEngine("v2");
    for (std::size_t server = 0; server < oldServers && play.old != OldServers::Stay; ++server) {
        if (play.old == OldServers::DrainOneByOne)
            world.runFor((play.lasts - play.joinsAfter) / oldServers);
        world.drainEngine(server);
    }
    if (play.old != OldServers::DrainOneByOne)
        world.runFor(play.lasts - play.joinsAfter);
    disturb(world, settings, play, false);
    world.runFor(settling);
    return world;
}

class StreamVersionsOutOfStep : public StreamVersions
{
protected:
    void playAll(OutOfStep how)
    {
        std::uint64_t ofTwoVersions = 0;
        StreamTries newStreams;
        for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
            const auto old = static_cast<OldServers>(seed % oldServersKinds);
            // A host that is cut off notices it within a second.
            const std::uint64_t step = how == OutOfStep::Paused ? 400 : 60;
            const Span joinsAfter = std::chrono::milliseconds(20 + step * (seed % 5));
            const Span lasts = joinsAfter + std::chrono::seconds(2 + seed % 4);
            const World world = playOutOfStep(streamSettingsOf(GetParam(), seed),
                                              { how, old, joinsAfter, lasts });
            ofTwoVersions += world.streamsOfTwoVersions;
            newStreams.sent += world.newStreams.sent;
            newStreams.gotEvents += world.newStreams.gotEvents;
        }
        EXPECT_EQ(ofTwoVersions, 0U);
        EXPECT_GE(newStreams.share(), minShareThatGoesOn)
                << newStreams.gotEvents << " of " << newStreams.sent;
        RecordProperty("new_streams_served", std::to_string(newStreams.share()));
    }
};

// Guards against a host that stood still, takes messages from before for new ones and goes on with
// streams of a version that it does not know of.
TEST_P(StreamVersionsOutOfStep, AreNeverMixedAtAHostThatStoodStill)
{
    this->playAll(OutOfStep::Paused);
}

// Guards against streams that begin at a new version before a host that was just cut off has
// noticed that it does not know all versions.
TEST_P(StreamVersionsOutOfStep, AreNeverMixedAtAHostThatWasCutOff)
{
    this->playAll(OutOfStep::Cut);
}

// Guards against streams of two versions at a host that was just cut off from the store as well.
TEST_P(StreamVersionsOutOfStep, AreNeverMixedAtAHostThatWasCutOffFromTheStoreAsWell)
{
    this->playAll(OutOfStep::CutWithoutStore);
}

// Guards against streams of two versions at a host whose messages are lost while it hears others.
TEST_P(StreamVersionsOutOfStep, AreNeverMixedAtAHostThatIsNotHeard)
{
    this->playAll(OutOfStep::Unheard);
}

// Guards against streams of two versions in a zone that was cut off, whose hosts hear each other.
TEST_P(StreamVersionsOutOfStep, AreNeverMixedInAZoneThatWasCutOff)
{
    this->playAll(OutOfStep::ZoneCut);
}

INSTANTIATE_TEST_SUITE_P(Fleets, StreamVersionsOutOfStep,
                         testing::Values(FleetSize{ 3, 2, 3, 40, 30 }, FleetSize{ 3, 23, 6, 60, 4 },
                                         FleetSize{ 5, 39, 4, 60, 1 }));

INSTANTIATE_TEST_SUITE_P(Fleets, StreamVersions,
                         testing::Values(FleetSize{ 3, 2, 3, 40, 40 },
                                         FleetSize{ 3, 23, 6, 100, 1 },
                                         FleetSize{ 5, 39, 4, 120, 1 }));

} // namespace
} // namespace azurewell::gateway
