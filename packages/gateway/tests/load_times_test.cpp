#include "azurewell/gateway/load_times.h"

#include <gtest/gtest.h>

#include <utility>

namespace azurewell::gateway {
namespace {

using std::chrono::milliseconds;

struct Played
{
    double missedPart = 0; ///< Requests turned away, over loads.
    Span lost{};           ///< From a load's end to the request that was taken, on average.
};

/// Loads that take \a truth, one after the other, tried when \a time says.
Played playLoads(LoadTime &time, Span truth, int loads)
{
    constexpr Span repeat = milliseconds(30);
    int missed = 0;
    Span lost{};
    for (int load = 0; load < loads; ++load) {
        Span elapsed = time.expected;
        for (; elapsed < truth; elapsed += repeat) {
            noteMissed(time, elapsed);
            ++missed;
        }
        noteTaken(time, elapsed);
        lost += elapsed - truth;
    }
    return { static_cast<double>(missed) / loads, lost / loads };
}

class LoadTimeOf : public testing::TestWithParam<Span>
{
};

TEST_P(LoadTimeOf, IsLearntFromAFewDozenLoads)
{
    // Adapters of another size, or another weight store, take another time than the one that a host
    // starts with. If that stayed fixed, each request would be turned away a few times, or wait for
    // nothing.
    LoadTime time = LoadTimes().fromStore;
    playLoads(time, GetParam(), 60);
    const Played played = playLoads(time, GetParam(), 200);
    EXPECT_LT(played.missedPart, 0.25);
    EXPECT_LT(played.lost, GetParam() / 10 + milliseconds(15));
}

INSTANTIATE_TEST_SUITE_P(Engines, LoadTimeOf,
                         testing::Values(milliseconds(80), milliseconds(250), milliseconds(600),
                                         milliseconds(2500)));

TEST(LoadTime, OfACrowdedWeightStoreIsForgottenSoon)
{
    // A crowded weight store makes each load take three times as long for a while. A host that kept
    // that in mind would let a place lie idle for half a second after each load.
    LoadTime time = LoadTimes().fromStore;
    playLoads(time, milliseconds(250), 40);
    playLoads(time, milliseconds(750), 12);
    playLoads(time, milliseconds(250), 60);
    EXPECT_LT(time.expected, milliseconds(330));
}

TEST(LoadTime, OfAQuickLoadIsKeptApart)
{
    // What an engine held lately comes back ten times as fast; expected after the same time as any
    // other load, it would save its caller nothing.
    LoadTimes times;
    LoadUnderWay quick;
    quick.since = Instant{ 1'000'000 };
    quick.isHeldLately = true;
    LoadUnderWay fetched = quick;
    fetched.isHeldLately = false;
    const Instant soon = quick.since + milliseconds(50);
    EXPECT_TRUE(isTryDue(times, quick, soon));
    EXPECT_FALSE(isTryDue(times, fetched, soon));
}

TEST(LoadTime, ALoadIsTriedAFewTimesOnly)
{
    // A load that never ends would otherwise use up the retries of all other requests.
    LoadTimes times;
    LoadUnderWay load;
    load.since = Instant{ 1'000'000 };
    Instant now = load.since;
    int tries = 0;
    for (int step = 0; step < 500; ++step) {
        now = now + milliseconds(10);
        if (!isTryDue(times, load, now))
            continue;
        beginTry(load, now);
        EXPECT_FALSE(isTryTaken(load, now + milliseconds(2)));
        endTry(load, now + milliseconds(2));
        ++tries;
    }
    EXPECT_EQ(tries, 3);
}

} // namespace
} // namespace azurewell::gateway
