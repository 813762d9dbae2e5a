#include "host_fixture.h"

#include "azurewell/shell/http_text.h"
#include "azurewell/shell/upstream_pool.h"

#include <QtCore/QTimer>

#include <numeric>

namespace azurewell::tests {

namespace {

constexpr int streamsAtOnce = 200;

/// Answers /slow after 50 ms and all else at once, with nothing between it and QHttpServer.
class UnguardedServer : public standins::StandinServer
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

} // namespace

using LibraryTraps = HostFixture;

// A service runs a filing and dies before it answers. The HTTP library sends the request again on a
// new connection by itself, the notice is filed twice, and the permit is suspended.
TEST_F(LibraryTraps, ACallThatMustNotRunTwiceIsSentOnce)
{
    this->service.closesWithoutAnswer = true;
    QNetworkAccessManager plain;
    plain.setProxy(QNetworkProxy::NoProxy);
    ASSERT_TRUE(isFinished(plain.post(requestTo(this->service.address()), QByteArray("doubled"))));
    EXPECT_EQ(this->service.runsByBody["doubled"], 2U) << "the library's trap is gone";

    UpstreamPool pool;
    const QByteArray address = QByteArray::fromStdString(this->service.address());
    const QNetworkRequest request = requestTo(this->service.address());
    ASSERT_TRUE(isFinished(pool.send("POST", address, request, "once")));
    EXPECT_EQ(this->service.runsByBody["once"], 1U);
}

// The same with a call that has no body: a booking is released by DELETE, or all of a call stands
// in its path.
TEST_F(LibraryTraps, ACallWithoutABodyIsSentOnceToo)
{
    this->service.closesWithoutAnswer = true;
    UpstreamPool pool;
    const QByteArray address = QByteArray::fromStdString(this->service.address());
    for (const char *method : { "POST", "PUT", "DELETE", "PATCH" }) {
        const std::uint64_t before = this->service.runs;
        ASSERT_TRUE(isFinished(pool.send(method, address, requestTo(this->service.address()), {})));
        EXPECT_EQ(this->service.runs, before + 1) << method;
    }
}

// The HTTP library opens six connections to an engine and lets the seventh request wait without a
// word. A caller sees first tokens as late as other callers' answers are long, on an idle engine.
TEST_F(LibraryTraps, NoStreamWaitsForAConnection)
{
    standins::EngineOptions options;
    options.batchSlots = 256;
    standins::Engine &engine = this->addEngine(options);
    this->startHost();
    ASSERT_TRUE(this->isUnharmed()); // the adapter is loaded from here on
    engine.faults.silentAfterTokens = 1;

    QNetworkAccessManager plain;
    plain.setProxy(QNetworkProxy::NoProxy);
    int plainAnswers = 0;
    for (int index = 0; index < 20; ++index) {
        QNetworkReply *reply = plain.post(requestTo(engine.address()), completion("routes@3", 2));
        QObject::connect(reply, &QNetworkReply::readyRead, [&plainAnswers] { ++plainAnswers; });
    }
    std::vector<std::unique_ptr<Caller>> callers;
    for (int index = 0; index < streamsAtOnce; ++index) {
        callers.push_back(std::make_unique<Caller>(this->port));
        callers.back()->post("/v1/completions", completion("routes@3", 2));
    }
    for (const std::unique_ptr<Caller> &caller : callers)
        ASSERT_TRUE(caller->waitFor("routes@3#0"));
    EXPECT_EQ(plainAnswers, 6) << "the library's trap is gone";

    engine.faults.silentAfterTokens = -1;
    for (const std::unique_ptr<Caller> &caller : callers) {
        const Answer answer = caller->answer();
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(tokenPositions(answer.body, "routes@3"), (std::vector<int>{ 0, 1 }));
    }
}

// A caller sends a second request before the first is answered. The HTTP server answers both as
// they come ready, unlabelled, and the caller takes the second answer for the first.
TEST_F(LibraryTraps, AnswersOnOneConnectionAreNeverCrossed)
{
    UnguardedServer unguarded;
    Caller crossed(unguarded.listen(0));
    crossed.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    crossed.write("GET /fast HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(crossed.waitFor("/slow"));
    EXPECT_LT(crossed.received.indexOf("/fast"), crossed.received.indexOf("/slow"))
            << "the library's trap is gone";

    this->addEngine();
    this->startHost();
    Caller caller(this->port);
    // Long enough that the second request comes before its end on a busy machine too.
    std::vector<int> positions(300);
    std::iota(positions.begin(), positions.end(), 0);
    caller.post("/v1/completions", completion("routes@3", static_cast<int>(positions.size())));
    ASSERT_TRUE(caller.waitFor("routes@3#0"));
    caller.post("/v1/completions", completion("permits@1", 1));
    ASSERT_TRUE(waitUntil([&caller] { return !caller.isOpen(); }));
    EXPECT_TRUE(caller.answer().isWhole);
    EXPECT_EQ(tokenPositions(caller.received, "routes@3"), positions);
    EXPECT_FALSE(caller.received.contains("permits@1"));
}

// Both requests come in one write: the server has read the second before anybody can hold it back.
TEST_F(LibraryTraps, TwoRequestsInOneWriteAreRefused)
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
    EXPECT_TRUE(this->isUnharmed());
}

// A caller's laptop goes to sleep in mid-answer. Its socket is deleted while tokens for it still
// come; writing to it then ends the process and cuts off every other caller.
TEST_F(LibraryTraps, ACallerMayLeaveAtAnyMoment)
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
    EXPECT_TRUE(this->isUnharmed());
}

// A caller announces, or just sends, a body of 400 MB. The HTTP server takes it whole and the host
// runs out of memory.
TEST_F(LibraryTraps, ABodyIsBounded)
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
    EXPECT_TRUE(this->isUnharmed());
}

// A caller sends a byte now and then and never ends its request. Some hundreds of them hold every
// connection that the host has.
TEST_F(LibraryTraps, ASlowSenderIsRefused)
{
    this->settings.senderPatience = fromSeconds(0.3);
    this->addEngine();
    this->startHost();
    Caller slowHead(this->port);
    slowHead.write("POST /v1/comp");
    Caller slowBody(this->port);
    slowBody.write("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    QTimer dripping;
    QObject::connect(&dripping, &QTimer::timeout, [&slowBody] { slowBody.write(" "); });
    dripping.start(50);
    EXPECT_EQ(slowHead.answer().code(), 104);
    EXPECT_EQ(slowBody.answer().code(), 104);
    EXPECT_TRUE(this->isUnharmed());
}

// A caller sends headers without end.
TEST_F(LibraryTraps, AHeadIsBounded)
{
    this->addEngine();
    this->startHost();
    Caller caller(this->port);
    caller.write("GET /v1/models HTTP/1.1\r\n"
                 + QByteArray("X-Flood: 0123456789\r\n").repeated(2000));
    EXPECT_EQ(caller.answer().code(), 103);
    EXPECT_TRUE(this->isUnharmed());
}

// Callers come and go faster than the host looks for closed connections. Those that have gone must
// not count against the limit, or callers are refused on an idle host.
TEST_F(LibraryTraps, ClosedConnectionsDoNotCount)
{
    this->settings.mostConnections = 4;
    this->addEngine();
    this->startHost();
    for (int round = 0; round < 50; ++round) {
        Caller caller(this->port);
        caller.write("GET /nothing HTTP/1.1\r\n\r\n");
        ASSERT_EQ(caller.answer().code(), 106) << round;
    }
}

} // namespace azurewell::tests
