#include "broken_answers.h"
#include "host_fixture.h"

#include "azurewell/standins/flooding_server.h"

#include <fmt/format.h>

#include <ostream>

namespace azurewell::tests {

namespace {

using standins::Flood;
using standins::FloodEnd;
using standins::FloodingServer;

} // namespace

/// A host of its own before one server that is in trouble.
class AnswersOfServices : public HostFixture
{
protected:
    /// Sends a call of a service whose server sends \a flood.
    Answer answerTo(const Flood &flood, const QByteArray &method, const QByteArray &path,
                    const QByteArray &body)
    {
        this->server = std::make_unique<FloodingServer>(flood);
        this->serviceAddress = fmt::format("127.0.0.1:{}", this->server->port());
        this->addEngine();
        this->startHost();
        Caller caller(this->port);
        caller.write(method + " /services/" + path
                     + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + callerKey
                     + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
                     + body);
        return caller.answer();
    }

    void expectRefusal(const Answer &answer) const
    {
        EXPECT_GT(this->server->requests(), 0U);
        EXPECT_NE(answer.code(), 0) << answer.status << answer.body.toStdString();
        EXPECT_FALSE(answer.body.contains("done"));
        EXPECT_NE(answer.runState(), "not_run");
    }

    std::unique_ptr<FloodingServer> server;
};

class BrokenAnswersOfServices : public AnswersOfServices,
                                public ::testing::WithParamInterface<BrokenAnswer>
{
};

// Guards against bytes of a server in trouble that its caller gets as an answer.
TEST_P(BrokenAnswersOfServices, AreReplacedByAFailure)
{
    const std::string bytes = bytesOf(GetParam(), "Content-Type: a/b\r\n", "done");
    this->expectRefusal(this->answerTo({ bytes, "" }, "GET", "permits/x", ""));
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenAnswersOfServices, ::testing::ValuesIn(brokenAnswers()),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

/// How a server ends an answer without a length.
struct UnframedEnd
{
    const char *name;
    const char *method;
    std::size_t bodyBytes;
    FloodEnd end;
};

std::ostream &operator<<(std::ostream &out, const UnframedEnd &end)
{
    return out << end.name;
}

class PartsOfAnswersOfServices : public AnswersOfServices,
                                 public ::testing::WithParamInterface<UnframedEnd>
{
};

// Guards against a part of an answer without a length that its caller gets as the whole.
TEST_P(PartsOfAnswersOfServices, AreReplacedByAFailure)
{
    const Flood part{ "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nnot yet done", "", false,
                      GetParam().end };
    const QByteArray body(static_cast<qsizetype>(GetParam().bodyBytes), 'a');
    this->expectRefusal(this->answerTo(part, GetParam().method, "filings/x", body));
}

constexpr std::size_t longestBodyBytes = 1ULL << 20;

INSTANTIATE_TEST_SUITE_P(Ends, PartsOfAnswersOfServices,
                         ::testing::Values(UnframedEnd{ "Reset", "GET", 0, FloodEnd::Reset },
                                           UnframedEnd{ "ResetInUpload", "POST", longestBodyBytes,
                                                        FloodEnd::Reset },
                                           UnframedEnd{ "CloseInUpload", "POST", longestBodyBytes,
                                                        FloodEnd::Close }),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

// Guards against whole answers that are refused with the broken ones.
TEST_F(AnswersOfServices, WithoutALengthAreWholeIfTheirServerClosesInOrder)
{
    const Flood whole{ "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\ndone", "", false,
                       FloodEnd::Close };
    const Answer answer = this->answerTo(whole, "GET", "permits/x", "");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "done");
}

} // namespace azurewell::tests
