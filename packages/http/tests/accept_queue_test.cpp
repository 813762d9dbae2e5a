#include "azurewell/http/accept_queue.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace azurewell {
namespace {

constexpr Span requestCost = std::chrono::milliseconds(2);
constexpr Span tellingCost = std::chrono::microseconds(20);
constexpr Span sliceLength = std::chrono::milliseconds(10);
/// Of each pass, for all but new callers.
constexpr Span otherWork = std::chrono::milliseconds(1);

void learn(AcceptQueue &queue, Span deadline)
{
    learnDeadline(queue, deadline / 4, deadline);
}

/// Callers of one host, in the order in which they come.
struct Outcomes
{
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0; ///< Read after their callers had given up.
    std::uint32_t turnedAway = 0;
    Span longestWait{};

    double share() const
    {
        return static_cast<double>(this->inTime) / this->asked;
    }
};

/// A host that reads one request after the other, and callers who wait for a while.
class ReadingHost
{
public:
    explicit ReadingHost(Span wait)
        : callersWait(wait)
    {
        learn(this->queue, wait);
    }

    /// Callers come for \a length at \a load times what the host reads.
    Outcomes play(double load, Span length)
    {
        Outcomes outcomes;
        const Span interval = fromSeconds(toSeconds(requestCost) / load);
        const Instant until = this->now + length;
        Instant nextAt = this->now;
        while (this->now < until) {
            for (; nextAt <= this->now; nextAt = nextAt + interval)
                this->ask(nextAt, outcomes);
            this->now = this->now + otherWork;
            this->slice(outcomes);
        }
        return outcomes;
    }

    /// The process stands still.
    void pause(Span length)
    {
        this->now = this->now + length;
    }

    std::size_t waiting() const
    {
        return this->queue.waiting.size();
    }

private:
    void ask(Instant at, Outcomes &outcomes)
    {
        ++outcomes.asked;
        if (hasRoom(this->queue, this->now))
            this->queue.waiting.push_back({ UniqueFd(), at });
        else
            this->turnAway(outcomes);
    }

    void turnAway(Outcomes &outcomes)
    {
        ++outcomes.turnedAway;
        this->now = this->now + tellingCost;
    }

    void slice(Outcomes &outcomes)
    {
        const Instant until = this->now + sliceLength;
        std::uint32_t read = 0;
        while (!this->queue.waiting.empty() && this->now < until) {
            const UnreadCaller caller = std::move(this->queue.waiting.front());
            this->queue.waiting.pop_front();
            if (isOverdue(this->queue, caller, this->now)) {
                this->turnAway(outcomes);
                continue;
            }
            const Span waited = this->now - caller.acceptedAt;
            outcomes.longestWait = std::max(outcomes.longestWait, waited);
            learnWait(this->queue, waited, false, this->now);
            this->now = this->now + requestCost;
            ++read;
            ++(this->now - caller.acceptedAt <= this->callersWait ? outcomes.inTime
                                                                  : outcomes.late);
        }
        endSlice(this->queue, read, this->now);
        for (std::size_t left = countExcess(this->queue, this->now); left > 0; --left) {
            this->queue.waiting.pop_back();
            this->turnAway(outcomes);
        }
    }

    AcceptQueue queue;
    Span callersWait;
    Instant now{ 1'000'000 };
};

struct Case
{
    double load;
    Span wait;
};

class AcceptQueueLoadTest : public testing::TestWithParam<Case>
{
};

} // namespace

// Guards against a host that reads requests only after their callers have given up, or turns away
// callers whom it would have answered in time.
TEST_P(AcceptQueueLoadTest, ServesWhatTheHostCanRead)
{
    const auto &[load, wait] = GetParam();
    constexpr Span settling = std::chrono::seconds(2);
    constexpr Span length = std::chrono::seconds(30);
    ReadingHost host(wait);
    host.play(load, settling);
    const Outcomes outcomes = host.play(load, length);
    // A pass spends some of its time on other work, more of it the less there is to read.
    const double possible = toSeconds(sliceLength) / toSeconds(sliceLength + otherWork);
    EXPECT_GE(outcomes.share(), std::min(1.0, possible / load) * (load < 1.5 ? 0.95 : 0.8));
    EXPECT_LE(outcomes.late, outcomes.asked / 100);
    if (load < 0.9)
        EXPECT_EQ(outcomes.turnedAway, 0U);
}

std::vector<Case> cases()
{
    std::vector<Case> all;
    for (const double load : { 0.5, 0.9, 1.0, 1.1, 1.5, 3.0, 10.0 }) {
        for (const int millis : { 500, 2000, 10000 })
            all.push_back({ load, std::chrono::milliseconds(millis) });
    }
    return all;
}

