#include "host_fixture.h"

#include <QtCore/QtEndian>

namespace azurewell::tests {

namespace {

struct BadInput
{
    const char *description;
    QByteArray bytes;
    int status;
    int code;
};

QByteArray postRequest(const QByteArray &body, const QByteArray &headers,
                       const QByteArray &path = "/v1/completions")
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + headers
            + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

std::vector<BadInput> badInputs()
{
    const QByteArray key = "Authorization: Bearer " + callerKey + "\r\n";
    const QByteArray good = completion("routes@3", 2);
    return {
        { "no HTTP", "hello there\r\n\r\n", 400, 100 },
        { "unknown method", "BREW /v1/completions HTTP/1.1\r\n\r\n", 400, 100 },
        { "header without colon", "GET /v1/models HTTP/1.1\r\nnonsense\r\n\r\n", 400, 100 },
        { "folded header", "GET /v1/models HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n", 400, 100 },
        { "bare line ends", "GET /v1/models HTTP/1.1\n\n", 400, 100 },
        { "upgrade", "GET /v1/models HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
          400, 100 },
        { "negative length", "POST /v1/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400,
          100 },
        { "two lengths",
          "POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 30\r\n\r\n{}", 400,
          100 },
        { "no length", "POST /v1/completions HTTP/1.1\r\n\r\n", 411, 108 },
        { "broken JSON", postRequest("{\"model\":", key), 400, 101 },
        { "no object", postRequest("[1]", key), 400, 101 },
        { "deep JSON", postRequest(QByteArray(100'000, '['), key), 400, 101 },
        { "wrong max_tokens", postRequest(R"({"model":"routes@3","max_tokens":-4})", key), 400,
          101 },
        { "huge max_tokens",
          postRequest(R"({"model":"routes@3","max_tokens":99999999999999999999999})", key), 400,
          101 },
        { "no model", postRequest("{}", key), 400, 107 },
        { "no key", postRequest(good, {}), 401, 200 },
        { "unknown key", postRequest(good, "Authorization: Bearer other\r\n"), 401, 201 },
        { "key in the query", postRequest(good, key, "/v1/completions?api_key=" + callerKey), 400,
          203 },
        { "key in a second header", postRequest(good, key + "X-Api-Key: " + callerKey + "\r\n"),
          400, 203 },
        { "two keys", postRequest(good, key + "authorization: Bearer other\r\n"), 400, 203 },
        { "unknown adapter", postRequest(completion("routes@4", 2), key), 404, 204 },
        { "another customer's adapter", postRequest(completion("quotes@7", 2), key), 404, 204 },
        { "unknown service", postRequest("{}", key, "/services/other/x"), 404, 205 },
        { "unknown path", postRequest("{}", key, "/v2/completions"), 404, 106 },
    };
}

} // namespace

using BadInputs = HostFixture;

// Guards against a crash or a closed connection on malformed input, which would leave the caller
// without knowing whether it may retry. Each answer has the numbered code of the error and
// "not_run".
TEST_F(BadInputs, EachGetsItsNumberedCode)
{
    standins::Engine &engine = this->addEngine();
    this->startHost();
    for (const BadInput &bad : badInputs()) {
        Caller caller(this->port);
        caller.write(bad.bytes);
        const Answer answer = caller.answer();
        EXPECT_EQ(answer.status, bad.status) << bad.description;
        EXPECT_EQ(answer.code(), bad.code) << bad.description;
        EXPECT_EQ(answer.codeInBody(), bad.code) << bad.description;
        EXPECT_EQ(answer.runState(), "not_run") << bad.description;
    }
    EXPECT_EQ(engine.completed, 0U);
    EXPECT_EQ(this->service.runs, 0U);
    EXPECT_TRUE(this->isServing());
}

// Guards against a caller's key that leaks to an upstream or a log, whose readers could use up
// the caller's rate.
TEST_F(BadInputs, TheKeyIsNotSentToUpstreamsOrLogged)
{
    this->settings.logLevel = LogLevel::Debug;
    standins::Engine &engine = this->addEngine();
    testing::internal::CaptureStdout();
    this->startHost();
    for (const BadInput &bad : badInputs()) {
        Caller caller(this->port);
        caller.write(bad.bytes);
        caller.answer();
    }
    Caller filing(this->port);
    filing.post("/services/filings/notices", R"({"notice":1})", "Cookie: k=" + callerKey + "\r\n");
    EXPECT_EQ(filing.answer().status, 200);
    EXPECT_TRUE(this->isServing());
    const std::string log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find("request_refused"), std::string::npos);
    EXPECT_EQ(log.find(callerKey.toStdString()), std::string::npos);
    EXPECT_EQ(engine.requestsWithKey, 0U);
    EXPECT_EQ(this->service.requestsWithKey, 0U);
}

// Guards against a crash or unbounded memory use when a client that is not a host of the fleet,
// such as a port scanner, connects to the peer port.
TEST_F(BadInputs, ThePeerPortRejectsGarbage)
{
    this->addEngine();
    this->startHost();
    QByteArray oversized(4, 0);
    qToBigEndian<quint32>(0xffffffffU, oversized.data());
    QByteArray garbage(4, 0);
    qToBigEndian<quint32>(1000, garbage.data());
    garbage += QByteArray(1000, '\xee');
    for (const QByteArray &bytes : { oversized, garbage, QByteArray("GET / HTTP/1.1\r\n\r\n") }) {
        Caller client(this->settings.peers.port);
        client.write(bytes);
        EXPECT_TRUE(waitUntil([&client] { return !client.isOpen(); }));
    }
    EXPECT_TRUE(this->isServing());
}

} // namespace azurewell::tests
