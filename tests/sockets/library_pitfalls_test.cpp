#include "host_fixture.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message.h"
#include "azurewell/shell/bounded_calls.h"
#include "azurewell/shell/http_text.h"

#include <QtCore/QTimer>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QNetworkReply>

#include <numeric>

namespace azurewell::tests {

namespace {

constexpr int concurrentStreams = 200;

/// A plain QHttpServer that answers /slow after 50 ms and every other path at once.
class PlainServer : public standins::StandinServer
{
protected:
    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override
    {
        const QByteArray path = request.url().path().toUtf8();
        const QPointer<QTcpSocket> caller = socket;
        QTimer::singleShot(path == "/slow" ? 50 : 0, this, [caller, path] {
            if (caller)
                answer(caller, 200, path);
        });
    }
};

QNetworkRequest requestTo(const std::string &address, const char *path = "/v1/completions")
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setRawHeader("Content-Type", "application/json");
    return request;
}

bool isFinished(QNetworkReply *reply)
{
    return waitUntil([reply] { return reply->isFinished(); });
}

/// Sends a call of this host; whether it ends without an answer.
bool isUnanswered(const char *method, const std::string &address, const std::string &body,
                  Span timeout = std::chrono::seconds(10))
{
    constexpr std::size_t maxBodyBytes = 1000;
    BoundedCalls calls;
    bool isEnded = false;
    bool isAnswered = false;
    calls.start(
            address, requestBytes(method, "/v1/completions", { { "Host", address } }, body, true),
            monotonicNow() + timeout, maxBodyBytes, [&](const std::optional<CallAnswer> &answer) {
                isEnded = true;
                isAnswered = answer.has_value();
            });
    return waitUntil([&isEnded] { return isEnded; }) && !isAnswered;
}

} // namespace

using LibraryPitfalls = HostFixture;

// Guards against automatic retries of QNetworkAccessManager: if a service runs a filing and closes
// the connection without an answer, the library sends the request again, the notice is filed twice
// and the permit is suspended.
TEST_F(LibraryPitfalls, ANonIdempotentCallIsSentOnce)
{
    this->service.closesWithoutResponse = true;
    QNetworkAccessManager plain;
    plain.setProxy(QNetworkProxy::NoProxy);
    ASSERT_TRUE(isFinished(plain.post(requestTo(this->service.address()), QByteArray("doubled"))));
    EXPECT_EQ(this->service.runsByBody["doubled"], 2U) << "the library no longer behaves this way";

    ASSERT_TRUE(isUnanswered("POST", this->service.address(), "once"));
    EXPECT_EQ(this->service.runsByBody["once"], 1U);
}

// Guards against automatic retries of calls without a body, such as a DELETE that releases a
// booking.
TEST_F(LibraryPitfalls, ACallWithoutABodyIsSentOnce)
{
    this->service.closesWithoutResponse = true;
    for (const char *method : { "POST", "PUT", "DELETE", "PATCH" }) {
        const std::uint64_t before = this->service.runs;
        ASSERT_TRUE(isUnanswered(method, this->service.address(), ""));
        EXPECT_EQ(this->service.runs, before + 1) << method;
    }
}

// Guards against an outdated order: its connection opens after its deadline.
TEST_F(LibraryPitfalls, ACallIsNotSentAfterItsDeadline)
{
    ASSERT_TRUE(isUnanswered("POST", this->service.address(), "late", Span{ -1 }));
    ASSERT_TRUE(isUnanswered("POST", this->service.address(), "late", std::chrono::seconds(-1)));
    this->service.closesWithoutResponse = true;
    ASSERT_TRUE(isUnanswered("POST", this->service.address(), "in time"));
    EXPECT_EQ(this->service.runsByBody["in time"], 1U);
    EXPECT_EQ(this->service.runsByBody["late"], 0U);
}

// Guards against a process that ends by an upstream's address that has a name and no port.
TEST_F(LibraryPitfalls, ACallToAnAddressWithoutAPortFails)
{
    for (const char *address : { "localhost", "", ":", "localhost:" })
        EXPECT_TRUE(isUnanswered("POST", address, "")) << address;
}

// Guards against the limit of QNetworkAccessManager, which opens six connections to an engine and
// queues further requests: on an idle engine, the first token would wait for other callers'
// answers.
TEST_F(LibraryPitfalls, StreamsDoNotQueueForAConnection)
{
    standins::EngineOptions options;
    options.batchSlots = 256;
    standins::Engine &engine = this->addEngine(options);
    this->startHost();
    ASSERT_TRUE(this->isServing()); // the adapter is now loaded
    engine.faults.stallAfterTokens = 1;

    QNetworkAccessManager plain;
    plain.setProxy(QNetworkProxy::NoProxy);
    int plainAnswers = 0;
    for (int index = 0; index < 20; ++index) {
        QNetworkReply *reply = plain.post(requestTo(engine.address()), completion("routes@3", 2));
        QObject::connect(reply, &QNetworkReply::readyRead, [&plainAnswers] { ++plainAnswers; });
    }
    std::vector<std::unique_ptr<Caller>> callers;
    for (int index = 0; index < concurrentStreams; ++index) {
        callers.push_back(std::make_unique<Caller>(this->port));
        callers.back()->post("/v1/completions", completion("routes@3", 2));
    }
    for (const std::unique_ptr<Caller> &caller : callers)
        ASSERT_TRUE(caller->waitFor("routes@3#0"));
    EXPECT_EQ(plainAnswers, 6) << "the library no longer behaves this way";

    engine.faults.stallAfterTokens = -1;
    for (const std::unique_ptr<Caller> &caller : callers) {
        const Answer answer = caller->answer();
        EXPECT_TRUE(answer.isComplete);
        EXPECT_EQ(tokenPositions(answer.body, "routes@3"), (std::vector<int>{ 0, 1 }));
    }
}