std::string nameOfCase(const testing::TestParamInfo<Case> &given)
{
    return std::to_string(static_cast<int>(given.param.load * 10)) + "TenthsWait"
            + std::to_string(inMilliseconds(given.param.wait)) + "ms";
}

INSTANTIATE_TEST_SUITE_P(Loads, AcceptQueueLoadTest, testing::ValuesIn(cases()), nameOfCase);

TEST(AcceptQueue, KeepsAllWhileNobodyWaits)
{
    AcceptQueue queue;
    for (int i = 0; i < 10; ++i)
        EXPECT_TRUE(hasRoom(queue, Instant{ 1'000'000 }));
}

// Guards against callers that are turned away as a host goes on after it has been paused.
TEST(AcceptQueue, KeepsAllAfterAPause)
{
    ReadingHost host(std::chrono::seconds(10));
    host.play(0.7, std::chrono::seconds(3));
    host.pause(std::chrono::seconds(3));
    EXPECT_EQ(host.play(0.7, std::chrono::seconds(3)).turnedAway, 0U);
}

// Guards against a burst that is turned away although its callers would have waited.
TEST(AcceptQueue, KeepsABurstThatCallersCanWaitFor)
{
    ReadingHost host(std::chrono::seconds(2));
    host.play(0.5, std::chrono::seconds(2));
    EXPECT_EQ(host.play(3, std::chrono::milliseconds(500)).turnedAway, 0U);
}

// Guards against a queue that makes all callers wait long for as long as the load lasts.
TEST(AcceptQueue, ServesSoonUnderALastingLoad)
{
    constexpr Span wait = std::chrono::seconds(2);
    ReadingHost host(wait);
    host.play(3, std::chrono::seconds(8));
    const Outcomes outcomes = host.play(3, std::chrono::seconds(8));
    EXPECT_LE(outcomes.longestWait, wait / 2);
}

// Guards against a host that turns callers away long after the load has fallen.
TEST(AcceptQueue, EndsSoonAfterTheLoad)
{
    ReadingHost host(std::chrono::seconds(2));
    host.play(10, std::chrono::seconds(10));
    host.play(0.5, std::chrono::seconds(2));
    const Outcomes after = host.play(0.5, std::chrono::seconds(5));
    EXPECT_EQ(after.turnedAway + after.late, 0U);
    EXPECT_LE(host.waiting(), 10U);
}

TEST(AcceptQueue, AlwaysKeepsOne)
{
    AcceptQueue queue;
    learnDeadline(queue, std::chrono::milliseconds(1), std::chrono::milliseconds(1));
    endSlice(queue, 0, Instant{ 1'000'000 });
    for (int i = 1; i < 20; ++i)
        EXPECT_TRUE(hasRoom(queue, Instant{ 1'000'000 + i * 2'000'000 }));
}

