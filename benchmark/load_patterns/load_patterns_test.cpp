#include "measures.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

using namespace azurewell;
using namespace azurewell::load;

namespace azurewell::load {

/// Names a deployment in test output.
// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
void PrintTo(const Deployment &deployment, std::ostream *out)
{
    *out << deployment.name;
}

} // namespace azurewell::load

namespace {

struct PatternRun
{
    std::vector<Job> jobs;
    RunResult result;
    Measures measures;
};

Pattern patternOf(const std::string &name)
{
    const std::vector<Pattern> all = patterns();
    return *std::find_if(all.begin(), all.end(),
                         [&name](const Pattern &pattern) { return pattern.name == name; });
}

PatternRun runOf(const Deployment &deployment, const std::string &name, Policy policy)
{
    const Pattern pattern = patternOf(name);
    PatternRun run;
    run.jobs = makeJobs(deployment, pattern, 1);
    run.result = runFleet(deployment, pattern, policy, run.jobs, 1);
    run.measures = measure(deployment, run.jobs, run.result);
    return run;
}

Measures current(const Deployment &deployment, const std::string &name)
{
    return runOf(deployment, name, Policy::Current).measures;
}

Measures baseline(const Deployment &deployment, const std::string &name)
{
    return runOf(deployment, name, Policy::Baseline).measures;
}

std::string deploymentName(const testing::TestParamInfo<Deployment> &tested)
{
    std::string name = tested.param.name;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

/// Each test runs at the sizes of both deployments.
class LoadPatterns : public testing::TestWithParam<Deployment>
{
};

} // namespace

INSTANTIATE_TEST_SUITE_P(, LoadPatterns, testing::ValuesIn(deployments()), deploymentName);

// Thousands of adapters, a few of them popular, and a few slots on each engine. With least-loaded
// routing most callers wait for a load, and many leave before it comes.
TEST_P(LoadPatterns, PopularAdaptersAreFoundWhereTheyAre)
{
    const Measures now = current(this->GetParam(), "steady_zipf");
    const Measures plain = baseline(this->GetParam(), "steady_zipf");
    EXPECT_LE(now.loadStallP95, plain.loadStallP95 / 2);
    EXPECT_GE(now.batchEfficiency, std::max(0.9, plain.batchEfficiency));
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_EQ(now.wrongfulRefusals, 0U);
    EXPECT_GT(plain.wrongfulRefusals, 0U);
}

// Every customer sends three times as much for ten seconds of each minute. A caller of the burst
// waits a little; few are turned away.
TEST_P(LoadPatterns, ABurstIsWaitedOut)
{
    const Measures now = current(this->GetParam(), "burst");
    const Measures plain = baseline(this->GetParam(), "burst");
    EXPECT_LE(now.wrongfulRefusals * 10, plain.wrongfulRefusals);
    EXPECT_GE(now.worstCustomerShare, 0.9);
}

// The largest customer sends five times its rate. The callers of the others are served as before.
TEST_P(LoadPatterns, AHotCustomerKeepsToItsShare)
{
    const Measures now = current(this->GetParam(), "hot_customer");
    const Measures plain = baseline(this->GetParam(), "hot_customer");
    EXPECT_GE(now.worstCustomerShare, 0.9);
    EXPECT_LE(now.wrongfulRefusals * 10, plain.wrongfulRefusals);
    EXPECT_LT(plain.worstCustomerShare, 0.5);
}

// One program of one customer sends five times its customer's rate with one key, all for one
// adapter. Copies of that adapter take the load; no caller notices.
TEST_P(LoadPatterns, AHotKeyIsSpreadOverCopies)
{
    const Measures now = current(this->GetParam(), "hot_key");
    EXPECT_GE(now.worstCustomerShare, 0.99);
    EXPECT_EQ(now.wrongfulRefusals, 0U);
}

// An engine becomes ten times slower and still answers. Callers sent there get their answers too
// late; after a few it has to lose its traffic.
TEST_P(LoadPatterns, ASlowEngineCostsFewCallersTheirAnswer)
{
    const Measures now = current(this->GetParam(), "slow_engine");
    const Measures plain = baseline(this->GetParam(), "slow_engine");
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_LE(now.wrongfulRefusals * 10, plain.wrongfulRefusals);
}

// One customer's jobs are ten times as long as the others'. Callers of short ones do not queue
// behind them, and the long ones are served too.
TEST_P(LoadPatterns, LongJobsDoNotHoldUpShortOnes)
{
    const Measures now = current(this->GetParam(), "long_among_short");
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_LE(now.firstTokenP95, 10.0);
    EXPECT_LT(baseline(this->GetParam(), "long_among_short").worstCustomerShare, 0.9);
}

// Everything at four times the capacity. Most callers have to be refused, at once; those that are
// let in get whole answers, and each customer keeps its share.
TEST_P(LoadPatterns, GoodputDoesNotCollapseAtFourTimesTheCapacity)
{
    const Measures atCapacity = current(this->GetParam(), "capacity");
    const Measures now = current(this->GetParam(), "overload_4x");
    const Measures plain = baseline(this->GetParam(), "overload_4x");
    EXPECT_GE(now.goodput, 0.95 * atCapacity.goodput);
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_LT(plain.worstCustomerShare, 0.5);
}

// The weight store becomes ten times slower: two loads in five seconds. Callers of what is loaded
// already are served on, and no caller waits beyond its deadline.
TEST_P(LoadPatterns, ASlowWeightStoreDoesNotStopWhatIsLoaded)
{
    const PatternRun now = runOf(this->GetParam(), "weight_store_tenth", Policy::Current);
    const Measures plain = baseline(this->GetParam(), "weight_store_tenth");
    EXPECT_GE(now.measures.goodput, 3 * plain.goodput);
    for (std::size_t index = 0; index < now.jobs.size(); ++index) {
        if (now.jobs[index].arrival >= measureUntil)
            continue;
        EXPECT_NE(now.result.outcomes[index].ending, Ending::Open) << "request " << index;
    }
}

// Five loads of a popular adapter fail, one after the other. Its callers wait a little longer;
// nobody else notices.
TEST_P(LoadPatterns, FailingLoadsOfOneAdapterDelayOnlyItsCallers)
{
    const Measures now = current(this->GetParam(), "failing_loads");
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_EQ(now.wrongfulRefusals, 0U);
}

// Engines restart with nothing loaded, one a minute. Their running answers are begun again
// elsewhere, and their adapters come back without every caller waiting for the weight store.
TEST_P(LoadPatterns, ColdRestartsDoNotStormTheWeightStore)
{
    const Measures now = current(this->GetParam(), "engine_restarts");
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_LE(now.loadStallP95, baseline(this->GetParam(), "engine_restarts").loadStallP95 / 2);
}

// Popularity is dealt anew while traffic runs.
TEST_P(LoadPatterns, AShiftOfPopularityIsFollowed)
{
    const Measures now = current(this->GetParam(), "popularity_shift");
    EXPECT_GE(now.worstCustomerShare, 0.95);
    EXPECT_LE(now.loadStallP95, baseline(this->GetParam(), "popularity_shift").loadStallP95 / 2);
}

TEST(LoadPatternsOutput, EqualSeedsGiveEqualRuns)
{
    const Deployment deployment = deployments().back();
    const std::string first = toJson(current(deployment, "steady_zipf"));
    EXPECT_EQ(first, toJson(current(deployment, "steady_zipf")));
}
