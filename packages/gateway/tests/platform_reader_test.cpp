#include "azurewell/gateway/platform_reader.h"
#include "fake_store.h"

#include <gtest/gtest.h>

#include <string>

namespace azurewell::gateway {
namespace {

/// A confirmed change has to be in force after this: the strictest that deployments ask for.
constexpr Span inForceWithin = std::chrono::seconds(2);

/// Of that, what passing a change on to hosts that do not read the store themselves may take.
constexpr Span toldWithin = std::chrono::milliseconds(300);

constexpr Instant dayBegins{ 100'000'000 };
constexpr Instant silenceBegins = dayBegins + std::chrono::seconds(5);

/// How often a host looks whether a call is due or overdue.
constexpr Span lookInterval = std::chrono::milliseconds(25);

constexpr Span step = std::chrono::milliseconds(50);

/// One host that reads a store alone: nobody tells it what it misses.
class LoneHost
{
public:
    LoneHost(const FakeStore &fakeStore, Instant begin, std::uint64_t seed)
        : store(fakeStore)
        , now(begin)
        , random(seed)
    {
    }

    /// When the host knows \a revision.
    Instant knows(std::uint64_t revision)
    {
        while (this->known < revision)
            this->step();
        return this->now;
    }

    /// Calls that it makes until \a end.
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
            this->now = this->now + lookInterval;
            return;
        }
        const Instant answer = this->store.answerAt(this->now, call->wait, this->known);
        if (answer >= call->giveUpAt) {
            this->now = call->giveUpAt + lookInterval;
            noteReadFailure(this->reader, ReadFailure::NoAnswer, this->now);
            return;
        }
        this->now = answer;
        const std::uint64_t revision = this->store.revisionAt(answer - FakeStore::oneWay);
        noteReadAnswer(this->reader, revision > this->known, this->random, this->now);
        this->known = revision;
    }

    const FakeStore &store;
    PlatformReader reader{ planReads(inForceWithin) };
    std::uint64_t known = 0;
    Instant now;
    std::mt19937_64 random;
};

/// The longest time that a change took until it was known, and where.
struct Worst
{
    Span span{};
    std::string what;
};

void note(Worst &worst, Span span, const std::string &what)
{
    if (span <= worst.span)
        return;
    worst.span = span;
    worst.what = what;
}

std::string millis(Span span)
{
    return std::to_string(span.count() / 1000) + " ms";
}

/// Plays one silence, and after it one change at each of many moments, with the calls of the host
/// in different places when the silence begins.
void playSilence(Span silence, Worst &worst)
{
    constexpr Span latestChange = std::chrono::seconds(3);
    constexpr std::uint64_t phases = 8;
    const Instant silenceEnds = silenceBegins + silence;
    for (Span after{}; after <= latestChange; after += step) {
        const FakeStore store{ { silenceEnds + after }, silenceBegins, silenceEnds };
        for (std::uint64_t phase = 0; phase < phases; ++phase) {
            const Span offset = phase * std::chrono::milliseconds(470);
            LoneHost host(store, dayBegins + offset, phase);
            note(worst, host.knows(1) - store.changes.front(),
                 "silence " + millis(silence) + ", change after " + millis(after) + ", phase "
                         + std::to_string(phase));
        }
    }
}

// Guards against a call that began in a silence of the store and outlives it: changes that are
// confirmed after the silence were not in force in time.
TEST(PlatformReaderTest, ChangesAfterASilenceOfAnyLengthAreKnownInTime)
{
    constexpr Span shortest = std::chrono::milliseconds(100);
    constexpr Span longest = std::chrono::seconds(12);
    Worst worst;
    for (Span silence = shortest; silence <= longest; silence += step)
        playSilence(silence, worst);
    EXPECT_LE(worst.span + toldWithin, inForceWithin) << worst.what;
}

TEST(PlatformReaderTest, ASilentStoreIsCalledLessThanOnceASecond)
{
    constexpr Span silence = std::chrono::seconds(60);
    constexpr std::uint64_t most = 60;
    const FakeStore store{ {}, dayBegins, dayBegins + silence };
    LoneHost host(store, dayBegins, 1);
    EXPECT_LE(host.callsUntil(dayBegins + silence), most);
}

TEST(PlatformReaderTest, SpansFollowTheTimeInWhichAChangeHasToBeInForce)
{
    const ReadTimes strict = planReads(std::chrono::seconds(2));
    const ReadTimes usual = planReads(std::chrono::seconds(4));
    EXPECT_GT(usual.watchWait, strict.watchWait);
    const ReadTimes tooStrict = planReads(std::chrono::milliseconds(100));
    EXPECT_GT(tooStrict.watchWait, Span{});
    EXPECT_GE(tooStrict.longestPause, tooStrict.shortestPause);
}

} // namespace
} // namespace azurewell::gateway
