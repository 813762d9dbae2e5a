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
            engine.killedAt = never;
            engine.engine.models = { "m" };
            this->upstreams[engine.listed.id] = engine;
        }
    }

    const Upstream &choose(const ModelName &adapter, const std::string &zone = "near") const
    {
        UpstreamNeed need;
        need.model = adapter;
        need.zone.value = zone;
        need.readPerSecond = 22'000;
        constexpr std::uint32_t places = 5;
        return *chooseEngineToLoad(this->upstreams, need, this->lastHolders, places, this->now);
    }

    Instant now{ 1'000'000'000 };
    UpstreamMap upstreams;
    LastHolders lastHolders;
};

TEST_F(ChooseEngineTest, AnAdapterThatNobodyHeldIsLoadedInTheZoneOfItsCaller)
{
    // Most adapters are asked for once or twice in a minute. Loaded anywhere, two of three prompts
    // of 18 KB cross between zones.
    std::set<UpstreamId> chosen;
    for (int adapter = 0; adapter < 40; ++adapter) {
        const Upstream &engine = this->choose({ "m", "a" + std::to_string(adapter) });
        EXPECT_EQ(engine.listed.zone.value, "near");
        chosen.insert(engine.listed.id);
    }
    EXPECT_EQ(chosen.size(), 3U);
}

TEST_F(ChooseEngineTest, AnAdapterComesBackToTheEngineThatHeldItLast)
{
    // Callers of another zone ask for it next. Loaded there, it would be fetched from the weight
    // store a second time.
    const ModelName adapter{ "m", "a" };
    noteHolder(this->lastHolders, adapter, UpstreamId{ "e2" });
    EXPECT_EQ(this->choose(adapter, "far").listed.id.value, "e2");
}

TEST_F(ChooseEngineTest, AnEngineWithMuchToReadIsLeftOut)
{
    const ModelName adapter{ "m", "a" };
    noteHolder(this->lastHolders, adapter, UpstreamId{ "e2" });
    add(this->upstreams.at(UpstreamId{ "e2" }).ownPrompts, 40'000, promptLife, this->now);
    EXPECT_NE(this->choose(adapter).listed.id.value, "e2");
}

TEST_F(ChooseEngineTest, WhatAnEngineUnloadedIsRememberedUntilItStartsAnew)
{
    Upstream &engine = this->upstreams.at(UpstreamId{ "e1" });
    EngineState state = engine.engine;
    state.ready = { { { "m", "a" }, 1 }, { { "m", "b" }, 1 } };
    setEngine(engine, state, this->lastHolders, this->now);
    state.ready = { { { "m", "b" }, 1 } };
    setEngine(engine, state, this->lastHolders, this->now);
    EXPECT_EQ(this->choose({ "m", "a" }).listed.id.value, "e1");
    // A new life of the engine has nothing of before in memory.
    state.ready.clear();
    ++state.start;
    setEngine(engine, state, this->lastHolders, this->now);
    EXPECT_EQ(findHolder(this->lastHolders, ModelName{ "m", "b" }), nullptr);
}

// Guards against an adapter that is asked for all the time and forgotten with its oldest entry.
TEST(LastHolders, KeepAnAdapterThatWasHeldAgainAfterItsFirstTime)
{
    LastHolders lastHolders;
    const ModelName popular{ "m", "popular" };
    const UpstreamId engine{ "e" };
    noteHolder(lastHolders, popular, engine);
    for (std::size_t other = 0; other < mostLastHolders; ++other) {
        noteHolder(lastHolders, { "m", "a" + std::to_string(other) }, engine);
        noteHolder(lastHolders, popular, engine);
    }
    EXPECT_NE(findHolder(lastHolders, popular), nullptr);
    EXPECT_EQ(findHolder(lastHolders, { "m", "a0" }), nullptr);
    EXPECT_EQ(lastHolders.holders.size(), mostLastHolders);
}

} // namespace
} // namespace azurewell::gateway
