#include "azurewell/http/clock.h"
#include "azurewell/http/listen_socket.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/http/upstream_connections.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace azurewell {
namespace {

/// A loopback server whose responses the test scripts step by step.
class ScriptedServer
{
public:
    ScriptedServer()
    {
        this->listening = std::move(openListenSocket({ "127.0.0.1", 0 }).value());
        sockaddr_in address{};
        socklen_t length = sizeof address;
        ::getsockname(this->listening.get(), reinterpret_cast<sockaddr *>(&address), &length);
        this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    }

    /// Waits for a connection and reads until \a bytes have arrived.
    std::string acceptAndRead(std::size_t bytes)
    {
        this->processEventsUntil([this] {
            if (this->peer.get() < 0)
                this->peer = UniqueFd(::accept(this->listening.get(), nullptr, nullptr));
            return this->peer.get() >= 0;
        });
        std::string text;
        this->processEventsUntil([&] {
            char block[4096];
            const ssize_t count = ::recv(this->peer.get(), block, sizeof block, MSG_DONTWAIT);
            if (count > 0)
                text.append(block, static_cast<std::size_t>(count));
            return text.size() >= bytes;
        });
        return text;
    }

    /// Reads until nothing is left in the kernel.
    void readWhatHasCome()
    {
        std::vector<char> block(1024ULL * 1024);
        while (::recv(this->peer.get(), block.data(), block.size(), MSG_DONTWAIT) > 0) {}
    }

    void send(const std::string &text)
    {
        ::send(this->peer.get(), text.data(), text.size(), MSG_NOSIGNAL);
    }

    void close()
    {
        this->peer = UniqueFd();
    }

    void reset()
    {
        const linger now{ 1, 0 };
        ::setsockopt(this->peer.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->peer = UniqueFd();
    }

    template <typename Condition>
    void processEventsUntil(Condition condition)
    {
        QElapsedTimer timer;
        timer.start();
        while (!condition() && timer.elapsed() < 3000)
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }

    UniqueFd listening;
    UniqueFd peer;
    Endpoint endpoint;
};

/// The recorded outcome of one exchange.
struct Outcome
{
    std::string body;
    int status = 0;
    bool isComplete = false;
    std::optional<ExchangeFailure> failure;

