#include "call_world.h"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace azurewell;
using namespace azurewell::tests;

namespace {

constexpr std::size_t steps = 2000;
constexpr std::size_t busySteps = 1500;

CallTroubles calm()
{
    CallTroubles troubles;
    troubles.lost = troubles.doubled = troubles.paused = troubles.replaced = 0;
    troubles.unsent = troubles.cutShort = 0;
    return troubles;
}

/// Seeds of the random run; AZUREWELL_SEEDS asks for a longer one by hand.
std::uint64_t seedCount()
{
    const char *asked = std::getenv("AZUREWELL_SEEDS");
    return asked ? std::strtoull(asked, nullptr, 10) : 300;
}

/// How many of \a seeds runs with \a troubles violate "at most once".
std::size_t seedsInViolation(std::uint64_t seeds, const CallTroubles &troubles,
                             const std::string &violation)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CallWorld world(seed, 3, troubles);
        world.run(steps, busySteps);
        bool isSeen = false;
        for (const std::string &found : world.violations)
            isSeen = isSeen || found.starts_with(violation);
        count += isSeen ? 1 : 0;
    }
    return count;
}

} // namespace

// Callers send each filing to one host or to two at once and repeat it later at any host. With
// nothing else going wrong every call runs exactly once, and every repeat hears so.
TEST(AtMostOnce, RepeatsAtAnyHostFindTheFirstRun)
{
    CallWorld world(1, 3, calm());
    world.run(steps, busySteps);
    EXPECT_TRUE(world.violations.empty());
    EXPECT_EQ(world.calls, 150U);
    EXPECT_EQ(world.runs, world.calls);
    EXPECT_GT(world.heldAnswers, 200U);
    EXPECT_EQ(world.refusals[ResultCode::OutcomeUnknown], 0U);
    // What a request costs between hosts: ask and answer, and for the one that runs a report and
    // its acknowledgement; nothing where it arrives at the issuer.
    EXPECT_LT(world.messages, 2 * world.asked + 2 * world.runs);
    RecordProperty("messages", std::to_string(world.messages));
    RecordProperty("requests", std::to_string(world.asked));
}

// The back end reads each filing and closes without answering, and callers repeat at other hosts.
// A filing that ran is never sent again: each of its callers hears "outcome unknown". After some
// failures the hosts send it nothing for a while, and what they refuse then truly has not run.
TEST(AtMostOnce, ABackEndThatClosesMeansUnknownAtEveryHost)
{
    CallTroubles troubles = calm();
    troubles.cutShort = 1;
    CallWorld world(1, 3, troubles);
    world.run(steps, busySteps);
    EXPECT_TRUE(world.violations.empty());
    EXPECT_GT(world.runs, 20U);
    EXPECT_EQ(world.answered + world.heldAnswers, 0U);
    EXPECT_GE(world.refusals[ResultCode::OutcomeUnknown], world.runs);
    EXPECT_GT(world.refusals[ResultCode::NoUpstream], 0U);
}

// Messages between hosts are lost, doubled and reordered, hosts sleep past their permits and are
// replaced, back ends close without answering, and callers repeat. A doubled filing would get a
// permit suspended; a "not run" that is false would make a caller file again.
TEST(AtMostOnce, HoldsUnderRandomFaults)
{
    std::uint64_t runs = 0;
    std::uint64_t saidNotRun = 0;
    std::uint64_t replacements = 0;
    std::uint64_t calls = 0;
    std::uint64_t unknown = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        CallWorld world(seed, 2 + seed % 3, CallTroubles{});
        world.run(steps, busySteps);
        ASSERT_TRUE(world.violations.empty()) << "seed " << seed << ": " << world.violations[0];
        runs += world.runs;
        saidNotRun += world.saidNotRun;
        replacements += world.replacements;
        calls += world.calls;
        unknown += world.refusals[ResultCode::OutcomeUnknown];
    }
    EXPECT_GT(runs, 5000U);
    EXPECT_GT(saidNotRun, 50U);
    EXPECT_GT(replacements, 100U);
    RecordProperty("calls", std::to_string(calls));
    RecordProperty("runs", std::to_string(runs));
    RecordProperty("replacements", std::to_string(replacements));
    RecordProperty("said_not_run", std::to_string(saidNotRun));
    RecordProperty("outcome_unknown", std::to_string(unknown));
}

// Each promise is broken on purpose, and the check of that promise must notice.
TEST(AtMostOnce, EachCheckCanFail)
{
    CallTroubles twice;
    twice.fault = CallFault::GrantsTwice;
    EXPECT_GT(seedsInViolation(5, twice, "ran twice"), 0U);
    CallTroubles regrants;
    regrants.fault = CallFault::RegrantsUnknown;
    EXPECT_GT(seedsInViolation(100, regrants, "ran twice"), 0U);
    CallTroubles late;
    late.isSendingLate = true;
    EXPECT_GT(seedsInViolation(200, late, "sent without a permit"), 0U);
    CallTroubles claims;
    claims.isClaimingNotRun = true;
    EXPECT_GT(seedsInViolation(20, claims, "said not run"), 0U);
}
