#include "azurewell/gateway/prompt_pacing.h"

#include <gtest/gtest.h>

#include <array>

namespace azurewell::gateway {
namespace {

constexpr double readPerSecond = 22'100;

const ModelName adapter{ "m", "a" };
constexpr Instant start{ 1'000'000'000 };
constexpr double prompt = 1800;

TEST(PromptPacing, LetsPromptsThatComeApartGoAtOnce)
{
    PromptPacer pacer;
    for (int i = 0; i < 20; ++i) {
        const Instant now = start + std::chrono::milliseconds(200) * i;
        EXPECT_EQ(takeTurn(pacer, adapter, prompt, readPerSecond, now).wait, Span{});
    }
}

TEST(PromptPacing, SpreadsAClumpSoThatTheEngineIsNeverGivenTooMuch)
{
    // Eight hosts send a prompt to one engine in the same moment. Read in one go they would stop
    // all streams of that engine for 650 ms.
    PromptPacer pacer;
    std::array<Span, 6> waits{};
    for (Span &wait : waits)
        wait = takeTurn(pacer, adapter, prompt, readPerSecond, start).wait;
    EXPECT_EQ(waits[0], Span{});
    EXPECT_EQ(waits[2], Span{});
    EXPECT_GT(waits[4], waits[3]);
    EXPECT_GT(waits[5], waits[4]);
    EXPECT_LE(waits[5], std::chrono::milliseconds(350));
}

TEST(PromptPacing, LetsAPromptThatIsLargerThanAllGoWhenTheEngineIsDone)
{
    // The largest tenth of prompts is larger than what is let go at once. They wait for the backlog
    // and are not held for ever.
    PromptPacer pacer;
    EXPECT_EQ(takeTurn(pacer, adapter, 6870, readPerSecond, start).wait, Span{});
    const Instant later = start + std::chrono::milliseconds(600);
    EXPECT_EQ(takeTurn(pacer, adapter, 6870, readPerSecond, later).wait, Span{});
}

TEST(PromptPacing, WantsACopyOfAnAdapterThatIsAskedForMoreThanOneEngineReads)
{
    // One adapter gets 27,000 tokens a second. However its prompts are spread over time, one engine
    // cannot read them.
    PromptPacer pacer;
    bool isCopyWanted = false;
    for (int i = 0; i < 30; ++i) {
        const Instant now = start + std::chrono::milliseconds(66) * i;
        isCopyWanted = isCopyWanted
                || takeTurn(pacer, adapter, prompt, readPerSecond, now).isCopyWanted;
    }
    EXPECT_TRUE(isCopyWanted);
}

TEST(PromptPacing, WantsNoCopyForOneClumpOfManyAdapters)
{
    PromptPacer pacer;
    for (int i = 0; i < 8; ++i) {
        const ModelName other{ "m", "a" + std::to_string(i) };
        EXPECT_FALSE(takeTurn(pacer, other, prompt, readPerSecond, start).isCopyWanted);
    }
}

} // namespace
} // namespace azurewell::gateway
