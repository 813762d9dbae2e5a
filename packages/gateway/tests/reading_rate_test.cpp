#include "azurewell/gateway/reading_rate.h"

#include <gtest/gtest.h>

#include <random>

namespace azurewell::gateway {
namespace {

/// An engine that nobody has measured before.
struct Kind
{
    double perSecond;
    double overhead; ///< In seconds.
    double meanPrompt;
};

class ReadingRateOf : public testing::TestWithParam<Kind>
{
protected:
    /// Prompts of very different lengths; some meet other work, and some have parts in the cache.
    void play(int prompts, double perSecond)
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
            noteRead(this->rate, tokens, fromSeconds(seconds));
        }
    }

    std::mt19937_64 random{ 5 };
    ReadingRate rate;
};

TEST_P(ReadingRateOf, IsLearntFromSomeDozenPrompts)
{
    this->play(80, GetParam().perSecond);
    EXPECT_GT(this->rate.perSecond, GetParam().perSecond * 0.6);
    EXPECT_LT(this->rate.perSecond, GetParam().perSecond * 1.5);
}

TEST_P(ReadingRateOf, FollowsEnginesThatTurnSlow)
{
    // All engines are replaced by ones that need twice as long. Hosts that went on with the old
    // figure would send each of them twice the work that it can do in time.
    this->play(150, GetParam().perSecond);
    this->play(150, GetParam().perSecond / 2);
    EXPECT_GT(this->rate.perSecond, GetParam().perSecond / 2 * 0.6);
    EXPECT_LT(this->rate.perSecond, GetParam().perSecond / 2 * 1.5);
}

INSTANTIATE_TEST_SUITE_P(Engines, ReadingRateOf,
                         testing::Values(Kind{ 5'000, 0.06, 900 }, Kind{ 22'100, 0.05, 2400 },
                                         Kind{ 38'400, 0.05, 9200 }, Kind{ 150'000, 0.02, 6000 }));

TEST(ReadingRate, OfPromptsOfOneLengthStaysWithinReason)
{
    // The slope of one point is not defined; the rate must neither vanish nor grow without bound.
    ReadingRate rate;
    for (int prompt = 0; prompt < 500; ++prompt)
        noteRead(rate, 2000, std::chrono::milliseconds(140));
    EXPECT_GT(rate.perSecond, 5'000);
    EXPECT_LT(rate.perSecond, 200'000);
}

} // namespace
} // namespace azurewell::gateway
