#include "broken_answers.h"
#include "two_hosts.h"

#include "azurewell/http/clock.h"

#include <tuple>

namespace azurewell {
namespace {

using HostAndAnswer = std::tuple<const char *, BrokenAnswer>;

class BrokenAnswersTest : public TwoHostsTest, public testing::WithParamInterface<HostAndAnswer>
{
};

// Guards against bytes of a server in trouble that its caller gets as an answer, directly or
// through another host.
TEST_P(BrokenAnswersTest, AreReplacedByAFailure)
{
    const auto &[host, answer] = GetParam();
    Peer caller = this->ask(host, "/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send(bytesOf(answer, "Signature: s\r\nId: 7\r\n", "done"));
    ASSERT_TRUE(caller.receives("outcome_unknown"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 502 Bad Gateway\r\n"), 0U);
    EXPECT_EQ(caller.received.find("Signature"), std::string::npos);
    EXPECT_EQ(caller.received.find("done"), std::string::npos);
}

// Guards against a report or an order that takes such bytes for its answer.
TEST_P(BrokenAnswersTest, AreNoAnswersToCalls)
{
    const auto &[host, answer] = GetParam();
    UpstreamConnections connections;
    HttpCalls calls(connections, [](const ResponseHead &) { return true; });
    bool isEnded = false;
    bool isAnswered = false;
    const Instant now = monotonicNow();
    calls.start(
            this->upstreamAddress(), "GET /report HTTP/1.1\r\nHost: h\r\n\r\n",
            now + std::chrono::seconds(4), 1000,
            [&](const std::optional<CallAnswer> &got) {
                isEnded = true;
                isAnswered = got.has_value();
            },
            now);
    ASSERT_TRUE(this->acceptAtUpstream("\r\n\r\n"));
    this->upstream.send(bytesOf(answer, "", "done"));
    EXPECT_TRUE(waitFor([&] { return isEnded; }));
    EXPECT_FALSE(isAnswered);
}

std::string caseName(const testing::TestParamInfo<HostAndAnswer> &testInfo)
{
    const auto &[host, answer] = testInfo.param;
    return answer.name + std::string(host == std::string("cut") ? "Forwarded" : "Direct");
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenAnswersTest,
                         testing::Combine(testing::Values("serving", "cut"),
                                          testing::ValuesIn(brokenAnswers())),
                         caseName);

} // namespace
} // namespace azurewell