    bool isFinished() const
    {
        return this->isComplete || this->failure;
    }
};

ExchangeHandlers handlersFor(Outcome &outcome, const std::string &id)
{
    ExchangeHandlers handlers;
    handlers.onHead = [&outcome](const ResponseHead &head) {
        outcome.status = head.status;
    };
    handlers.onBody = [&outcome](const std::string &body) {
        outcome.body += body;
    };
    handlers.onComplete = [&outcome] {
        outcome.isComplete = true;
    };
    handlers.onFailure = [&outcome](ExchangeFailure failure) {
        outcome.failure = failure;
    };
    handlers.matchesRequest = [id](const ResponseHead &head) {
        return headerValue(head.headers, "Id") == id;
    };
    return handlers;
}

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

TEST(UpstreamConnections, ResetDoesNotCompleteAResponseWithoutLength)
{
    // Guards against forwarding half a response as complete: a response without a length ends when
    // the connection closes, and a reset halfway must not count as an orderly close.
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
    server.processEventsUntil([&] { return outcome.body == "half"; });
    server.reset();
    server.processEventsUntil([&] { return outcome.isFinished(); });
    EXPECT_FALSE(outcome.isComplete);
    ASSERT_TRUE(outcome.failure);
    EXPECT_EQ(*outcome.failure, ExchangeFailure::CutOff);
}

/// How a server that has answered a part of a long request ends its connection.
enum class EarlyEnd : std::uint8_t {
    Reset,
    CloseWithRequestUnread, ///< The kernel resets the connection.
    CloseWithAllRead,       ///< All that has come so far; the kernel closes in an orderly way.
};

struct EarlyAnswer
{
    const char *name;
    EarlyEnd end;
    std::size_t requestBytes;
};

std::ostream &operator<<(std::ostream &out, const EarlyAnswer &answer)
{
    return out << answer.name;
}

class EarlyAnswers : public testing::TestWithParam<EarlyAnswer>
{
protected:
    static void end(ScriptedServer &server)
    {
        if (GetParam().end == EarlyEnd::Reset) {
            server.reset();
            return;
        }
        if (GetParam().end == EarlyEnd::CloseWithAllRead)
            server.readWhatHasCome();
        server.close();
    }
};

// Guards against a part of an answer without a length that counts as the whole: its server ends the
// connection while the request is still being written, and writing takes the kernel's only report
// of the reset.
TEST_P(EarlyAnswers, WithoutLengthAreNeverComplete)
{
    constexpr int rounds = 300;
    const std::string longRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + std::to_string(GetParam().requestBytes) + "\r\n\r\n"
            + std::string(GetParam().requestBytes, 'a');
    for (int round = 0; round < rounds; ++round) {
        ScriptedServer server;
        UpstreamConnections connections;
        Outcome outcome;
        connections.start(server.endpoint, longRequest, false, handlersFor(outcome, "1"),
                          monotonicNow());
        server.acceptAndRead(1);
        server.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
        if (round % 2 == 1)
            server.processEventsUntil([&] { return outcome.body == "half"; });
        end(server);
        server.processEventsUntil([&] { return outcome.isFinished(); });
        ASSERT_FALSE(outcome.isComplete) << "in round " << round;
        ASSERT_EQ(outcome.failure, ExchangeFailure::CutOff) << "in round " << round;
    }
}

// Guards against whole answers that are lost because their server has not read the request.
TEST_P(EarlyAnswers, WithALengthAreComplete)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request + std::string(GetParam().requestBytes, 'a'), false,
                      handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(1);
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole");
    end(server);
    server.processEventsUntil([&] { return outcome.isFinished(); });
    EXPECT_TRUE(outcome.isComplete);
    EXPECT_EQ(outcome.body, "whole");
}

constexpr std::size_t uploadBytes = 3ULL * 1024 * 1024;
constexpr std::size_t longUploadBytes = 12ULL * 1024 * 1024;

INSTANTIATE_TEST_SUITE_P(
        Ends, EarlyAnswers,
        testing::Values(EarlyAnswer{ "Reset", EarlyEnd::Reset, uploadBytes },
                        EarlyAnswer{ "ResetOfLongUpload", EarlyEnd::Reset, longUploadBytes },
                        EarlyAnswer{ "CloseWithRequestUnread", EarlyEnd::CloseWithRequestUnread,
                                     uploadBytes },
                        EarlyAnswer{ "CloseWithAllRead", EarlyEnd::CloseWithAllRead,
                                     longUploadBytes }),
        [](const auto &testInfo) { return std::string(testInfo.param.name); });

// Guards against a request that counts as received while it waits in the kernel of this machine.
TEST(ListenSocket, TellsWhichBytesThePeerHasNotReceived)
{
    ScriptedServer server;
    bool isOpened = false;
    const std::unique_ptr<TcpStream> stream = TcpStream::open(
            server.endpoint, { [&] { isOpened = true; }, {}, {}, {} });
    server.acceptAndRead(0);
    server.processEventsUntil([&] { return isOpened; });
    stream->write(std::string(uploadBytes, 'a'));
    EXPECT_FALSE(stream->isAllReceivedByPeer());
    server.processEventsUntil([&] {
        server.readWhatHasCome();
        return stream->isAllReceivedByPeer();
    });
    EXPECT_TRUE(stream->isAllReceivedByPeer());
}

TEST(UpstreamConnections, OrderlyCloseCompletesAResponseWithoutLength)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall");
    server.close();
    server.processEventsUntil([&] { return outcome.isFinished(); });
    EXPECT_TRUE(outcome.isComplete);
    EXPECT_EQ(outcome.body, "all");
}

