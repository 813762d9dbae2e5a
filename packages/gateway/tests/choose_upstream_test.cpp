#include "azurewell/gateway/choose_upstream.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

/// Six engines in two zones, all idle.
class ChooseEngineTest : public testing::Test
{
protected:
    ChooseEngineTest()
    {
        for (int index = 0; index < 6; ++index) {
            Upstream engine;
            engine.listed.id.value = "e" + std::to_string(index);
            engine.listed.zone.value = index % 2 == 0 ? "near" : "far";
            engine.listed.slots = 64;
            engine.usableUntil = never;
            engine.terminatedAt = never;
            engine.engine.models = { "m" };
            this->upstreams[engine.listed.id] = engine;
        }
    }

    const Upstream &choose(const ModelName &adapter, const std::string &zone = "near") const
    {
        UpstreamNeed need;
        need.model = adapter;
        need.zone.value = zone;
        need.prefillTokensPerSecond = 22'000;
        constexpr std::uint32_t places = 5;
        return *chooseEngineToLoad(this->upstreams, need, this->lastEngines, places, this->now);
    }

    Instant now{ 1'000'000'000 };
    UpstreamMap upstreams;
    LastEngines lastEngines;
};

TEST_F(ChooseEngineTest, LoadsANewAdapterInTheZoneOfItsCaller)
{
    // Most adapters are requested once or twice a minute. If they were loaded in any zone, two of
    // three prompts of 18 KB would cross zones.
    std::set<UpstreamId> chosen;
    for (int adapter = 0; adapter < 40; ++adapter) {
        const Upstream &engine = this->choose({ "m", "a" + std::to_string(adapter) });
        EXPECT_EQ(engine.listed.zone.value, "near");
        chosen.insert(engine.listed.id);
    }
    EXPECT_EQ(chosen.size(), 3U);
}

TEST_F(ChooseEngineTest, LoadsAnAdapterAtTheEngineThatHeldItLast)
{
    // Callers of another zone request it next. Loading it there would fetch it from the weight
    // store a second time.
    const ModelName adapter{ "m", "a" };
    recordLastEngine(this->lastEngines, adapter, UpstreamId{ "e2" });
    EXPECT_EQ(this->choose(adapter, "far").listed.id.value, "e2");
}

TEST_F(ChooseEngineTest, SkipsAnEngineWithALargePromptBacklog)
{
    const ModelName adapter{ "m", "a" };
    recordLastEngine(this->lastEngines, adapter, UpstreamId{ "e2" });
    add(this->upstreams.at(UpstreamId{ "e2" }).ownPrompts, 40'000, promptDecayTime, this->now);
    EXPECT_NE(this->choose(adapter).listed.id.value, "e2");
}

TEST_F(ChooseEngineTest, RemembersUnloadedAdaptersUntilTheEngineRestarts)
{
    Upstream &engine = this->upstreams.at(UpstreamId{ "e1" });
    EngineState state = engine.engine;
    state.ready = { { { "m", "a" }, 1 }, { { "m", "b" }, 1 } };
    setEngine(engine, state, this->lastEngines, this->now);
    state.ready = { { { "m", "b" }, 1 } };
    setEngine(engine, state, this->lastEngines, this->now);
    EXPECT_EQ(this->choose({ "m", "a" }).listed.id.value, "e1");
    // A restarted engine has nothing in its host memory.
    state.ready.clear();
    ++state.start;
    setEngine(engine, state, this->lastEngines, this->now);
    EXPECT_EQ(findLastEngine(this->lastEngines, ModelName{ "m", "b" }), nullptr);
}

// Guards against forgetting a frequently used adapter together with its oldest entry.
TEST(LastEngines, KeepsAnAdapterThatIsRecordedAgain)
{
    LastEngines lastEngines;
    const ModelName popular{ "m", "popular" };
    const UpstreamId engine{ "e" };
    recordLastEngine(lastEngines, popular, engine);
    for (std::size_t other = 0; other < maxLastEngines; ++other) {
        recordLastEngine(lastEngines, { "m", "a" + std::to_string(other) }, engine);
        recordLastEngine(lastEngines, popular, engine);
    }
    EXPECT_NE(findLastEngine(lastEngines, popular), nullptr);
    EXPECT_EQ(findLastEngine(lastEngines, { "m", "a0" }), nullptr);
    EXPECT_EQ(lastEngines.entries.size(), maxLastEngines);
}

} // namespace
} // namespace azurewell::gateway
