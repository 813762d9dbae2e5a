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

// Thousands of adapters, a few of them popular, and few adapter slots per engine. With least-loaded
// routing most callers wait for a load, and many time out before it ends.
TEST_P(LoadPatterns, RequestsAreRoutedToEnginesWithTheAdapterLoaded)
{
    const Measures measured = current(this->GetParam(), "steady_zipf");
    const Measures reference = baseline(this->GetParam(), "steady_zipf");
    EXPECT_LE(measured.loadStallP95, reference.loadStallP95 / 2);
    EXPECT_GE(measured.batchEfficiency, std::max(0.9, reference.batchEfficiency));
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_EQ(measured.wrongfulRefusals, 0U);
    EXPECT_GT(reference.wrongfulRefusals, 0U);
}

// Every customer sends three times as much for ten seconds of each minute. The requests of a burst
// are queued and few are refused.
TEST_P(LoadPatterns, BurstIsQueuedWithFewRefusals)
{
    const Measures measured = current(this->GetParam(), "burst");
    const Measures reference = baseline(this->GetParam(), "burst");
    EXPECT_LE(measured.wrongfulRefusals * 10, reference.wrongfulRefusals);
    EXPECT_GE(measured.worstCustomerShare, 0.9);
}

// The largest customer sends five times its usual load. It must not take capacity from the others.
TEST_P(LoadPatterns, HotCustomerDoesNotReduceTheSharesOfOthers)
{
    const Measures measured = current(this->GetParam(), "hot_customer");
    const Measures reference = baseline(this->GetParam(), "hot_customer");
    EXPECT_GE(measured.worstCustomerShare, 0.9);
    EXPECT_LE(measured.wrongfulRefusals * 10, reference.wrongfulRefusals);
    EXPECT_LT(reference.worstCustomerShare, 0.5);
}

// One customer sends five times its usual load, all for one adapter. The adapter is loaded on more
// engines and no request within the rate is refused.
TEST_P(LoadPatterns, HotKeyIsSpreadOverSeveralCopies)
{
    const Measures measured = current(this->GetParam(), "hot_key");
    EXPECT_GE(measured.worstCustomerShare, 0.99);
    EXPECT_EQ(measured.wrongfulRefusals, 0U);
}

// An engine becomes ten times slower but still answers, so its requests miss their deadlines. It
// must lose its traffic after a few of them.
TEST_P(LoadPatterns, SlowEngineFailsFewRequests)
{
    const Measures measured = current(this->GetParam(), "slow_engine");
    const Measures reference = baseline(this->GetParam(), "slow_engine");
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_LE(measured.wrongfulRefusals * 10, reference.wrongfulRefusals);
}

// One customer's jobs are ten times as long as the others'. Short jobs must not queue behind them,
// and the long ones must not starve.
TEST_P(LoadPatterns, LongJobsDoNotBlockShortOnes)
{
    const Measures measured = current(this->GetParam(), "long_among_short");
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_LE(measured.firstTokenP95, 10.0);
    EXPECT_LT(baseline(this->GetParam(), "long_among_short").worstCustomerShare, 0.9);
}

// The offered load is four times the capacity. Most requests must be refused immediately; admitted
// ones complete, and each customer gets its fair share.
TEST_P(LoadPatterns, GoodputDoesNotCollapseAtFourTimesTheCapacity)
{
    const Measures atCapacity = current(this->GetParam(), "capacity");
    const Measures measured = current(this->GetParam(), "overload_4x");
    const Measures reference = baseline(this->GetParam(), "overload_4x");
    EXPECT_GE(measured.goodput, 0.95 * atCapacity.goodput);
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_LT(reference.worstCustomerShare, 0.5);
}

// The weight store becomes ten times slower, down to two loads in five seconds. Requests for loaded
// adapters are still served, and no request waits beyond its deadline.
TEST_P(LoadPatterns, SlowWeightStoreDoesNotStopLoadedAdapters)
{
    const PatternRun run = runOf(this->GetParam(), "weight_store_tenth", Policy::Current);
    const Measures reference = baseline(this->GetParam(), "weight_store_tenth");
    EXPECT_GE(run.measures.goodput, 3 * reference.goodput);
    for (std::size_t index = 0; index < run.jobs.size(); ++index) {
        if (run.jobs[index].arrival >= measureUntil)
            continue;
        EXPECT_NE(run.result.outcomes[index].ending, Ending::Open) << "request " << index;
    }
}

// Five loads of a popular adapter fail in a row. Only requests for this adapter may be delayed, and
// none within the rate is refused.
TEST_P(LoadPatterns, FailingLoadsOfOneAdapterDelayOnlyItsRequests)
{
    const Measures measured = current(this->GetParam(), "failing_loads");
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_EQ(measured.wrongfulRefusals, 0U);
}

// Every minute an engine restarts with no adapters loaded. Its running requests are retried on
// other engines, and reloading its adapters must not overload the weight store.
TEST_P(LoadPatterns, ColdRestartsDoNotOverloadTheWeightStore)
{
    const Measures measured = current(this->GetParam(), "engine_restarts");
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_LE(measured.loadStallP95,
              baseline(this->GetParam(), "engine_restarts").loadStallP95 / 2);
}

// The popularity of the adapters is shuffled during the run.
TEST_P(LoadPatterns, PlacementFollowsAShiftOfPopularity)
{
    const Measures measured = current(this->GetParam(), "popularity_shift");
    EXPECT_GE(measured.worstCustomerShare, 0.95);
    EXPECT_LE(measured.loadStallP95,
              baseline(this->GetParam(), "popularity_shift").loadStallP95 / 2);
}

TEST(LoadPatternsOutput, EqualSeedsGiveEqualRuns)
{
    const Deployment deployment = deployments().back();
    const std::string first = toJson(current(deployment, "steady_zipf"));
    EXPECT_EQ(first, toJson(current(deployment, "steady_zipf")));
}
