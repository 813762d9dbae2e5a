#include "two_hosts.h"

#include <algorithm>

namespace azurewell {
namespace {

/// More than the kernel's buffers of a connection hold.
constexpr std::size_t uploadBytes = 12ULL * 1024 * 1024;

struct EarlyAnswerCase
{
    const char *name;
    const char *host; ///< "cut" forwards the request to "serving".
    bool isReset;     ///< Else closed with the request unread: the kernel resets the connection.
};

std::ostream &operator<<(std::ostream &out, const EarlyAnswerCase &earlyCase)
{
    return out << earlyCase.name;
}

class EarlyAnswersTest : public TwoHostsTest, public testing::WithParamInterface<EarlyAnswerCase>
{
protected:
    void SetUp() override
    {
        TwoHostsTest::SetUp();
        this->cutOff->state().configuration.limits.bodyBytes = uploadBytes;
        this->serving->state().configuration.limits.bodyBytes = uploadBytes;
    }

    /// Sends a long request and waits until the upstream has accepted a connection for it.
    Peer upload(const std::string &body)
    {
        Peer caller = this->connect(GetParam().host);
        caller.send("POST /file HTTP/1.1\r\nHost: h\r\nKey: secret\r\nId: 7\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n");
        std::size_t sent = 0;
        EXPECT_TRUE(waitFor([&] {
            sent += caller.sendWhatFits(body.substr(sent));
            return sent == body.size();
        }));
        EXPECT_TRUE(this->acceptUpload());
        return caller;
    }

private:
    /// Accepts connections until one carries a request: after a failure the host also opens one to
    /// check whether the upstream still runs.
    bool acceptUpload()
    {
        this->upstreams.clear();
        return waitFor([this] {
            this->acceptAllAtUpstream(0);
            const auto sending = std::find_if(
                    this->upstreams.begin(), this->upstreams.end(),
                    [](Peer &connection) { return connection.hasReceived("POST"); });
            if (sending == this->upstreams.end())
                return false;
            this->upstream = std::move(*sending);
            return true;
        });
    }
};

// Guards against a part of an answer without a length that its caller gets as the whole: the server
// ends the connection while the request is still being written to it.
TEST_P(EarlyAnswersTest, AreFailuresIfTheirEndIsNotShown)
{
    constexpr int rounds = 40;
    const std::string body(uploadBytes, 'a');
    for (int round = 0; round < rounds; ++round) {
        Peer caller = this->upload(body);
        this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nId: 7\r\n\r\n{\"done\":");
        if (GetParam().isReset)
            this->upstream.reset();
        else
            this->upstream.close();
        ASSERT_TRUE(caller.receives("outcome_unknown"))
                << "in round " << round << ": " << caller.received;
        ASSERT_EQ(caller.received.find("HTTP/1.1 502"), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Ends, EarlyAnswersTest,
                         testing::Values(EarlyAnswerCase{ "reset", "serving", true },
                                         EarlyAnswerCase{ "unread", "serving", false },
                                         EarlyAnswerCase{ "reset_forwarded", "cut", true },
                                         EarlyAnswerCase{ "unread_forwarded", "cut", false }),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

} // namespace
} // namespace azurewell
