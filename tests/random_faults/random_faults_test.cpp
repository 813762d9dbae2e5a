#include "world.h"

#include <gtest/gtest.h>

using namespace azurewell::faults;

namespace {

/// The first failure within 40 seeds whose message begins with \a check; if there is none, the last
/// other failure or "no failure".
std::string firstFailure(InjectedBug bug, const std::string &check)
{
    std::string others = "no failure";
    Options options;
    options.injectedBug = bug;
    for (options.seed = 1; options.seed <= 40; ++options.seed) {
        World world(options);
        const std::optional<std::string> failure = world.run();
        if (failure && failure->find(": " + check) != std::string::npos)
            return *failure;
        others = failure.value_or(others);
    }
    return others;
}

struct Case
{
    InjectedBug bug;
    const char *check; ///< Start of the failure message, after seed and step.
};

class EachInvariant : public testing::TestWithParam<Case>
{
};

} // namespace

// Guards against checks that cannot fail. Each case injects a bug outside the core that violates
// one invariant, and the check of that invariant must fail.
TEST_P(EachInvariant, IsDetectedWhenViolated)
{
    const std::string failure = firstFailure(GetParam().bug, GetParam().check);
    EXPECT_NE(failure.find(std::string(": ") + GetParam().check), std::string::npos) << failure;
}

INSTANTIATE_TEST_SUITE_P(RandomFaults, EachInvariant,
                         testing::Values(Case{ InjectedBug::IgnorePins, "eviction:" },
                                         Case{ InjectedBug::SwapAdapter, "adapter:" },
                                         Case{ InjectedBug::IgnoreCustomer, "customer:" },
                                         Case{ InjectedBug::KeepWithdrawnKey, "key:" },
                                         Case{ InjectedBug::RefillBuckets, "rate:" },
                                         Case{ InjectedBug::CrossAnswers, "answers:" },
                                         Case{ InjectedBug::AlwaysClaimNotRun, "not run:" },
                                         Case{ InjectedBug::SendTwice, "at most once:" },
                                         Case{ InjectedBug::UseLeavingUpstreams, "leaving:" },
                                         Case{ InjectedBug::ExitWithoutDraining, "planned stop:" },
                                         Case{ InjectedBug::RevertToFirstTicket, "ticket:" }));
