#include "azurewell/http/http_call.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message.h"
#include "two_hosts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace azurewell {
namespace {

constexpr std::size_t boundBytes = 256ULL * 1024;
constexpr Span callTime = std::chrono::milliseconds(1500);
const std::string call = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that sends a call's answer as the connection takes it.
class HttpCallTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->listening = std::move(openListenSocket({ "127.0.0.1", 0 }).value());
        sockaddr_in address{};
        socklen_t length = sizeof address;
        ::getsockname(this->listening.get(), reinterpret_cast<sockaddr *>(&address), &length);
        const Instant now = monotonicNow();
        this->calls.start(
                { "127.0.0.1", ntohs(address.sin_port) }, call, now + callTime, boundBytes,
                [this](std::optional<CallAnswer> got) {
                    this->isEnded = true;
                    this->answer = std::move(got);
                },
                now);
        ASSERT_TRUE(waitFor([this] {
            this->connection = UniqueFd(::accept4(this->listening.get(), nullptr, nullptr,
                                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
            return this->connection.get() >= 0;
        }));
    }

    /// Sends \a bytes until the call has ended. Returns how many were taken.
    std::size_t send(const std::string &bytes)
    {
        std::size_t sent = 0;
        waitFor([&] {
            const ssize_t count = ::send(this->connection.get(), bytes.data() + sent,
                                         bytes.size() - sent, MSG_NOSIGNAL);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            return this->isEnded;
        });
        return sent;
    }

    UniqueFd listening;
    UniqueFd connection;
    UpstreamConnections connections;
    HttpCalls calls{ this->connections, [](const ResponseHead &head) {
                        return headerCount(head.headers, "Id") == 0;
                    } };
    std::optional<CallAnswer> answer;
    bool isEnded = false;
};

std::string answerOf(std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'a');
}

TEST_F(HttpCallTest, AnAnswerOfTheLongestAllowedLengthIsRead)
{
    this->send(answerOf(boundBytes));
    ASSERT_TRUE(this->answer);
    EXPECT_EQ(this->answer->body.size(), boundBytes);
    EXPECT_EQ(this->calls.oversizedAnswers(), 0U);
}

// Guards against a late second answer to a caller's request that is taken for the answer to the
// next order on the connection.
TEST_F(HttpCallTest, AnAnswerToACallersRequestIsNoAnswerToACall)
{
    this->send("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nno"
               "HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(this->answer);
    EXPECT_EQ(this->answer->head.status, 202);
    EXPECT_EQ(this->answer->body, "yes");
    EXPECT_EQ(this->connections.count(), 0U);
}

// Guards against a store or an engine that fills a host's memory with one answer.
TEST_F(HttpCallTest, ALongerAnswerEndsTheCall)
{
    constexpr std::size_t endless = 32ULL * 1024 * 1024;
    const std::size_t sent = this->send("HTTP/1.1 200 OK\r\n\r\n" + std::string(endless, 'a'));
    EXPECT_TRUE(this->isEnded);
    EXPECT_FALSE(this->answer);
    EXPECT_EQ(this->connections.count(), 0U);
    EXPECT_EQ(this->calls.oversizedAnswers(), 1U);
    // What the kernel holds of a connection that was closed comes in addition.
    EXPECT_LT(sent, boundBytes + 8ULL * 1024 * 1024);
}

} // namespace
} // namespace azurewell
