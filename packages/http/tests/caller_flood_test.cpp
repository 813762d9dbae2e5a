#include "azurewell/http/caller_connection.h"
#include "azurewell/http/clock.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace azurewell {
namespace {

/// A caller's connection with the caller's end of it.
class CallerFlood : public testing::Test
{
protected:
    void SetUp() override
    {
        int ends[2] = { -1, -1 };
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends), 0);
        this->caller = UniqueFd(ends[0]);
        CallerConnection::Handlers handlers;
        handlers.onRequest = [this] {
            ++this->requests;
            if (this->isAnsweredAtOnce)
                this->answer();
        };
        handlers.onBadRequest = [this](const Error &error) {
            this->refusal = error.code;
        };
        handlers.onDisconnected = [this] {
            this->isDisconnected = true;
        };
        handlers.onDrained = [] {
        };
        this->connection = std::make_unique<CallerConnection>(UniqueFd(ends[1]), RequestLimits{},
                                                              std::move(handlers), monotonicNow());
    }

    /// Sends \a text again and again until the connection has taken no byte for a while, or \a most
    /// bytes. Returns the bytes taken.
    std::size_t flood(const std::string &text, std::size_t most)
    {
        constexpr qint64 patienceMillis = 200;
        QElapsedTimer sinceTaken;
        sinceTaken.start();
        std::size_t taken = 0;
        while (taken < most && sinceTaken.elapsed() < patienceMillis) {
            const std::size_t at = taken % text.size();
            const ssize_t count = ::send(this->caller.get(), text.data() + at,
                                         std::min(text.size() - at, most - taken), MSG_NOSIGNAL);
            if (count > 0) {
                taken += static_cast<std::size_t>(count);
                sinceTaken.restart();
            }
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
        }
        return taken;
    }

    void answer()
    {
        this->connection->answer(200, "OK", {}, "", monotonicNow());
    }

    /// Answers requests until there were \a count in all, at most for some seconds. The caller
    /// reads the answers.
    void serve(std::size_t count)
    {
        constexpr qint64 maxMillis = 5000;
        std::vector<char> block(256ULL * 1024);
        QElapsedTimer timer;
        timer.start();
        while (this->requests < count && timer.elapsed() < maxMillis) {
            if (!this->isAnsweredAtOnce && this->connection->isAnswering())
                this->answer();
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
            while (::recv(this->caller.get(), block.data(), block.size(), 0) > 0) {}
        }
    }

    /// Waits until the caller is seen to have left, at most for some seconds.
    void waitForEnd()
    {
        constexpr qint64 maxMillis = 3000;
        QElapsedTimer timer;
        timer.start();
        while (!this->isDisconnected && timer.elapsed() < maxMillis)
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }

    UniqueFd caller;
    std::unique_ptr<CallerConnection> connection;
    std::optional<ResultCode> refusal;
    std::size_t requests = 0;
    bool isDisconnected = false;
    bool isAnsweredAtOnce = false;
};

constexpr std::size_t manyBytes = 8ULL * 1024 * 1024;
/// What the kernel and the host may hold of a connection that isn't read from.
constexpr std::size_t maxHeldBytes = 1024ULL * 1024;
const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x')
        + "\r\n\r\n";

// Guards against a caller that fills the host's memory while its first request is being answered.
TEST_F(CallerFlood, BytesBehindAnOpenRequestAreHeldBack)
{
    EXPECT_EQ(this->flood(next, next.size()), next.size());
    EXPECT_LT(this->flood(next, manyBytes), maxHeldBytes);
    EXPECT_EQ(this->requests, 1U);
    EXPECT_FALSE(this->refusal);
}

// Guards against a caller that fills the host's memory with answers to short requests, of which it
// reads none, and against requests that are lost as they wait meanwhile.
TEST_F(CallerFlood, RequestsWaitUntilAnswersAreRead)
{
    const std::string shortest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string many;
    while (many.size() < 64ULL * 1024)
        many += shortest;
    this->isAnsweredAtOnce = true;
    const std::size_t sent = this->flood(many, manyBytes);
    EXPECT_LT(sent, maxHeldBytes);
    EXPECT_LT(this->connection->unsentBytes(), 2 * maxUnsentAnswerBytes);
    this->serve(sent / shortest.size());
    EXPECT_EQ(this->requests, sent / shortest.size());
}

