#include "azurewell/gateway/platform_reader.h"
#include "fake_store.h"

#include <gtest/gtest.h>

#include <string>

namespace azurewell::gateway {
namespace {

/// Time within which a confirmed change has to be in force; the strictest that deployments require.
constexpr Span propagationTimeout = std::chrono::seconds(2);

/// The share of it for forwarding a change to hosts that do not read the store themselves.
constexpr Span forwardingTime = std::chrono::milliseconds(300);

constexpr Instant startedAt{ 100'000'000 };
constexpr Instant outageBegins = startedAt + std::chrono::seconds(5);

/// Interval at which a host checks whether a call is due or overdue.
constexpr Span pollInterval = std::chrono::milliseconds(25);

constexpr Span step = std::chrono::milliseconds(50);

/// One host that reads the store and receives no updates from other hosts.
class SingleHost
{
public:
    SingleHost(const FakeStore &fakeStore, Instant begin, std::uint64_t seed)
        : store(fakeStore)
        , now(begin)
        , random(seed)
    {
    }

    /// Runs until the host knows \a revision and returns that time.
    Instant knows(std::uint64_t revision)
    {
        while (this->known < revision)
            this->step();
        return this->now;
    }

    /// Runs until \a end and returns the number of calls made so far.
    std::uint64_t callsUntil(Instant end)
    {
        while (this->now < end)
            this->step();
        return this->reader.calls;
    }

private:
    void step()
    {
        const std::optional<ReadCall> call = beginRead(this->reader, true, this->now);
        if (!call) {
            this->now = this->now + pollInterval;
            return;
        }
        const Instant answer = this->store.answerAt(this->now, call->wait, this->known);
        if (answer >= call->callDeadline) {
            this->now = call->callDeadline + pollInterval;
            recordReadFailure(this->reader, ReadFailure::NoAnswer, this->now);
            return;
        }
        this->now = answer;
        const std::uint64_t revision = this->store.revisionAt(answer - FakeStore::oneWay);
        recordReadAnswer(this->reader, revision > this->known, this->random, this->now);
        this->known = revision;
    }

    const FakeStore &store;
    PlatformReader reader{ planReads(propagationTimeout) };
    std::uint64_t known = 0;
    Instant now;
    std::mt19937_64 random;
};

/// The longest time until a change was known, and in which case.
struct Slowest
{
    Span span{};
    std::string what;
};

void note(Slowest &slowest, Span span, const std::string &what)
{
    if (span <= slowest.span)
        return;
    slowest.span = span;
    slowest.what = what;
}

std::string millis(Span span)
{
    return std::to_string(span.count() / 1000) + " ms";
}

/// Simulates one outage with a change at each of many times after it. The phase of the host's calls
/// at the start of the outage varies.
void simulateOutage(Span outage, Slowest &slowest)
{
    constexpr Span latestChange = std::chrono::seconds(3);
    constexpr std::uint64_t phases = 8;
    const Instant outageEnds = outageBegins + outage;
    for (Span after{}; after <= latestChange; after += step) {
        const FakeStore store{ { outageEnds + after }, outageBegins, outageEnds };
        for (std::uint64_t phase = 0; phase < phases; ++phase) {
            const Span offset = phase * std::chrono::milliseconds(470);
            SingleHost host(store, startedAt + offset, phase);
            note(slowest, host.knows(1) - store.changes.front(),
                 "outage " + millis(outage) + ", change after " + millis(after) + ", phase "
                         + std::to_string(phase));
        }
    }
}

// Guards against a call that began during an outage of the store and outlives it, so that changes
// confirmed after the outage are not in force in time.
TEST(PlatformReaderTest, ChangesAfterAnOutageOfAnyLengthAreKnownInTime)
{
    constexpr Span shortest = std::chrono::milliseconds(100);
    constexpr Span longest = std::chrono::seconds(12);
    Slowest slowest;
    for (Span outage = shortest; outage <= longest; outage += step)
        simulateOutage(outage, slowest);
    EXPECT_LE(slowest.span + forwardingTime, propagationTimeout) << slowest.what;
}

TEST(PlatformReaderTest, UnresponsiveStoreIsCalledAtMostOnceASecond)
{
    constexpr Span outage = std::chrono::seconds(60);
    constexpr std::uint64_t maxCalls = 60;
    const FakeStore store{ {}, startedAt, startedAt + outage };
    SingleHost host(store, startedAt, 1);
    EXPECT_LE(host.callsUntil(startedAt + outage), maxCalls);
}

TEST(PlatformReaderTest, TimingFollowsThePropagationTimeout)
{
    const ReadTimes strict = planReads(std::chrono::seconds(2));
    const ReadTimes usual = planReads(std::chrono::seconds(4));
    EXPECT_GT(usual.watchWait, strict.watchWait);
    const ReadTimes tooStrict = planReads(std::chrono::milliseconds(100));
    EXPECT_GT(tooStrict.watchWait, Span{});
    EXPECT_GE(tooStrict.maxPause, tooStrict.minPause);
}

} // namespace
} // namespace azurewell::gateway
