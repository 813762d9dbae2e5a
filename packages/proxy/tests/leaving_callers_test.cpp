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

std::string requestWith(const std::string &body)
{
    std::string request = "POST /file HTTP/1.1\r\nHost: h\r\nKey: secret\r\nContent-Length: ";
    request += std::to_string(body.size());
    request += "\r\n\r\n";
    request += body;
    return request;
}

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

// Guards against monitors that get no answer, as they close their direction once they have asked.
TEST_F(TwoHostsTest, AMonitorThatHasClosedItsDirectionIsAnswered)
{
    Peer monitor = Peer::connectTo(this->readiness("serving"));
    monitor.send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
    monitor.shutdownWriting();
    EXPECT_TRUE(monitor.receives("HTTP/1.1 "));
}

/// A caller that sends far more than its request.
struct Sender
{
    Peer peer;
    std::string unsent;
};

class PipeliningCallersTest : public LeavingCallersTest
{
protected:
    /// Lets callers send a request, the next whole one and \a behind bytes more, for some time.
    std::vector<Sender> sendBehind(std::size_t behind)
    {
        constexpr Span sendingTime = std::chrono::milliseconds(400);
        std::vector<Sender> senders;
        for (std::size_t i = 0; i < callersAtOnce; ++i) {
            senders.push_back({ this->ask(this->host(), "/file"),
                                requestWith({}) + std::string(behind, 'x') });
        }
        // A host that is short of processor time would close connections unread.
        waitFor([this] {
            this->acceptAllAtUpstream(0);
            return this->countAtUpstream() >= callersAtOnce;
        });
        const Instant until = monotonicNow() + sendingTime;
        waitFor([&] {
            for (Sender &sender : senders)
                sender.unsent.erase(0, sender.peer.sendWhatFits(sender.unsent));
            return monotonicNow() >= until;
        });
        return senders;
    }

    /// The upstream's connection on which the request with \a body arrives.
    Peer *findAtUpstream(const std::string &body)
    {
        Peer *found = nullptr;
        waitFor([&] {
            this->acceptAllAtUpstream(0);
            for (Peer &connection : this->upstreams)
                found = connection.countReceived(body) > 0 ? &connection : found;
            return found != nullptr;
        });
        return found;
    }

    void expectNoWorkForLeaving(std::size_t behind)
    {
        std::vector<Sender> senders = this->sendBehind(behind);
        ASSERT_TRUE(this->acceptAllAtUpstream(callersAtOnce));
        EXPECT_EQ(this->countAtUpstream(), callersAtOnce);
        for (Sender &sender : senders)
            leave(sender.peer, this->how());
        const Instant leftAt = monotonicNow();
        for (Peer &connection : this->upstreams)
            EXPECT_TRUE(connection.isClosedByOtherEnd());
        EXPECT_LE(monotonicNow() - leftAt, maxWorkAfterLeaving);
        runFor(maxWorkAfterLeaving);
        this->acceptAllAtUpstream(0);
        EXPECT_EQ(this->countAtUpstream(), callersAtOnce);
    }
};

// Guard against work that goes on for callers that have left, as their connections aren't read
// from, and against requests of theirs that are then begun.
TEST_P(PipeliningCallersTest, AreSeenToLeaveBehindOneByte)
{
    this->expectNoWorkForLeaving(1);
}

TEST_P(PipeliningCallersTest, AreSeenToLeaveBehind64KiB)
{
    this->expectNoWorkForLeaving(64ULL * 1024);
}

TEST_P(PipeliningCallersTest, AreSeenToLeaveBehind300KB)
{
    this->expectNoWorkForLeaving(300ULL * 1000);
}

TEST_P(PipeliningCallersTest, AreSeenToLeaveBehind8MiB)
{
    this->expectNoWorkForLeaving(8ULL * 1024 * 1024);
}

