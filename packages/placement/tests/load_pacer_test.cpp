#include "azurewell/placement/load_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace azurewell;

namespace {

/// A store that starts a load every `interval` and takes 250 ms for each, with coordinators that
/// always need another load.
struct BusyStore
{
    struct Coordinator
    {
        LoadPacer pacer;
        Instant startedAt;
        Instant endsAt;
        bool isLoading = false;
    };

    std::vector<Coordinator> coordinators;
    Span interval;
    Instant nextStart;
    Instant now;
    std::size_t ended = 0;
    std::mt19937_64 random{ 1 };

    BusyStore(std::size_t count, Span each)
        : coordinators(count)
        , interval(each)
    {
    }

    std::size_t inFlight() const
    {
        return static_cast<std::size_t>(std::count_if(
                this->coordinators.begin(), this->coordinators.end(),
                [](const Coordinator &coordinator) { return coordinator.isLoading; }));
    }
    void poll(Coordinator &coordinator)
    {
        if (!coordinator.pacer.hasBegun) {
            std::uniform_real_distribution<double> jitter(0.0, 1.0);
            beginPacing(coordinator.pacer, this->coordinators.size(), jitter(this->random),
                        this->now);
        }
        if (coordinator.isLoading && coordinator.endsAt <= this->now) {
            coordinator.isLoading = false;
            ++this->ended;
            recordLoadEnd(coordinator.pacer, this->coordinators.size(),
                          this->now - coordinator.startedAt, this->now);
        }
        if (coordinator.isLoading || !mayLoad(coordinator.pacer, 0, this->now))
            return;
        coordinator.isLoading = true;
        coordinator.startedAt = this->now;
        this->nextStart = std::max(this->now, this->nextStart) + this->interval;
        coordinator.endsAt = this->nextStart - this->interval + fromSeconds(0.25);
    }
    void run(Span span)
    {
        const Instant until = this->now + span;
        for (; this->now < until; this->now = this->now + fromSeconds(0.05)) {
            for (Coordinator &coordinator : this->coordinators)
                this->poll(coordinator);
        }
    }
};

} // namespace

// Guards against unused store capacity with few coordinators: the limit of eight loads in flight is
// kept while the store serves its four loads a second.
TEST(LoadPacer, SevenCoordinatorsUseTheWholeStoreRate)
{
    BusyStore store(7, fromSeconds(0.25));
    store.run(fromSeconds(60));
    EXPECT_LE(store.inFlight(), 8U);
    EXPECT_GE(store.ended, 200U);
}

// Guards against a long queue in the store when 390 coordinators need loads at once, as after a
// cold start of the whole fleet. Callers wait behind all loads in the store, and the coordinators
// don't communicate.
TEST(LoadPacer, HundredsOfCoordinatorsKeepTheStoreQueueShort)
{
    BusyStore store(390, fromSeconds(0.25));
    constexpr int seconds = 600;
    std::size_t maxInFlight = 0;
    std::size_t sum = 0;
    for (int second = 0; second < seconds; ++second) {
        store.run(fromSeconds(1));
        maxInFlight = std::max(maxInFlight, store.inFlight());
        sum += store.inFlight();
    }
    EXPECT_LE(sum / seconds, 12U); // the target is eight
    EXPECT_LE(maxInFlight, 130U);  // 390 without pacing
    EXPECT_GE(store.ended, 1200U); // the store can serve 2,400
}

// Guards against unused store capacity after the store slows to a tenth of its speed for good.
TEST(LoadPacer, SlowerStoreIsStillFullyUsed)
{
    BusyStore store(7, fromSeconds(0.25));
    store.run(fromSeconds(60));
    store.interval = fromSeconds(2.5);
    const std::size_t before = store.ended;
    store.run(fromSeconds(600));
    EXPECT_GE(store.ended - before, 180U); // of 240
}