// Guards against a connection that stays paused after the answer.
TEST_F(CallerFlood, RequestsThatWereHeldBackAreRead)
{
    const std::size_t sent = this->flood(next, manyBytes);
    const std::size_t whole = sent / next.size();
    this->serve(whole);
    EXPECT_EQ(this->requests, whole);
}

// Guards against a stack that overflows, as each request that is answered at once begins the next.
TEST_F(CallerFlood, ShortRequestsBehindAnOpenOneAreAnsweredInALoop)
{
    const std::string shortest = "GET / HTTP/1.1\r\n\r\n";
    const std::size_t sent = this->flood(shortest, manyBytes);
    this->isAnsweredAtOnce = true;
    this->answer();
    this->serve(sent / shortest.size());
    EXPECT_EQ(this->requests, sent / shortest.size());
}

// Guards against a host that doesn't notice that a caller with pipelined requests has left.
TEST_F(CallerFlood, ACallerWithSomePipelinedRequestsIsSeenToLeave)
{
    this->flood(next + next + next, 3 * next.size());
    this->caller = UniqueFd();
    this->waitForEnd();
    EXPECT_TRUE(this->isDisconnected);
}

// Guards against callers whose leaving nobody sees, as their connections aren't read from.
TEST_F(CallerFlood, ACallerIsSeenToLeaveWhileItsConnectionIsNotReadFrom)
{
    this->flood(next, manyBytes);
    ASSERT_TRUE(this->connection->isReadingPaused());
    EXPECT_FALSE(this->connection->detectLeaving());
    this->caller = UniqueFd();
    EXPECT_TRUE(this->connection->detectLeaving());
    EXPECT_TRUE(this->isDisconnected);
    this->answer();
    EXPECT_EQ(this->requests, 1U);
}

// Guards against an end that nobody sees, as the caller's kernel still holds bytes before it.
TEST_F(CallerFlood, AnEndBehindDroppedBytesIsSeen)
{
    this->flood(next, manyBytes);
    this->connection->dropBehind();
    EXPECT_EQ(this->flood(next, manyBytes), manyBytes);
    EXPECT_FALSE(this->isDisconnected);
    EXPECT_EQ(this->connection->bytesBehind(), 0U);
    this->caller = UniqueFd();
    this->waitForEnd();
    EXPECT_TRUE(this->isDisconnected);
    EXPECT_EQ(this->requests, 1U);
}

// Guards against requests that are begun on a connection that is to be closed.
TEST_F(CallerFlood, NothingIsBegunBehindDroppedBytes)
{
    this->flood(next, manyBytes);
    this->connection->dropBehind();
    this->flood(next, 3 * next.size());
    this->answer();
    this->flood(next, 3 * next.size());
    EXPECT_EQ(this->requests, 1U);
    EXPECT_FALSE(this->connection->isAnswering());
}

// Guards against a caller that sends without end behind an open request.
TEST_F(CallerFlood, ACallerThatSendsOnAfterTheBoundIsDisconnected)
{
    this->flood(next, manyBytes);
    this->connection->dropBehind();
    EXPECT_LT(this->flood(next, 4 * manyBytes), 3 * manyBytes);
    EXPECT_TRUE(this->isDisconnected);
}

TEST_F(CallerFlood, MoreBehindAnOpenRequestIsReadWhereTheHostAllowsIt)
{
    const std::size_t before = this->flood(next, manyBytes);
    this->connection->readMoreBehind(pipelinedBytesStep);
    const std::size_t more = this->flood(next, manyBytes);
    EXPECT_GE(more, pipelinedBytesStep / 2);
    EXPECT_LT(more, 2 * maxHeldBytes);
    EXPECT_TRUE(this->connection->isReadingPaused());
    this->isAnsweredAtOnce = true;
    this->answer();
    const std::size_t whole = (before + more) / next.size();
    this->serve(whole);
    EXPECT_EQ(this->requests, whole);
}

} // namespace
} // namespace azurewell