// Guards against sound callers that lose answers, or get them in another order, as others leave.
TEST_P(PipeliningCallersTest, DoNotDisturbSoundOnes)
{
    Peer sound = this->ask(this->host(), "/file", "first");
    ASSERT_TRUE(this->acceptAllAtUpstream(1));
    ASSERT_TRUE(this->upstreams.front().receives("first"));
    const std::string longBody = std::string(300ULL * 1000, 'y') + "second";
    std::string unsent = requestWith(longBody) + requestWith("third");
    ASSERT_TRUE(waitFor([&] {
        unsent.erase(0, sound.sendWhatFits(unsent));
        return unsent.empty();
    }));
    std::vector<Sender> senders = this->sendBehind(300ULL * 1000);
    for (Sender &sender : senders)
        leave(sender.peer, this->how());
    for (const char *body : { "first", "second", "third" }) {
        Peer *connection = this->findAtUpstream(body);
        ASSERT_TRUE(connection);
        connection->send("HTTP/1.1 200 OK\r\nSignature: s\r\nKeep-Alive: timeout=30\r\n"
                         "Content-Length: "
                         + std::to_string(std::string(body).size()) + "\r\n\r\n" + body);
        EXPECT_TRUE(sound.receives(body));
    }
    EXPECT_LT(sound.received.find("first"), sound.received.find("second"));
    EXPECT_LT(sound.received.find("second"), sound.received.find("third"));
}

// Guards against a host that ends, as a caller has left just when its request is to be repeated
// after a fault of the upstream.
TEST_P(PipeliningCallersTest, MayLeaveAsTheirRequestIsRepeated)
{
    this->listAtUpstream(this->serving->state(), UpstreamId{ "d2" });
    this->serving->state().retryBudgets[deskService].tokens = 1;
    Peer caller = this->ask(this->host(), "/look");
    ASSERT_TRUE(this->acceptAllAtUpstream(1));
    ASSERT_TRUE(this->upstreams.front().receives("body"));
    std::string behind = requestWith({}) + std::string(300ULL * 1000, 'x');
    waitFor([&] {
        behind.erase(0, caller.sendWhatFits(behind));
        return behind.empty();
    });
    runFor(std::chrono::milliseconds(20));
    leave(caller, this->how());
    this->upstreams.front().send("HTTP/1.1 504 Late\r\nSignature: s\r\nId: 7\r\n"
                                 "Content-Length: 4\r\n\r\nlate");
    runFor(maxWorkAfterLeaving);
    this->acceptAllAtUpstream(0);
    EXPECT_EQ(this->countAtUpstream(), 1U);
    EXPECT_TRUE(this->serving->state().requests.empty());
}

/// An upstream whose answer a slow caller holds back.
class SlowCallersTest : public LeavingCallersTest
{
};

// Guards against answers that are held open although their upstream has reset the connection, as
// it isn't read from.
TEST_P(SlowCallersTest, AnUpstreamIsSeenToResetWhileItIsNotReadFrom)
{
    constexpr Span sendingTime = std::chrono::milliseconds(600);
    Proxy &proxy = this->host() == "serving" ? *this->serving : *this->cutOff;
    const Peer caller = this->ask(this->host(), "/stream");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::string unsent;
    const Instant until = monotonicNow() + sendingTime;
    waitFor([&] {
        if (unsent.size() < chunk.size())
            unsent += chunk;
        unsent.erase(0, this->upstream.sendWhatFits(unsent));
        return monotonicNow() >= until;
    });
    ASSERT_EQ(proxy.state().requests.size(), 1U);
    this->upstream.reset();
    const Instant resetAt = monotonicNow();
    EXPECT_TRUE(waitFor([&] { return proxy.state().requests.empty(); }));
    EXPECT_LE(monotonicNow() - resetAt, maxWorkAfterLeaving);
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
INSTANTIATE_TEST_SUITE_P(Ways, PipeliningCallersTest, ways, nameOfCase);
INSTANTIATE_TEST_SUITE_P(Ways, SlowCallersTest,
                         testing::Combine(testing::Values(Leaving::Reset),
                                          testing::Values(Way::Direct, Way::Forwarded)),
                         nameOfCase);

} // namespace azurewell
