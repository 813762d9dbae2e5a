#include "call_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace azurewell;
using namespace azurewell::tests;

namespace {

constexpr std::size_t steps = 2000;
constexpr std::size_t busySteps = 1500;

InjectedFaults noFaults()
{
    InjectedFaults faults;
    faults.messageLoss = faults.duplication = faults.suspension = faults.replacement = 0;
    faults.notSent = faults.noAnswer = 0;
    return faults;
}

/// Number of seeds of the random test; AZUREWELL_SEEDS sets another one for longer manual runs.
std::uint64_t seedCount()
{
    const char *callerRequests = std::getenv("AZUREWELL_SEEDS");
    return callerRequests ? std::strtoull(callerRequests, nullptr, 10) : 300;
}

/// Number of seeds, of \a seeds, whose run with \a faults has a violation that starts with \a
/// violation.
std::size_t countViolatingSeeds(std::uint64_t seeds, const InjectedFaults &faults,
                                const std::string &violation)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CallSimulation world(seed, 3, faults);
        world.run(steps, busySteps);
        bool isFound = false;
        for (const std::string &found : world.violations)
            isFound = isFound || found.starts_with(violation);
        count += isFound ? 1 : 0;
    }
    return count;
}

} // namespace

// Callers send each call to one host or to two at once and repeat it later at any host. Without
// other faults every call runs exactly once, and every repeat gets its result.
TEST(AtMostOnce, RepeatsAtAnyHostFindTheFirstRun)
{
    CallSimulation world(1, 3, noFaults());
    world.run(steps, busySteps);
    EXPECT_TRUE(world.violations.empty());
    EXPECT_EQ(world.calls, 150U);
    EXPECT_EQ(world.runs, world.calls);
    EXPECT_GT(world.heldAnswers, 200U);
    EXPECT_EQ(world.refusals[ResultCode::OutcomeUnknown], 0U);
    // Messages between hosts: a permit request and its reply, plus a report and its acknowledgement
    // for the request that runs; none if the request arrives at the issuer.
    EXPECT_LT(world.messages, 2 * world.callerRequests + 2 * world.runs);
    RecordProperty("messages", std::to_string(world.messages));
    RecordProperty("requests", std::to_string(world.callerRequests));
}

// The back end reads each call and closes the connection without answering, and callers repeat at
// other hosts. A call that ran is never sent again: each of its callers gets "outcome unknown".
// After some failures the hosts eject the back end, and calls that they refuse then have not run.
TEST(AtMostOnce, AClosedConnectionGivesOutcomeUnknownAtEveryHost)
{
    InjectedFaults faults = noFaults();
    faults.noAnswer = 1;
    CallSimulation world(1, 3, faults);
    world.run(steps, busySteps);
    EXPECT_TRUE(world.violations.empty());
    EXPECT_GT(world.runs, 20U);
    EXPECT_EQ(world.answered + world.heldAnswers, 0U);
    EXPECT_GE(world.refusals[ResultCode::OutcomeUnknown], world.runs);
    EXPECT_GT(world.refusals[ResultCode::NoUpstream], 0U);
}

// Messages between hosts are lost, duplicated and reordered, processes are suspended for longer
// than their permits or replaced, back ends close without answering, and callers repeat. A filing
// that ran twice would get an operating permit suspended; a false "not run" would make a caller
// file again.
TEST(AtMostOnce, HoldsUnderRandomFaults)
{
    std::uint64_t runs = 0;
    std::uint64_t reportedNotRun = 0;
    std::uint64_t replacements = 0;
    std::uint64_t calls = 0;
    std::uint64_t unknown = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        CallSimulation world(seed, 2 + seed % 3, InjectedFaults{});
        world.run(steps, busySteps);
        ASSERT_TRUE(world.violations.empty()) << "seed " << seed << ": " << world.violations[0];
        runs += world.runs;
        reportedNotRun += world.reportedNotRun;
        replacements += world.replacements;
        calls += world.calls;
        unknown += world.refusals[ResultCode::OutcomeUnknown];
    }
    EXPECT_GT(runs, 5000U);
    EXPECT_GT(reportedNotRun, 50U);
    EXPECT_GT(replacements, 100U);
    RecordProperty("calls", std::to_string(calls));
    RecordProperty("runs", std::to_string(runs));
    RecordProperty("replacements", std::to_string(replacements));
    RecordProperty("said_not_run", std::to_string(reportedNotRun));
    RecordProperty("outcome_unknown", std::to_string(unknown));
}

// Each guarantee is broken by an injected fault, which the check of that guarantee must detect.
TEST(AtMostOnce, ChecksDetectInjectedFaults)
{
    InjectedFaults twice;
    twice.fault = CallFault::GrantsTwice;
    EXPECT_GT(countViolatingSeeds(5, twice, "ran twice"), 0U);
    InjectedFaults regrants;
    regrants.fault = CallFault::RegrantsUnknown;
    EXPECT_GT(countViolatingSeeds(100, regrants, "ran twice"), 0U);
    InjectedFaults late;
    late.isIgnoringPermitEnd = true;
    EXPECT_GT(countViolatingSeeds(200, late, "sent without a permit"), 0U);
    InjectedFaults claims;
    claims.isAssumingNotRun = true;
    EXPECT_GT(countViolatingSeeds(20, claims, "said not run"), 0U);
}
