#include "azurewell/placement/engine_adapters.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

const AdapterRef first{ "a@1" };
const AdapterRef second{ "b@1" };
const AdapterRef third{ "c@1" };

struct Fixture
{
    KnownCharts charts = loadKnownCharts(AZUREWELL_CHARTS_DIR).value();
    EngineAdapters engine;

    explicit Fixture(std::uint32_t slots)
    {
        this->engine.slots = slots;
    }
    void load(const AdapterRef &ref, Instant now)
    {
        applyEvent(this->engine, this->charts.adapter, ref, AdapterEvent::LoadOrdered, now);
        applyEvent(this->engine, this->charts.adapter, ref, AdapterEvent::LoadDone, now);
    }
};

} // namespace

// Guards against unloading an adapter during a request: of two adapters that fill an engine only
// the one without pins may be evicted, and none if both are pinned.
TEST(EngineAdapters, PinnedAdapterIsNeverEvicted)
{
    Fixture fixture(2);
    fixture.load(first, Instant{ 1 });
    fixture.load(second, Instant{ 2 });
    pin(fixture.engine, first, Instant{ 3 });
    const PlacementStep step = nextStep(fixture.engine, third, Instant{ 4 });
    EXPECT_EQ(step.kind, PlacementStep::Kind::Evict);
    EXPECT_EQ(step.adapter, second);
    pin(fixture.engine, second, Instant{ 4 });
    EXPECT_EQ(nextStep(fixture.engine, third, Instant{ 5 }).kind, PlacementStep::Kind::Nothing);
}

// Guards against evicting adapters in use after a change of coordinator: the new one can't see the
// requests that the former one admitted, and must not evict until their leases have expired.
TEST(EngineAdapters, NewCoordinatorEvictsNothingUntilFormerLeasesExpire)
{
    Fixture fixture(1);
    fixture.engine.noEvictionBefore = Instant{ 100 };
    fixture.load(first, Instant{ 1 });
    EXPECT_EQ(nextStep(fixture.engine, second, Instant{ 99 }).kind, PlacementStep::Kind::Nothing);
    EXPECT_EQ(nextStep(fixture.engine, second, Instant{ 100 }).kind, PlacementStep::Kind::Evict);
}

// Guards against retrying a load that keeps failing in a tight loop, which would overload the
// weight store.
TEST(EngineAdapters, FailedLoadsBackOffUpToALimit)
{
    Fixture fixture(1);
    Instant now{ 0 };
    Span last{};
    for (int failure = 0; failure < 12; ++failure) {
        applyEvent(fixture.engine, fixture.charts.adapter, first, AdapterEvent::LoadOrdered, now);
        applyEvent(fixture.engine, fixture.charts.adapter, first, AdapterEvent::LoadFailed, now);
        backOff(fixture.engine, first, 0.5, now);
        EXPECT_EQ(nextStep(fixture.engine, first, now).kind, PlacementStep::Kind::Nothing);
        last = fixture.engine.adapters[first].retryAfter - now;
        now = fixture.engine.adapters[first].retryAfter;
        endBackOffs(fixture.engine, fixture.charts.adapter, now);
        EXPECT_EQ(nextStep(fixture.engine, first, now).kind, PlacementStep::Kind::Load);
    }
    EXPECT_LE(last, fromSeconds(30));
    EXPECT_GE(last, fromSeconds(15));
}
