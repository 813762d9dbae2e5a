#include "azurewell/placement/load_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace azurewell;

namespace {

/// A store that begins a load every `interval` and takes a quarter second, for keepers that always
/// want another load.
struct BusyStore
{
    struct Keeper
    {
        LoadPacer pacer;
        Instant since;
        Instant done;
        bool isLoading = false;
    };

    std::vector<Keeper> keepers;
    Span interval;
    Instant nextStart;
    Instant now;
    std::size_t ended = 0;
    std::mt19937_64 random{ 1 };

    BusyStore(std::size_t count, Span each)
        : keepers(count)
        , interval(each)
    {
    }

    std::size_t inFlight() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->keepers.begin(), this->keepers.end(),
                              [](const Keeper &keeper) { return keeper.isLoading; }));
    }
    void tend(Keeper &keeper)
    {
        if (!keeper.pacer.hasBegun) {
            std::uniform_real_distribution<double> jitter(0.0, 1.0);
            beginPacing(keeper.pacer, this->keepers.size(), jitter(this->random), this->now);
        }
        if (keeper.isLoading && keeper.done <= this->now) {
            keeper.isLoading = false;
            ++this->ended;
            noteLoadEnded(keeper.pacer, this->keepers.size(), this->now - keeper.since, this->now);
        }
        if (keeper.isLoading || !mayLoad(keeper.pacer, 0, this->now))
            return;
        keeper.isLoading = true;
        keeper.since = this->now;
        this->nextStart = std::max(this->now, this->nextStart) + this->interval;
        keeper.done = this->nextStart - this->interval + fromSeconds(0.25);
    }
    void run(Span span)
    {
        const Instant until = this->now + span;
        for (; this->now < until; this->now = this->now + fromSeconds(0.05)) {
            for (Keeper &keeper : this->keepers)
                this->tend(keeper);
        }
    }
};

} // namespace

// Seven keepers want loads without end. The store's limit of eight in flight is kept, and none of
// its four loads a second is left unused.
TEST(LoadPacer, SevenKeepersUseTheStoreWhole)
{
    BusyStore store(7, fromSeconds(0.25));
    store.run(fromSeconds(60));
    EXPECT_LE(store.inFlight(), 8U);
    EXPECT_GE(store.ended, 200U);
}

// Every one of 390 keepers wants loads at once, as after a cold start of everything. Callers wait
// for their adapters behind whatever is in the store already, so its queue has to stay short
// without any keeper knowing what the others do.
TEST(LoadPacer, HundredsOfKeepersKeepTheStoresQueueShort)
{
    BusyStore store(390, fromSeconds(0.25));
    constexpr int seconds = 600;
    std::size_t most = 0;
    std::size_t sum = 0;
    for (int second = 0; second < seconds; ++second) {
        store.run(fromSeconds(1));
        most = std::max(most, store.inFlight());
        sum += store.inFlight();
    }
    EXPECT_LE(sum / seconds, 12U); // eight is the aim
    EXPECT_LE(most, 130U);         // all 390 at once without pacing
    EXPECT_GE(store.ended, 1200U); // of 2,400 that the store could do
}

// The store slows to a tenth for good. Loads go on at its new speed.
TEST(LoadPacer, ASlowerStoreIsUsedWholeToo)
{
    BusyStore store(7, fromSeconds(0.25));
    store.run(fromSeconds(60));
    store.interval = fromSeconds(2.5);
    const std::size_t before = store.ended;
    store.run(fromSeconds(600));
    EXPECT_GE(store.ended - before, 180U); // of 240
}
