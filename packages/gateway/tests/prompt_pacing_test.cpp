#include "azurewell/gateway/prompt_pacing.h"

#include <gtest/gtest.h>

#include <array>

namespace azurewell::gateway {
namespace {

constexpr double prefillTokensPerSecond = 22'100;

const ModelName adapter{ "m", "a" };
constexpr Instant start{ 1'000'000'000 };
constexpr double prompt = 1800;

TEST(PromptPacing, AdmitsSpacedPromptsAtOnce)
{
    PromptPacer pacer;
    for (int i = 0; i < 20; ++i) {
        const Instant now = start + std::chrono::milliseconds(200) * i;
        EXPECT_EQ(admitPrompt(pacer, adapter, prompt, prefillTokensPerSecond, now).wait, Span{});
    }
}

TEST(PromptPacing, SpreadsABurstOverTime)
{
    // Eight hosts send a prompt to one engine at the same time. Read without a break, the prompts
    // would stop all streams of that engine for 650 ms.
    PromptPacer pacer;
    std::array<Span, 6> waits{};
    for (Span &wait : waits)
        wait = admitPrompt(pacer, adapter, prompt, prefillTokensPerSecond, start).wait;
    EXPECT_EQ(waits[0], Span{});
    EXPECT_EQ(waits[2], Span{});
    EXPECT_GT(waits[4], waits[3]);
    EXPECT_GT(waits[5], waits[4]);
    EXPECT_LE(waits[5], std::chrono::milliseconds(350));
}

TEST(PromptPacing, AdmitsAnOversizedPromptOnceTheBacklogIsDrained)
{
    // The largest tenth of prompts exceeds the maximum backlog. They wait until the backlog is
    // drained and are not held forever.
    PromptPacer pacer;
    EXPECT_EQ(admitPrompt(pacer, adapter, 6870, prefillTokensPerSecond, start).wait, Span{});
    const Instant later = start + std::chrono::milliseconds(600);
    EXPECT_EQ(admitPrompt(pacer, adapter, 6870, prefillTokensPerSecond, later).wait, Span{});
}

TEST(PromptPacing, RequestsACopyOfAnAdapterWithMoreDemandThanOneEngineCanRead)
{
    // One adapter gets 27,000 tokens a second. One engine cannot read that, however the prompts are
    // spread over time.
    PromptPacer pacer;
    bool isCopyWanted = false;
    for (int i = 0; i < 30; ++i) {
        const Instant now = start + std::chrono::milliseconds(66) * i;
        isCopyWanted = isCopyWanted
                || admitPrompt(pacer, adapter, prompt, prefillTokensPerSecond, now).isCopyWanted;
    }
    EXPECT_TRUE(isCopyWanted);
}

TEST(PromptPacing, RequestsNoCopyForABurstOverManyAdapters)
{
    PromptPacer pacer;
    for (int i = 0; i < 8; ++i) {
        const ModelName other{ "m", "a" + std::to_string(i) };
        EXPECT_FALSE(admitPrompt(pacer, other, prompt, prefillTokensPerSecond, start).isCopyWanted);
    }
}

} // namespace
} // namespace azurewell::gateway