// Guards against out-of-order answers to pipelined requests: QHttpServer sends each answer when it
// is ready, and the caller would read the second answer as the first.
TEST_F(LibraryPitfalls, PipelinedRequestsAreNotAnsweredOutOfOrder)
{
    PlainServer plainServer;
    Caller pipelining(plainServer.listen(0));
    pipelining.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    pipelining.write("GET /fast HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(pipelining.waitFor("/slow"));
    EXPECT_LT(pipelining.received.indexOf("/fast"), pipelining.received.indexOf("/slow"))
            << "the library no longer behaves this way";

    this->addEngine();
    this->startHost();
    Caller caller(this->port);
    // Long enough that the second request arrives before its end, on a busy machine too.
    std::vector<int> positions(300);
    std::iota(positions.begin(), positions.end(), 0);
    caller.post("/v1/completions", completion("routes@3", static_cast<int>(positions.size())));
    ASSERT_TRUE(caller.waitFor("routes@3#0"));
    caller.post("/v1/completions", completion("permits@1", 1));
    ASSERT_TRUE(waitUntil([&caller] { return !caller.isOpen(); }));
    EXPECT_TRUE(caller.answer().isComplete);
    EXPECT_EQ(tokenPositions(caller.received, "routes@3"), positions);
    EXPECT_FALSE(caller.received.contains("permits@1"));
}

// Guards against two requests in one write, where the server reads the second before it can be
// delayed.
TEST_F(LibraryPitfalls, TwoRequestsInOneWriteAreRefused)
{
    standins::Engine &engine = this->addEngine();
    this->startHost();
    Caller caller(this->port);
    const QByteArray body = completion("routes@3", 1);
    const QByteArray request = "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer " + callerKey
            + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    caller.write(request + request);
    EXPECT_EQ(caller.answer().code(), 105);
    EXPECT_EQ(engine.completed, 0U);
    EXPECT_TRUE(this->isServing());
}

// Guards against writing to the deleted socket of a caller that disconnected in mid-answer, such as
// a laptop that goes to sleep, which would crash the process and interrupt all other callers.
TEST_F(LibraryPitfalls, ACallerMayDisconnectAtAnyTime)
{
    standins::EngineOptions options;
    options.batchSlots = 64;
    standins::Engine &engine = this->addEngine(options);
    this->startHost();
    for (int round = 0; round < 5; ++round) {
        std::vector<std::unique_ptr<Caller>> callers;
        for (int index = 0; index < 10; ++index) {
            callers.push_back(std::make_unique<Caller>(this->port));
            callers.back()->post("/v1/completions", completion("routes@3", 1000));
        }
        ASSERT_TRUE(callers[static_cast<std::size_t>(round)]->waitFor("routes@3#0"));
    }
    EXPECT_TRUE(waitUntil([this] { return this->metric("azurewell_open_requests") == 0; }));
    EXPECT_TRUE(waitUntil([&engine] { return engine.runningCount() == 0; }));
    EXPECT_TRUE(this->isServing());
}

// Guards against running out of memory: QHttpServer buffers a body completely, such as one of
// 400 MB, with or without an announced length.
TEST_F(LibraryPitfalls, BodySizeIsLimited)
{
    this->addEngine();
    this->startHost();
    Caller announced(this->port);
    announced.write("POST /v1/completions HTTP/1.1\r\nContent-Length: 400000000\r\n\r\n{");
    EXPECT_EQ(announced.answer().code(), 102);
    Caller unannounced(this->port);
    unannounced.write(
            "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello");
    EXPECT_EQ(unannounced.answer().code(), 108);
    EXPECT_TRUE(this->isServing());
}

// Guards against slow senders that occupy all connections: a few hundred callers that send a byte
// now and then and never complete their request.
TEST_F(LibraryPitfalls, ASlowSenderIsTimedOut)
{
    this->settings.requestReadTimeout = fromSeconds(0.3);
    this->addEngine();
    this->startHost();
    Caller slowHead(this->port);
    slowHead.write("POST /v1/comp");
    Caller slowBody(this->port);
    slowBody.write("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    QTimer byteTimer;
    QObject::connect(&byteTimer, &QTimer::timeout, [&slowBody] { slowBody.write(" "); });
    byteTimer.start(50);
    EXPECT_EQ(slowHead.answer().code(), 104);
    EXPECT_EQ(slowBody.answer().code(), 104);
    EXPECT_TRUE(this->isServing());
}

// Guards against unbounded memory use by headers without end.
TEST_F(LibraryPitfalls, HeaderSizeIsLimited)
{
    this->addEngine();
    this->startHost();
    Caller caller(this->port);
    caller.write("GET /v1/models HTTP/1.1\r\n"
                 + QByteArray("X-Flood: 0123456789\r\n").repeated(2000));
    EXPECT_EQ(caller.answer().code(), 103);
    EXPECT_TRUE(this->isServing());
}

// Guards against refusals on an idle host when callers connect and disconnect faster than the host
// polls for closed connections: closed connections must not count against the limit.
TEST_F(LibraryPitfalls, ClosedConnectionsDoNotCount)
{
    this->settings.maxConnections = 4;
    this->addEngine();
    this->startHost();
    for (int round = 0; round < 50; ++round) {
        Caller caller(this->port);
        caller.write("GET /nothing HTTP/1.1\r\n\r\n");
        ASSERT_EQ(caller.answer().code(), 106) << round;
    }
}

} // namespace azurewell::tests