TEST(UpstreamConnections, DuplicateResponseToAnEarlierRequestIsDiscarded)
{
    // Guards against delivering a response to the wrong caller: an upstream sends the response to
    // the first request twice, and the duplicate precedes the response to the second.
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome first;
    connections.start(server.endpoint, request, false, handlersFor(first, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    const std::string answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none";
    server.send(answer);
    server.processEventsUntil([&] { return first.isFinished(); });
    Outcome second;
    connections.start(server.endpoint, request, false, handlersFor(second, "2"), monotonicNow());
    server.acceptAndRead(request.size());
    server.send(answer + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo");
    server.processEventsUntil([&] { return second.isFinished(); });
    EXPECT_EQ(first.body, "one");
    EXPECT_EQ(second.body, "two");
    // Another late answer may follow, and it may bear the id of the request that is sent next.
    EXPECT_EQ(connections.count(), 0U);
}

// Guards against the late second answer to the first sending of a request, which bears the
// request's id, being taken for the answer to its second sending.
TEST(UpstreamConnections, ARequestThatIsSentAgainTakesAConnectionOfItsOwn)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome first;
    connections.start(server.endpoint, request, false, handlersFor(first, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    const std::string rejection = "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 2\r\n\r\nno";
    server.send(rejection);
    server.processEventsUntil([&] { return first.isFinished(); });
    EXPECT_EQ(connections.count(), 1U);
    const UniqueFd earlier = std::move(server.peer);
    server.peer = UniqueFd();
    Outcome second;
    connections.start(server.endpoint, request, false, handlersFor(second, "1"), monotonicNow(),
                      defaultConnectTimeout, ConnectionChoice::New);
    server.acceptAndRead(request.size());
    ::send(earlier.get(), rejection.data(), rejection.size(), MSG_NOSIGNAL);
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes");
    server.processEventsUntil([&] { return second.isFinished() && connections.count() == 1; });
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, "yes");
    EXPECT_EQ(connections.count(), 1U);
}

// Guards against reading freed memory: the last idle connection to a server has expired as the next
// request is sent there.
TEST(UpstreamConnections, AnExpiredIdleConnectionIsReplaced)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome first;
    const Instant sentAt = monotonicNow();
    connections.start(server.endpoint, request, false, handlersFor(first, "1"), sentAt);
    server.acceptAndRead(request.size());
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    server.processEventsUntil([&] { return first.isFinished(); });
    server.peer = UniqueFd();
    Outcome second;
    connections.start(server.endpoint, request, false, handlersFor(second, "2"),
                      sentAt + std::chrono::minutes(1));
    server.acceptAndRead(request.size());
    server.send("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok");
    server.processEventsUntil([&] { return second.isFinished(); });
    EXPECT_TRUE(second.isComplete);
}

// Guards against a length that no memory holds: the host must not reserve it, and passes on what
// comes.
TEST(UpstreamConnections, AnAnswerOfAnAbsurdLengthIsPassedOnUntilItIsCutOff)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 800800800800\r\n\r\npart");
    server.processEventsUntil([&] { return outcome.body == "part"; });
    server.close();
    server.processEventsUntil([&] { return outcome.isFinished(); });
    EXPECT_EQ(outcome.failure, ExchangeFailure::CutOff);
}

/// Where a server stops in an answer, and how it ends its connection.
struct CutAnswer
{
    const char *name;
    const char *framing; ///< Header lines.
    const char *body;
    bool isReset;
};

std::ostream &operator<<(std::ostream &out, const CutAnswer &cut)
{
    return out << cut.name;
}

class CutAnswers : public testing::TestWithParam<CutAnswer>
{
};

// Guards against an answer that ends in its head, or before its end, and is taken for a whole one.
TEST_P(CutAnswers, AreNeverComplete)
{
    const std::string whole = std::string("HTTP/1.1 200 OK\r\nId: 1\r\n") + GetParam().framing
            + "\r\n" + GetParam().body;
    const std::size_t head = whole.size() - std::string(GetParam().body).size();
    const bool isUnframed = std::string(GetParam().framing).empty();
    for (std::size_t end = 1; end < whole.size(); ++end) {
        ScriptedServer server;
        UpstreamConnections connections;
        Outcome outcome;
        connections.start(server.endpoint, request, false, handlersFor(outcome, "1"),
                          monotonicNow());
        server.acceptAndRead(request.size());
        server.send(whole.substr(0, end));
        GetParam().isReset ? server.reset() : server.close();
        server.processEventsUntil([&] { return outcome.isFinished(); });
        // Without framing, an orderly close is the end that the server gives its answer.
        const bool isServersEnd = isUnframed && !GetParam().isReset && end >= head;
        EXPECT_EQ(outcome.isComplete, isServersEnd) << "after " << end << " bytes";
        EXPECT_EQ(outcome.failure.has_value(), !isServersEnd) << "after " << end << " bytes";
    }
}

INSTANTIATE_TEST_SUITE_P(
        Framings, CutAnswers,
        testing::Values(CutAnswer{ "Length", "Content-Length: 4\r\n", "abcd", false },
                        CutAnswer{ "LengthReset", "Content-Length: 4\r\n", "abcd", true },
                        CutAnswer{ "Chunked", "Transfer-Encoding: chunked\r\n",
                                   "4\r\nabcd\r\n0\r\n\r\n", false },
                        CutAnswer{ "ChunkedReset", "Transfer-Encoding: chunked\r\n",
                                   "4\r\nabcd\r\n0\r\n\r\n", true },
                        CutAnswer{ "Unframed", "", "abcd", false },
                        CutAnswer{ "UnframedReset", "", "abcd", true }),
        [](const auto &testInfo) { return std::string(testInfo.param.name); });

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

/// Answers that are no final answer to the request.
struct AnswersBefore
{
    const char *name;
    std::string answers;
    bool isAllowed;
    bool isStray = false; ///< They belong to another request: the connection isn't used again.
};

std::ostream &operator<<(std::ostream &out, const AnswersBefore &before)
{
    return out << before.name;
}

std::vector<AnswersBefore> answersBefore()
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string longInterim = "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(15000, 'a')
            + "\r\n\r\n";
    const std::string stray = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\none";
    const std::string straySizes = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: ";
    const auto longStray = [&straySizes](std::size_t bytes) {
        return straySizes + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'a');
    };
    return {
        { "AllowedInterimAnswers", repeated(interim, maxAnswersBefore), true },
        { "InterimAnswersWithoutEnd", repeated(interim, maxAnswersBefore + 1), false },
        { "LongInterimAnswers", repeated(longInterim, 4), true },
        { "LongInterimAnswersWithoutEnd", repeated(longInterim, 5), false },
        { "AllowedStrayAnswers", repeated(stray, maxAnswersBefore), true, true },
        { "StrayAnswersWithoutEnd", repeated(stray, maxAnswersBefore + 1), false },
        { "LongStrayAnswer", longStray(maxStrayAnswerBytes - 100), true, true },
        { "StrayAnswerWithoutEnd", longStray(maxStrayAnswerBytes + 1), false },
    };
}

