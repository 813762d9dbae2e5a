#include "azurewell/http/caller_connection.h"
#include "azurewell/http/clock.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace azurewell {
namespace {

constexpr std::size_t longBodyBytes = 4ULL * 1024 * 1024;
constexpr CallerTimeouts timeouts{ std::chrono::seconds(3), std::chrono::seconds(15) };

/// A caller's connection with the caller's end of it. Each request is left open.
class CallerConnectionTest : public testing::Test
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
            if (this->isFaulty)
                throw std::length_error("too long");
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

    static bool waitFor(const std::function<bool()> &condition)
    {
        constexpr qint64 maxMillis = 3000;
        QElapsedTimer timer;
        timer.start();
        while (!condition() && timer.elapsed() < maxMillis)
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
        return condition();
    }

    void send(const std::string &text)
    {
        ::send(this->caller.get(), text.data(), text.size(), MSG_NOSIGNAL);
    }

    bool sendRequest(const std::string &headers = {})
    {
        const std::size_t before = this->requests;
        this->send("GET / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n");
        return waitFor([&] { return this->requests == before + 1; });
    }

    /// Reads up to \a most bytes. Returns how many were read.
    std::size_t read(std::size_t most)
    {
        return this->readText(most).size();
    }

    std::string readText(std::size_t most = 1024)
    {
        std::string text(most, 0);
        const ssize_t count = ::recv(this->caller.get(), text.data(), text.size(), 0);
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    UniqueFd caller;
    std::unique_ptr<CallerConnection> connection;
    std::optional<ResultCode> refusal;
    std::size_t requests = 0;
    bool isFaulty = false; ///< The handler of requests throws.
    bool isDisconnected = false;
};

// Guards against the last answer on a connection, or one of a stopping host, that is cut as its
// caller reads slowly.
TEST_F(CallerConnectionTest, IsKeptUntilItsCallerHasTheLastAnswer)
{
    ASSERT_TRUE(this->sendRequest("Connection: close\r\n"));
    this->connection->answer(200, "OK", {}, std::string(longBodyBytes, 'a'), monotonicNow());
    EXPECT_GT(this->connection->unsentBytes(), 0U);
    EXPECT_FALSE(this->connection->isFinished(monotonicNow() + std::chrono::seconds(5)));
    std::size_t got = 0;
    EXPECT_TRUE(waitFor([&] {
        got += this->read(longBodyBytes);
        return got > longBodyBytes;
    }));
    EXPECT_EQ(this->connection->unsentBytes(), 0U);
    EXPECT_FALSE(this->connection->isFinished(monotonicNow()));
    EXPECT_TRUE(this->connection->isFinished(monotonicNow() + std::chrono::seconds(5)));
}

// Guards against a stop that cuts an answer which its caller still reads, on a connection that was
// to be kept.
TEST_F(CallerConnectionTest, ClosingItNowLeavesItsCallerTheWholeAnswer)
{
    ASSERT_TRUE(this->sendRequest());
    this->connection->answer(200, "OK", {}, std::string(longBodyBytes, 'a'), monotonicNow());
    EXPECT_GT(this->connection->unsentBytes(), 0U);
    this->connection->close(true);
    std::size_t got = 0;
    EXPECT_TRUE(waitFor([&] {
        got += this->read(longBodyBytes);
        return got > longBodyBytes;
    }));
}

// Guards against callers that never read their answers and hold the host's memory.
TEST_F(CallerConnectionTest, EndsIfItsCallerTakesNothingForLong)
{
    ASSERT_TRUE(this->sendRequest());
    this->connection->answer(200, "OK", {}, std::string(longBodyBytes, 'a'), monotonicNow());
    const Instant now = monotonicNow();
    EXPECT_FALSE(this->connection->isTimedOut(timeouts, now + std::chrono::seconds(20)));
    EXPECT_FALSE(this->connection->isFinished(now + std::chrono::seconds(9)));
    EXPECT_TRUE(this->connection->isFinished(now + std::chrono::seconds(11)));
}

// Guards against a request that arrives in parts on a connection which was idle before, and is cut
// off as if it had taken that long.
TEST_F(CallerConnectionTest, TheTimeForARequestRunsFromItsFirstByte)
{
    ASSERT_TRUE(this->sendRequest());
    const Instant longAgo = monotonicNow() - std::chrono::seconds(10);
    this->connection->answer(200, "OK", {}, "a", longAgo);
    this->send("GET /");
    ASSERT_TRUE(waitFor([this] { return this->connection->hasBegun(); }));
    const Instant now = monotonicNow();
    EXPECT_FALSE(this->connection->isTimedOut(timeouts, now + std::chrono::seconds(2)));
    EXPECT_TRUE(this->connection->isTimedOut(timeouts, now + std::chrono::seconds(4)));
}

// Guards against a process that ends, with all that it serves, by one request that its code can't
// handle.
TEST_F(CallerConnectionTest, AnExceptionEndsTheConnectionOnly)
{
    const std::uint64_t before = TcpStream::faultCount();
    this->isFaulty = true;
    ASSERT_TRUE(this->sendRequest());
    EXPECT_TRUE(waitFor([this] { return this->isDisconnected; }));
    EXPECT_EQ(TcpStream::faultCount(), before + 1);
    EXPECT_TRUE(this->connection->isFinished(monotonicNow()));
}

// Guards against refusals by the limits of an earlier configuration on connections that stay open.
TEST_F(CallerConnectionTest, TakesNewLimitsForItsNextRequest)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n"
                             "aaaaaaaaaaaaaaaaaaaa";
    this->connection->setLimits({ 16 * 1024, 30 });
    this->send(post);
    ASSERT_TRUE(waitFor([this] { return this->requests == 1; }));
    this->connection->setLimits({ 16 * 1024, 10 });
    this->connection->answer(200, "OK", {}, "a", monotonicNow());
    this->send(post);
    EXPECT_TRUE(waitFor([this] { return this->refusal.has_value(); }));
    EXPECT_EQ(this->refusal, ResultCode::BodyTooLarge);
    EXPECT_EQ(this->requests, 1U);
}

// Guards against an invalid status line, whatever the answer was made from.
TEST_F(CallerConnectionTest, SendsNoStatusThatIsNotFinal)
{
    for (const int status : { -1, 0, 7, 99, 100, 101, 199, 600, 999, 2000 }) {
        ASSERT_TRUE(this->sendRequest()) << status;
        this->connection->answer(status, "Broken", { { "A", "b" } }, "body", monotonicNow());
        EXPECT_EQ(this->readText(), "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
                << status;
    }
}

} // namespace
} // namespace azurewell
