#include "azurewell/gateway/prefill_rate.h"

#include <gtest/gtest.h>

#include <random>

namespace azurewell::gateway {
namespace {

/// An engine with properties that differ from the initial estimate.
struct EngineProfile
{
    double perSecond;
    double overhead; ///< In seconds.
    double meanPrompt;
};

class PrefillRateOf : public testing::TestWithParam<EngineProfile>
{
protected:
    /// Simulates prompts of very different lengths; some meet other work, and some are partly
    /// cached.
    void simulate(int prompts, double perSecond)
    {
        std::lognormal_distribution<double> length(0, 0.8);
        std::uniform_real_distribution<double> part(0, 1);
        for (int prompt = 0; prompt < prompts; ++prompt) {
            const double tokens = GetParam().meanPrompt * length(this->random);
            double seconds = GetParam().overhead + tokens / perSecond;
            if (part(this->random) < 0.1)
                seconds *= 1 + 5 * part(this->random);
            if (part(this->random) < 0.1)
                seconds *= 0.7;
            recordPrefill(this->rate, tokens, fromSeconds(seconds));
        }
    }

    std::mt19937_64 random{ 5 };
    PrefillRate rate;
};

TEST_P(PrefillRateOf, IsLearntFromAFewDozenPrompts)
{
    this->simulate(80, GetParam().perSecond);
    EXPECT_GT(this->rate.perSecond, GetParam().perSecond * 0.6);
    EXPECT_LT(this->rate.perSecond, GetParam().perSecond * 1.5);
}

TEST_P(PrefillRateOf, FollowsEnginesThatBecomeSlower)
{
    // All engines are replaced by ones that take twice as long. With the old rate, hosts would send
    // each of them twice the work that it can do in time.
    this->simulate(150, GetParam().perSecond);
    this->simulate(150, GetParam().perSecond / 2);
    EXPECT_GT(this->rate.perSecond, GetParam().perSecond / 2 * 0.6);
    EXPECT_LT(this->rate.perSecond, GetParam().perSecond / 2 * 1.5);
}

INSTANTIATE_TEST_SUITE_P(Engines, PrefillRateOf,
                         testing::Values(EngineProfile{ 5'000, 0.06, 900 },
                                         EngineProfile{ 22'100, 0.05, 2400 },
                                         EngineProfile{ 38'400, 0.05, 9200 },
                                         EngineProfile{ 150'000, 0.02, 6000 }));

TEST(PrefillRate, StaysBoundedForPromptsOfOneLength)
{
    // The slope through a single point is undefined; the rate must neither vanish nor grow without
    // bound.
    PrefillRate rate;
    for (int prompt = 0; prompt < 500; ++prompt)
        recordPrefill(rate, 2000, std::chrono::milliseconds(140));
    EXPECT_GT(rate.perSecond, 5'000);
    EXPECT_LT(rate.perSecond, 200'000);
}

} // namespace
} // namespace azurewell::gateway
