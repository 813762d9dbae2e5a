#include "azurewell/scheduling/read_window.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace azurewell {
namespace {

constexpr double serviceRate = 22'000;
constexpr Span maxPause = std::chrono::milliseconds(400);
constexpr Instant start{ 1'000'000'000 };
const HostId host{ "h" };

Instant at(int millis)
{
    return start + std::chrono::milliseconds(millis);
}

/// Prompts of \a tokens, two of them unread at any time, are read in \a millis each from \a now on.
void readPrompts(ReadWindow &window, int count, double tokens, int millis, Instant &now)
{
    std::uint64_t request = 1000 + static_cast<std::uint64_t>(now.micros);
    admitUnread(window, host, request, tokens, serviceRate, ReadReport::Expected, now, now);
    for (int i = 0; i < count; ++i) {
        admitUnread(window, host, request + 1, tokens, serviceRate, ReadReport::Expected, now, now);
        now = now + std::chrono::milliseconds(millis);
        recordRead(window, host, request++, serviceRate, now);
    }
    removeUnread(window, host, request, false);
}

TEST(ReadWindow, AdmitsOnePromptOfAnySizeAndOthersWithinThePause)
{
    ReadWindow window;
    EXPECT_TRUE(hasRoom(window, 50'000, serviceRate, maxPause, start));
    admitUnread(window, host, 1, 7000, serviceRate, ReadReport::Expected, start, start);
    EXPECT_TRUE(hasRoom(window, 1500, serviceRate, maxPause, start));
    EXPECT_FALSE(hasRoom(window, 2500, serviceRate, maxPause, start));
}

// Guards against one rate for engines of different speed.
TEST(ReadWindow, LearnsTheRateOfItsEngineWithinAFewPrompts)
{
    for (const int millis : { 45, 75, 190 }) {
        ReadWindow window;
        Instant now = start;
        readPrompts(window, 15, 1800, millis, now);
        EXPECT_NEAR(readRate(window, serviceRate), 1800.0 / millis * 1000, 1800.0 / millis * 80);
    }
}

// Guards against one slow report that makes an engine look slow for many prompts.
TEST(ReadWindow, ASingleSlowReportChangesTheRateLittle)
{
    ReadWindow window;
    Instant now = start;
    readPrompts(window, 20, 1800, 90, now);
    const double before = readRate(window, serviceRate);
    readPrompts(window, 1, 1800, 3000, now);
    EXPECT_GT(readRate(window, serviceRate), before * 0.8);
}

// Guards against a lost report that occupies the window for good, or counts as slow reading.
TEST(ReadWindow, AnEntryWhoseReportWasLostExpires)
{
    ReadWindow window;
    admitUnread(window, host, 1, 1800, serviceRate, ReadReport::Expected, start, start);
    admitUnread(window, host, 2, 1800, serviceRate, ReadReport::Expected, start, start);
    EXPECT_EQ(removeExpired(window, at(300)), 0U);
    const double before = readRate(window, serviceRate);
    EXPECT_EQ(removeExpired(window, at(1500)), 2U);
    EXPECT_EQ(unreadTokens(window, serviceRate, at(1500)), 0.0);
    EXPECT_EQ(readRate(window, serviceRate), before);
}

// Guards against answers that are no streams: their first byte comes when all is generated, and the
// engine would look slow.
TEST(ReadWindow, APromptWithoutAReportCountsAsReadAfterTheExpectedTime)
{
    ReadWindow window;
    admitUnread(window, host, 1, 2200, serviceRate, ReadReport::None, start, start);
    EXPECT_EQ(removeExpired(window, at(100)), 0U);
    EXPECT_EQ(window.unread.size(), 1U);
    EXPECT_EQ(removeExpired(window, at(150)), 0U);
    EXPECT_TRUE(window.unread.empty());
    EXPECT_EQ(readRate(window, serviceRate), serviceRate);
}

// Guards against a window that a new coordinator believes to be empty.
TEST(ReadWindow, CountsWaitingPromptsThatWereNotAdmittedHere)
{
    ReadWindow window;
    correctByWaiting(window, 6, serviceRate, start, start);
    EXPECT_FALSE(hasRoom(window, 1800, serviceRate, maxPause, start));
    EXPECT_TRUE(hasRoom(window, 1800, serviceRate, maxPause, at(200)));
}

// Guards against prompts that count twice, as admitted here and as waiting at the engine.
TEST(ReadWindow, KnownPromptsAreNotCountedAsWaitingAgain)
{
    ReadWindow window;
    for (std::uint64_t request = 1; request <= 3; ++request)
        admitUnread(window, host, request, 1800, serviceRate, ReadReport::Expected, start, start);
    recordRead(window, host, 1, serviceRate, at(90));
    correctByWaiting(window, 3, serviceRate, at(20), at(120));
    EXPECT_EQ(unreadTokens(window, serviceRate, at(120)), 3600.0);
}

/// An engine that reads chunks of 2,048 tokens of its prompts in turn between the steps of its
/// batch. A report that a prompt was read takes 3 ms, as does the way of an admitted prompt.
struct LoadedEngine
{
    static constexpr double perMilli = 22;
    static constexpr double chunk = 2048;
    static constexpr int stepMillis = 9;
    static constexpr double rate = chunk / (chunk / perMilli + stepMillis); ///< Per millisecond.

    struct Prompt
    {
        std::uint64_t request = 0;
        double left = 0;
        int arrivesAt = 0;
    };
    std::deque<Prompt> prompts;
    std::deque<std::pair<int, std::uint64_t>> reports; ///< By the time of their arrival.
    double busyUntil = 0;
    double readTokens = 0;

    void run(int now)
    {
        if (this->busyUntil > now)
            return;
        double left = chunk;
        this->busyUntil = std::max(this->busyUntil, now - 1.0);
        while (left > 0 && !this->prompts.empty() && this->prompts.front().arrivesAt <= now) {
            Prompt &first = this->prompts.front();
            const double read = std::min(left, first.left);
            left -= read;
            first.left -= read;
            if (first.left > 0)
                break;
            const int done = static_cast<int>(this->busyUntil + (chunk - left) / perMilli) + 1;
            this->reports.emplace_back(done + 3, first.request);
            this->prompts.pop_front();
        }
        this->readTokens += chunk - left;
        this->busyUntil += (chunk - left) / perMilli + stepMillis;
    }
};

struct Waiting
{
    std::uint64_t request = 0;
    double tokens = 0;
    int arrivedAt = 0;
    Instant latestStart;
};

struct LoadResult
{
    double waitPercentile90 = 0; ///< In milliseconds, of admitted prompts.
    double throughput = 0;       ///< Relative to the engine's rate.
    int late = 0;                ///< Prompts that waited and were read after their objective.
    int admitted = 0;
    int refused = 0;
};

/// Twenty hosts send prompts of \a load times what the engine reads, each at random times. A plain
/// FIFO queue stands for that of the coordinator.
LoadResult runLoad(double load, std::uint64_t seed)
{
    constexpr int hosts = 20;
    constexpr int duration = 120'000;
    constexpr double meanTokens = 1110;
    constexpr int objective = 800;
    std::mt19937_64 random(seed);
    const double perHost = load * LoadedEngine::rate / meanTokens / hosts;
    std::exponential_distribution<double> gap(perHost);
    std::gamma_distribution<double> size(2.0, meanTokens / 2);
    std::vector<double> nextAt(hosts);
    std::generate(nextAt.begin(), nextAt.end(), [&] { return gap(random); });
    ReadWindow window;
    LoadedEngine engine;
    std::deque<Waiting> queue;
    double queuedTokens = 0;
    std::vector<double> waits;
    std::vector<std::pair<int, bool>> sent; // Arrival, and whether it waited, by request.
    LoadResult result;
    for (int now = 0; now < duration; ++now) {
        while (!engine.reports.empty() && engine.reports.front().first <= now) {
            const std::uint64_t request = engine.reports.front().second;
            engine.reports.pop_front();
            recordRead(window, host, request, serviceRate, at(now));
            const auto [arrivedAt, hasWaited] = sent[request];
            result.late += hasWaited && now > arrivedAt + objective ? 1 : 0;
        }
        for (double &next : nextAt) {
            if (next > now)
                continue;
            next += gap(random);
            const double tokens = std::clamp(size(random), 100.0, 6870.0);
            const double rate = readRate(window, serviceRate);
            const Span left = std::chrono::milliseconds(objective);
            if ((!queue.empty() || !hasRoom(window, tokens, rate, maxPause, at(now)))
                && expectedRead(window, queuedTokens, tokens, rate, at(now)) > left) {
                ++result.refused;
                continue;
            }
            const double ahead = std::max(windowTokens(rate, maxPause), tokens);
            queue.push_back(
                    { sent.size(), tokens, now, at(now) + left - fromSeconds(ahead / rate) });
            queuedTokens += tokens;
            sent.emplace_back(now, false);
        }
        while (!queue.empty()) {
            const Waiting next = queue.front();
            const double rate = readRate(window, serviceRate);
            const bool isTooLate = now > next.arrivedAt && at(now) > next.latestStart;
            if (!isTooLate && !hasRoom(window, next.tokens, rate, maxPause, at(now)))
                break;
            queue.pop_front();
            queuedTokens = queue.empty() ? 0 : queuedTokens - next.tokens;
            if (isTooLate) {
                ++result.refused;
                continue;
            }
            ++result.admitted;
            waits.push_back(now - next.arrivedAt);
            sent[next.request].second = now > next.arrivedAt;
            admitUnread(window, host, next.request, next.tokens, rate, ReadReport::Expected,
                        at(now), at(now));
            engine.prompts.push_back({ next.request, next.tokens, now + 3 });
        }
        engine.run(now);
        removeExpired(window, at(now));
    }
    std::sort(waits.begin(), waits.end());
    result.waitPercentile90 = waits[waits.size() * 9 / 10];
    result.throughput = engine.readTokens / (LoadedEngine::rate * duration);
    const std::string name = "load" + std::to_string(load) + "_seed" + std::to_string(seed);
    testing::Test::RecordProperty(name,
                                  "wait_p90_ms " + std::to_string(result.waitPercentile90)
                                          + " throughput " + std::to_string(result.throughput)
                                          + " late " + std::to_string(result.late) + " admitted "
                                          + std::to_string(result.admitted) + " refused "
                                          + std::to_string(result.refused));
    return result;
}

// Guards against pacing that delays prompts which the engine could read at once.
TEST(ReadWindowLoad, PromptsHardlyWaitAtHalfTheRate)
{
    for (const std::uint64_t seed : { 1, 2, 3 })
        EXPECT_LT(runLoad(0.5, seed).waitPercentile90, 20);
}

TEST(ReadWindowLoad, PromptsHardlyWaitAtNineTenthsOfTheRate)
{
    for (const std::uint64_t seed : { 1, 2, 3 })
        EXPECT_LT(runLoad(0.9, seed).waitPercentile90, 20);
}

// Guards against an engine that is idle while prompts wait, and against prompts that wait in vain.
TEST(ReadWindowLoad, AboveTheRateTheEngineIsBusyAndNoPromptThatWaitedIsLate)
{
    for (const double load : { 1.0, 1.2, 2.0 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const LoadResult result = runLoad(load, seed);
            EXPECT_EQ(result.late, 0) << load;
            EXPECT_GE(result.throughput, load > 1 ? 0.95 : 0.0) << load;
        }
    }
}

} // namespace
} // namespace azurewell