// Guards against one caller in a hurry, for whom others would be turned away.
TEST(AcceptQueue, FollowsTheDeadlinesOfMostCallers)
{
    AcceptQueue queue;
    for (int i = 0; i < 1000; ++i)
        learn(queue, std::chrono::milliseconds(i % 20 == 0 ? 10 : 800));
    EXPECT_GE(queue.usualDeadline, std::chrono::milliseconds(700));
    for (int i = 0; i < 100; ++i)
        learn(queue, std::chrono::milliseconds(i % 2 == 0 ? 400 : 60'000));
    EXPECT_LE(queue.usualDeadline, std::chrono::milliseconds(450));
    EXPECT_LE(queue.usualWait, queue.usualDeadline);
}

// Guards against a host that turns nearly all callers away, as those it was too slow for have left
// and it then has nothing to read when it gets processor time.
TEST(AcceptQueue, KeepsCallersOfATurnWhateverItLearns)
{
    AcceptQueue queue;
    Instant now{ 1'000'000 };
    learn(queue, std::chrono::milliseconds(500));
    for (int i = 0; i < 1000; ++i) {
        learnSpare(queue, Span{});
        learnWait(queue, std::chrono::milliseconds(1), true, now);
    }
    const UnreadCaller caller{ UniqueFd(), now };
    EXPECT_FALSE(isOverdue(queue, caller, now + std::chrono::milliseconds(150)));
    endSlice(queue, 0, now);
    for (int turn = 0; turn < 20; ++turn) {
        queue.waiting.push_back({ UniqueFd(), now });
        now = now + std::chrono::milliseconds(80);
        endSlice(queue, 20, now);
    }
    queue.waiting.clear();
    std::size_t kept = 0;
    for (; kept < 100 && hasRoom(queue, now); ++kept)
        queue.waiting.push_back({ UniqueFd(), now });
    EXPECT_GE(kept, 20U);
}

// Guards against callers in a hurry who are read too late, and against slow answers to patient
// callers for which those in a hurry would be turned away.
TEST(AcceptQueue, FollowsTheTimeToSpareOfEachCaller)
{
    AcceptQueue queue;
    learn(queue, std::chrono::seconds(15));
    for (int i = 0; i < 1000; ++i) {
        const bool isPatient = i % 2 == 0;
        learn(queue, isPatient ? std::chrono::seconds(15) : std::chrono::milliseconds(1500));
        const Span answer = std::chrono::milliseconds(isPatient ? 3000 : 100);
        learnSpare(
                queue,
                (isPatient ? Span(std::chrono::seconds(15)) : Span(std::chrono::milliseconds(1500)))
                        - answer);
    }
    EXPECT_GE(queue.usualSpare, std::chrono::milliseconds(1200));
    EXPECT_LE(queue.usualSpare, std::chrono::milliseconds(1500));
}

// Guards against a queue that is too long for callers who leave earlier than they state, and
// against some in a hurry, for whom others would be turned away.
TEST(AcceptQueue, FollowsHowLongCallersStay)
{
    constexpr Span patience = std::chrono::milliseconds(600);
    AcceptQueue queue;
    Instant now{ 1'000'000 };
    learn(queue, std::chrono::seconds(20));
    for (int i = 0; i < 3000; ++i) {
        const Span waited = queue.usualWait * 3 / 4;
        now = now + requestCost;
        learnWait(queue, waited, waited >= patience || i % 50 == 0, now);
    }
    EXPECT_GE(queue.usualWait, patience * 3 / 4);
    EXPECT_LE(queue.usualWait, patience * 4 / 3);
}

// Guards against a usual wait far below that of any caller that left, because another caller of the
// sample was read soon and stayed.
TEST(AcceptQueue, FallsNoLowerThanThoseThatLeftShow)
{
    constexpr Span patience = std::chrono::milliseconds(800);
    AcceptQueue queue;
    const Instant now{ 1'000'000 };
    learn(queue, std::chrono::seconds(2));
    for (int i = 0; i < 200; ++i) {
        const bool hasLeft = i % 2 == 1;
        learnWait(queue, hasLeft ? patience : std::chrono::milliseconds(50), hasLeft, now);
    }
    EXPECT_GE(queue.usualWait, patience * 9 / 10);
    EXPECT_LE(queue.usualWait, patience);
}

// Guards against a host that turns callers away as if they were in a hurry, long after those who
// were have gone.
TEST(AcceptQueue, FollowsCallersWhoStayLongerAgain)
{
    AcceptQueue queue;
    Instant now{ 1'000'000 };
    learn(queue, std::chrono::seconds(2));
    for (int i = 0; i < 200; ++i)
        learnWait(queue, std::chrono::milliseconds(100), true, now);
    EXPECT_LE(queue.usualWait, std::chrono::milliseconds(300));
    for (int i = 0; i < 10'000; ++i) {
        now = now + requestCost;
        learnWait(queue, queue.usualWait, false, now);
    }
    EXPECT_GE(queue.usualWait, std::chrono::seconds(1));
}

// Guards against callers that are told to wait by a rate of reading which the host itself doesn't
// take as known any more, or not yet.
TEST(AcceptQueue, ExpectsAWaitOnlyWhileItsRateIsKnown)
{
    const Instant now{ 5'000'000 };
    AcceptQueue queue;
    learn(queue, std::chrono::seconds(2));
    queue.waiting.resize(50);
    queue.backloggedSince = now - std::chrono::milliseconds(100);
    endSlice(queue, 10, now);
    EXPECT_EQ(expectedWait(queue, now), Span{});
    EXPECT_TRUE(hasRoom(queue, now));
    const Instant later = now + std::chrono::milliseconds(900);
    endSlice(queue, 90, later);
    EXPECT_GE(expectedWait(queue, later), std::chrono::milliseconds(450));
    EXPECT_LE(expectedWait(queue, later), std::chrono::milliseconds(550));
    EXPECT_EQ(expectedWait(queue, later + std::chrono::seconds(3)), Span{});
    queue.waiting.resize(1000);
    EXPECT_FALSE(hasRoom(queue, later));
    EXPECT_TRUE(hasRoom(queue, later + std::chrono::seconds(3)));
}

// Guards against a host that spends its time on telling callers that it has none.
TEST(AcceptQueue, TellsAsManyAsItReads)
{
    AcceptQueue queue;
    EXPECT_FALSE(takeTelling(queue));
    endSlice(queue, 2, Instant{ 1'000'000 });
    for (int i = 0; i < 2; ++i)
        EXPECT_TRUE(takeTelling(queue));
    EXPECT_FALSE(takeTelling(queue));
}

} // namespace azurewell
