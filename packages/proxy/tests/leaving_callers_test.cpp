#include "two_hosts.h"

#include "azurewell/http/clock.h"

#include <QtCore/QCoreApplication>

#include <ostream>
#include <tuple>
#include <vector>

namespace azurewell {
namespace {

enum class Leaving : std::uint8_t { Close, Reset, HalfClose };

std::ostream &operator<<(std::ostream &out, Leaving how)
{
    switch (how) {
    case Leaving::Close:
        return out << "Close";
    case Leaving::Reset:
        return out << "Reset";
    case Leaving::HalfClose:
        break;
    }
    return out << "HalfClose";
}

void leave(Peer &caller, Leaving how)
{
    if (how == Leaving::Close)
        caller.close();
    else if (how == Leaving::Reset)
        caller.reset();
    else
        caller.shutdownWriting();
}

/// How requests reach the upstream.
enum class Way : std::uint8_t { Direct, Forwarded };

std::ostream &operator<<(std::ostream &out, Way way)
{
    return out << (way == Way::Direct ? "Direct" : "Forwarded");
}

constexpr std::size_t callersAtOnce = 50;
/// Time after which work for a caller that has left is a failure.
constexpr Span maxWorkAfterLeaving = std::chrono::milliseconds(500);

const std::string answerBytes = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: 7\r\n"
                                "Keep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\ndone";

void runFor(Span span)
{
    const Instant until = monotonicNow() + span;
    waitFor([until] { return monotonicNow() >= until; });
}

} // namespace

/// Callers that leave: how, and the host that they ask.
class LeavingCallersTest : public TwoHostsTest,
                           public testing::WithParamInterface<std::tuple<Leaving, Way>>
{
protected:
    Leaving how() const
    {
        return std::get<0>(GetParam());
    }
    /// The host that callers ask.
    std::string host() const
    {
        return std::get<1>(GetParam()) == Way::Direct ? "serving" : "cut";
    }

    /// Opens idle connections to the upstream, and between the hosts, so that a request is sent
    /// at once.
    void openConnections()
    {
        std::vector<Peer> callers;
        for (std::size_t i = 0; i < callersAtOnce; ++i)
            callers.push_back(this->ask(this->host(), "/file"));
        ASSERT_TRUE(this->acceptAllAtUpstream(callersAtOnce));
        for (Peer &connection : this->upstreams) {
            ASSERT_TRUE(connection.receives("body"));
            connection.send(answerBytes);
        }
        for (Peer &caller : callers)
            ASSERT_TRUE(caller.receives("done"));
    }

    /// Requests that have reached the upstream.
    std::size_t countAtUpstream()
    {
        std::size_t count = 0;
        for (Peer &connection : this->upstreams)
            count += connection.countReceived("POST ");
        return count;
    }
};

// Guards against requests that are sent although their callers have left before they were read.
TEST_P(LeavingCallersTest, RequestsThatWereNotReadInTimeAreNotSent)
{
    this->openConnections();
    const std::size_t before = this->countAtUpstream();
    std::vector<Peer> callers;
    for (std::size_t i = 0; i < callersAtOnce; ++i) {
        callers.push_back(this->ask(this->host(), "/file"));
        leave(callers.back(), this->how());
    }
    runFor(maxWorkAfterLeaving);
    this->acceptAllAtUpstream(0);
    EXPECT_EQ(this->countAtUpstream() - before, 0U);
}

// Guards against requests that waited at a host and are sent although their callers have left, as
// the end of a connection is read after what was due before it.
TEST_P(LeavingCallersTest, RequestsThatWaitedAreNotSent)
{
    Proxy &proxy = this->host() == "serving" ? *this->serving : *this->cutOff;
    Peer caller = this->ask(this->host(), "/file");
    ASSERT_TRUE(this->acceptAllAtUpstream(1));
    ASSERT_TRUE(this->upstreams.front().receives("body"));
    runFor(std::chrono::milliseconds(20));
    const auto &[number, record] = *proxy.state().requests.begin();
    gateway::Dispatch repeat;
    repeat.request = number;
    repeat.attempt = record.attempt + 1;
    repeat.address = this->upstreamAddress();
    leave(caller, this->how());
    gateway::Actions actions;
    actions.dispatches.push_back(repeat);
    proxy.run(actions);
    runFor(maxWorkAfterLeaving);
    this->acceptAllAtUpstream(0);
    EXPECT_EQ(this->countAtUpstream(), 1U);
    EXPECT_TRUE(this->upstreams.front().isClosedByOtherEnd());
    EXPECT_EQ(proxy.state().counters.callersLeft.size(), 1U);
}

std::string nameOfCase(const testing::TestParamInfo<LeavingCallersTest::ParamType> &given)
{
    const auto &[how, way] = given.param;
    return testing::PrintToString(how) + testing::PrintToString(way);
}

const auto ways = testing::Combine(
        testing::Values(Leaving::Close, Leaving::Reset, Leaving::HalfClose),
        testing::Values(Way::Direct, Way::Forwarded));

INSTANTIATE_TEST_SUITE_P(Ways, LeavingCallersTest, ways, nameOfCase);

} // namespace azurewell
