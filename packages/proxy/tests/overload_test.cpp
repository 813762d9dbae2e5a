#include "two_hosts.h"

#include "azurewell/http/clock.h"

#include <fmt/format.h>

#include <vector>

namespace azurewell {
namespace {

/// Processor time of a request at the host, so that it serves 200 in a second.
constexpr Span requestCost = std::chrono::milliseconds(5);
constexpr Span arrivalInterval = std::chrono::microseconds(2500);
constexpr Span maxWait = std::chrono::seconds(1);
constexpr Span duration = std::chrono::seconds(4);
/// Before this the queue is still short.
constexpr Span settlingTime = std::chrono::seconds(1);

struct OneRequest
{
    Peer caller;
    Instant askedAt;
    bool isOver = false;
};

/// What became of requests that were asked after settlingTime.
struct Outcomes
{
    std::size_t answered = 0;
    std::size_t closedUnread = 0;
    std::size_t givenUp = 0;
    std::size_t told = 0;           ///< At any time, that the host has no time for them.
    std::size_t toldIncomplete = 0; ///< Without saying that it has not run, or when to come back.
};

} // namespace

class OverloadTest : public TwoHostsTest
{
protected:
    OverloadTest()
    {
        this->setRequestCost(requestCost);
    }
    ~OverloadTest() override
    {
        this->setRequestCost(Span{});
    }

    /// Answers all requests at the upstream.
    void answerAtUpstream()
    {
        this->acceptAllAtUpstream(0);
        for (Peer &connection : this->upstreams) {
            if (connection.countReceived("body") == 0)
                continue;
            connection.received.clear();
            connection.send("HTTP/1.1 200 OK\r\nSignature: s\r\nKeep-Alive: timeout=30\r\n"
                            "Content-Length: 4\r\n\r\ndone");
        }
    }

    void observe(OneRequest &request, Instant now, Outcomes &outcomes)
    {
        const bool isAnswered = request.caller.countReceived("done") > 0;
        const bool isClosed = request.caller.hasEnded();
        const bool isGivenUp = now >= request.askedAt + maxWait;
        request.isOver = isAnswered || isClosed || isGivenUp;
        if (!request.isOver)
            return;
        if (request.caller.countReceived("host_overloaded") > 0) {
            const bool isWhole = request.caller.countReceived("HTTP/1.1 503 ") > 0
                    && request.caller.countReceived("Retry-After: ") > 0
                    && request.caller.countReceived("\"not_run\"") > 0;
            ++(isWhole ? outcomes.told : outcomes.toldIncomplete);
        }
        request.caller.close();
        if (request.askedAt < this->startedAt + settlingTime)
            return;
        if (isAnswered && !isGivenUp)
            ++outcomes.answered;
        else if (isClosed)
            ++outcomes.closedUnread;
        else
            ++outcomes.givenUp;
    }

    Outcomes play()
    {
        Outcomes outcomes;
        std::vector<OneRequest> requests;
        this->startedAt = monotonicNow();
        Instant nextAt = this->startedAt;
        const Instant until = this->startedAt + duration;
        waitFor([&] {
            const Instant now = monotonicNow();
            for (; nextAt <= now && nextAt < until; nextAt = nextAt + arrivalInterval)
                requests.push_back({ this->ask("serving", "/file"), nextAt });
            this->answerAtUpstream();
            for (OneRequest &request : requests) {
                if (!request.isOver)
                    this->observe(request, now, outcomes);
            }
            return now >= until + maxWait;
        });
        return outcomes;
    }

private:
    Instant startedAt;
};

// Guards against a host that, beyond its processor time, reads requests only as their callers give
// up: busy, and serving nobody.
TEST_F(OverloadTest, MostRequestsThatAreReadAreAnsweredInTime)
{
    const Outcomes outcomes = this->play();
    fmt::print("{} answered, {} given up, {} closed unread\n", outcomes.answered, outcomes.givenUp,
               outcomes.closedUnread);
    const std::size_t read = outcomes.answered + outcomes.givenUp;
    EXPECT_GE(outcomes.answered * 4, read * 3);
    EXPECT_GE(outcomes.answered * requestCost, (duration - settlingTime) / 2);
}

// Guards against callers that are turned away by a closed connection alone, although the host has
// time to tell them.
TEST_F(OverloadTest, CallersAreToldThatTheirRequestsHaveNotRun)
{
    const Outcomes outcomes = this->play();
    EXPECT_GE(outcomes.told * 4, outcomes.answered);
    EXPECT_EQ(outcomes.toldIncomplete, 0U);
    EXPECT_EQ(this->serving->state().counters.refusals[ResultCode::HostOverloaded], outcomes.told);
}

} // namespace azurewell
