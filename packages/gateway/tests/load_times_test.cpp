#include "azurewell/gateway/load_times.h"

#include <gtest/gtest.h>

#include <utility>

namespace azurewell::gateway {
namespace {

using std::chrono::milliseconds;

struct SimulationResult
{
    double rejectionsPerLoad = 0; ///< Rejected requests per load.
    Span delay{};                 ///< Average time from the end of a load to the accepted request.
};

/// Simulates sequential loads of length \a actualTime with requests sent at the time that \a time
/// expects.
SimulationResult simulateLoads(LoadTime &time, Span actualTime, int loads)
{
    constexpr Span repeat = milliseconds(30);
    int rejected = 0;
    Span delay{};
    for (int load = 0; load < loads; ++load) {
        Span elapsed = time.expected;
        for (; elapsed < actualTime; elapsed += repeat) {
            recordRejected(time, elapsed);
            ++rejected;
        }
        recordAccepted(time, elapsed);
        delay += elapsed - actualTime;
    }
    return { static_cast<double>(rejected) / loads, delay / loads };
}

class LoadTimeOf : public testing::TestWithParam<Span>
{
};

TEST_P(LoadTimeOf, IsLearntFromAFewDozenLoads)
{
    // Adapters of another size, or another weight store, have other load times than the initial
    // estimate. With a fixed estimate each request would be rejected several times or wait
    // needlessly.
    LoadTime time = LoadTimes().fromStore;
    simulateLoads(time, GetParam(), 60);
    const SimulationResult result = simulateLoads(time, GetParam(), 200);
    EXPECT_LT(result.rejectionsPerLoad, 0.25);
    EXPECT_LT(result.delay, GetParam() / 10 + milliseconds(15));
}

INSTANTIATE_TEST_SUITE_P(Engines, LoadTimeOf,
                         testing::Values(milliseconds(80), milliseconds(250), milliseconds(600),
                                         milliseconds(2500)));

TEST(LoadTime, ShrinksAfterAWeightStoreOverloadEnds)
{
    // An overloaded weight store makes loads take three times as long for a while. If the estimate
    // stayed, a slot would be idle for half a second after each load.
    LoadTime time = LoadTimes().fromStore;
    simulateLoads(time, milliseconds(250), 40);
    simulateLoads(time, milliseconds(750), 12);
    simulateLoads(time, milliseconds(250), 60);
    EXPECT_LT(time.expected, milliseconds(330));
}

TEST(LoadTime, IsSeparateForLoadsFromHostMemory)
{
    // An adapter in host memory loads ten times as fast. With the same estimate as for other loads,
    // its caller would gain nothing.
    LoadTimes times;
    LoadInProgress fromMemory;
    fromMemory.since = Instant{ 1'000'000 };
    fromMemory.isInHostMemory = true;
    LoadInProgress fromWeightStore = fromMemory;
    fromWeightStore.isInHostMemory = false;
    const Instant soon = fromMemory.since + milliseconds(50);
    EXPECT_TRUE(isEarlyAttemptDue(times, fromMemory, soon));
    EXPECT_FALSE(isEarlyAttemptDue(times, fromWeightStore, soon));
}

TEST(LoadTime, LimitsEarlyAttemptsPerLoad)
{
    // A load that never ends would otherwise use up the retries of all other requests.
    LoadTimes times;
    LoadInProgress load;
    load.since = Instant{ 1'000'000 };
    Instant now = load.since;
    int tries = 0;
    for (int step = 0; step < 500; ++step) {
        now = now + milliseconds(10);
        if (!isEarlyAttemptDue(times, load, now))
            continue;
        beginEarlyAttempt(load, now);
        EXPECT_FALSE(isEarlyAttemptAccepted(load, now + milliseconds(2)));
        endEarlyAttempt(load, now + milliseconds(2));
        ++tries;
    }
    EXPECT_EQ(tries, 3);
}

} // namespace
} // namespace azurewell::gateway
