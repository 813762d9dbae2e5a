#include "world.h"

#include <gtest/gtest.h>

using namespace azurewell::faults;

namespace {

/// Whether the check whose messages begin with \a check fails under \a sabotage for any of a few
/// seeds; what failed otherwise is returned for the reader.
std::string firstFailure(Sabotage sabotage, const std::string &check)
{
    std::string others = "no failure";
    Options options;
    options.sabotage = sabotage;
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
    Sabotage sabotage;
    const char *check; ///< How the message of the check begins, after the seed and step.
};

class EachPromise : public testing::TestWithParam<Case>
{
};

} // namespace

// A check that cannot fail proves nothing. Each case breaks one promise on purpose, outside the
// core, and the check of just that promise has to notice.
TEST_P(EachPromise, IsNoticedWhenBroken)
{
    const std::string failure = firstFailure(GetParam().sabotage, GetParam().check);
    EXPECT_NE(failure.find(std::string(": ") + GetParam().check), std::string::npos) << failure;
}

INSTANTIATE_TEST_SUITE_P(RandomFaults, EachPromise,
                         testing::Values(Case{ Sabotage::IgnorePins, "eviction:" },
                                         Case{ Sabotage::SwapAdapter, "adapter:" },
                                         Case{ Sabotage::IgnoreOwner, "customer:" },
                                         Case{ Sabotage::KeepWithdrawnKey, "key:" },
                                         Case{ Sabotage::FreeTokens, "rate:" },
                                         Case{ Sabotage::CrossAnswers, "answers:" },
                                         Case{ Sabotage::LieNotRun, "not run:" },
                                         Case{ Sabotage::SendTwice, "at most once:" },
                                         Case{ Sabotage::UseLeaving, "leaving:" },
                                         Case{ Sabotage::LeaveAtOnce, "planned stop:" },
                                         Case{ Sabotage::OlderTicket, "ticket:" }));