class UnrelatedAnswers : public testing::TestWithParam<AnswersBefore>
{
};

// Guards against a server that holds a request until its deadline with answers that are not its
// final one.
TEST_P(UnrelatedAnswers, AreReadUpToTheirBound)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    const std::string bytes = GetParam().answers
            + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";
    std::size_t sent = 0;
    server.processEventsUntil([&] {
        const ssize_t count = ::send(server.peer.get(), bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        return outcome.isFinished();
    });
    EXPECT_EQ(outcome.isComplete, GetParam().isAllowed);
    if (!GetParam().isAllowed)
        EXPECT_EQ(outcome.failure, ExchangeFailure::Oversized);
    EXPECT_EQ(connections.count(), GetParam().isAllowed && !GetParam().isStray ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, UnrelatedAnswers, testing::ValuesIn(answersBefore()),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

/// Sends \a head and then \a repeated until the exchange has ended, or \a most bytes.
void streamUntilEnd(ScriptedServer &server, const Outcome &outcome, const std::string &head,
                    const std::string &repeatedText, std::size_t most)
{
    server.send(head);
    std::string unsent;
    std::size_t sent = 0;
    server.processEventsUntil([&] {
        if (unsent.empty())
            unsent = repeated(repeatedText, 16384 / repeatedText.size());
        const ssize_t count = ::send(server.peer.get(), unsent.data(), unsent.size(),
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        unsent.erase(0, count > 0 ? static_cast<std::size_t>(count) : 0);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        return outcome.isFinished() || sent >= most;
    });
}

const std::string eventStreamHead
        = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n";

// Guards against a stream that goes on until its deadline without an event.
TEST(UpstreamConnections, AnEventWithoutEndIsAFailure)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    streamUntilEnd(server, outcome, eventStreamHead + "data: a\n\ndata: ", "a", 4 * maxEventBytes);
    EXPECT_EQ(outcome.failure, ExchangeFailure::Oversized);
    EXPECT_LE(outcome.body.size(), maxEventBytes + 100);
}

// Guards against long streams that are broken off although their events are short.
TEST(UpstreamConnections, AStreamOfManyEventsIsReadWhole)
{
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    streamUntilEnd(server, outcome, eventStreamHead, "data: a\n\n: waiting\n\n", 2 * maxEventBytes);
    server.close();
    server.processEventsUntil([&] { return outcome.isFinished(); });
    EXPECT_TRUE(outcome.isComplete || outcome.failure != ExchangeFailure::Oversized);
    EXPECT_GE(outcome.body.size(), 2 * maxEventBytes);
}

TEST(UpstreamConnections, ConnectionWithUnsolicitedBytesIsNotReused)
{
    // Guards against reading excess bytes after a complete response as the start of the next
    // response on a reused connection.
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.acceptAndRead(request.size());
    server.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nokEXTRA");
    server.processEventsUntil([&] { return outcome.isFinished(); });
    EXPECT_TRUE(outcome.isComplete);
    EXPECT_EQ(outcome.body, "ok");
    EXPECT_EQ(connections.count(), 0U);
}

TEST(UpstreamConnections, NothingIsSentOnAConnectionThatOpensAfterItsDeadline)
{
    // Guards against sending an outdated order: the process is paused while the connection opens
    // and resumes after another host has become the coordinator. The order would evict an adapter
    // that the other host has just loaded.
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    const Instant decidedAt = monotonicNow() - std::chrono::seconds(1);
    connections.start(server.endpoint, request, false, handlersFor(outcome, "1"), decidedAt,
                      std::chrono::milliseconds(200));
    server.processEventsUntil([&] { return outcome.failure.has_value(); });
    EXPECT_EQ(outcome.failure, ExchangeFailure::NotSent);
    EXPECT_EQ(connections.count(), 0U);
}

// Guards against sending a request whose caller has left while its connection opened.
TEST(UpstreamConnections, NothingIsSentIfTheRequestIsCancelledAsItsConnectionOpens)
{
    constexpr Span watchedFor = std::chrono::milliseconds(200);
    ScriptedServer server;
    UpstreamConnections connections;
    Outcome outcome;
    ExchangeHandlers handlers = handlersFor(outcome, "1");
    UpstreamConnections::Exchange exchange = 0;
    int asked = 0;
    handlers.beforeSending = [&] {
        ++asked;
        connections.cancel(exchange);
    };
    exchange = connections.start(server.endpoint, request, false, handlers, monotonicNow());
    const Instant until = monotonicNow() + watchedFor;
    server.processEventsUntil([&] { return monotonicNow() >= until; });
    EXPECT_EQ(asked, 1);
    EXPECT_EQ(server.acceptAndRead(0), "");
    EXPECT_FALSE(outcome.isFinished());
    EXPECT_EQ(connections.count(), 0U);
}

TEST(UpstreamConnections, RequestToAClosedPortIsReportedAsNotSent)
{
    ScriptedServer server;
    const Endpoint nobody = server.endpoint;
    server.listening = UniqueFd();
    UpstreamConnections connections;
    Outcome outcome;
    connections.start(nobody, request, false, handlersFor(outcome, "1"), monotonicNow());
    server.processEventsUntil([&] { return outcome.isFinished(); });
    ASSERT_TRUE(outcome.failure);
    EXPECT_EQ(*outcome.failure, ExchangeFailure::NotSent);
}

} // namespace
} // namespace azurewell

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
