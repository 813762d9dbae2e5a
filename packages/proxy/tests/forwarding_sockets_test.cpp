#include "two_hosts.h"

#include "azurewell/logging/log.h"

#include <QtCore/QCoreApplication>

namespace azurewell {
namespace {

using namespace gateway;

class ForwardingSocketsTest : public TwoHostsTest
{
protected:
    Peer ask(const std::string &path, const std::string &body = "body")
    {
        return TwoHostsTest::ask("cut", path, body);
    }
};

TEST_F(ForwardingSocketsTest, TheAnswerOfAnUpstreamReachesTheCallerWhole)
{
    Peer caller = this->ask("/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    EXPECT_NE(this->upstream.received.find("Customer: c"), std::string::npos);
    EXPECT_EQ(this->upstream.received.find("secret"), std::string::npos);
    EXPECT_EQ(this->upstream.received.find("Azurewell"), std::string::npos);
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nId: 7\r\nAzurewell-Refusal: x\r\n"
                        "Content-Length: 4\r\n\r\ndone");
    ASSERT_TRUE(caller.receives("done"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 200 OK"), 0U);
    EXPECT_NE(caller.received.find("Signature: s"), std::string::npos);
    EXPECT_EQ(caller.received.find("Azurewell"), std::string::npos);
}

TEST_F(ForwardingSocketsTest, EventsOfAStreamArriveOneByOne)
{
    Peer caller = this->ask("/stream");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nfirst\r\n");
    EXPECT_TRUE(caller.receives("first"));
    this->upstream.send("6\r\nsecond\r\n");
    EXPECT_TRUE(caller.receives("second"));
    EXPECT_EQ(caller.received.find("0\r\n\r\n"), std::string::npos);
    this->upstream.send("0\r\n\r\n");
    EXPECT_TRUE(caller.receives("0\r\n\r\n"));
}

// Guards against a part of an answer that looks complete to the caller.
TEST_F(ForwardingSocketsTest, AStreamThatBreaksOffDoesNotLookComplete)
{
    Peer caller = this->ask("/stream");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nfirst\r\n");
    EXPECT_TRUE(caller.receives("first"));
    this->upstream.reset();
    EXPECT_TRUE(caller.isClosedByOtherEnd());
    EXPECT_TRUE(caller.isReset);
    EXPECT_EQ(caller.received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against work that goes on for nobody.
TEST_F(ForwardingSocketsTest, ACallerThatLeavesEndsTheRequestAtTheUpstream)
{
    Peer caller = this->ask("/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    caller.close();
    EXPECT_TRUE(this->upstream.isClosedByOtherEnd());
}

// Guards against a second run of a request that is not idempotent.
TEST_F(ForwardingSocketsTest, ARequestThatMayHaveRunAtTheOtherHostIsNotSentAgain)
{
    Peer caller = this->ask("/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.reset();
    ASSERT_TRUE(caller.receives("outcome_unknown"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 502"), 0U);
}

TEST_F(ForwardingSocketsTest, ARefusalOfTheOtherHostIsPassedOn)
{
    UpstreamPath &path = this->serving->state().paths[deskService];
    path.state = PathState::Lost;
    path.nextRoundAt = never;
    Peer caller = this->ask("/file");
    ASSERT_TRUE(caller.receives("upstreams_unreachable"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 503"), 0U);
    EXPECT_NE(caller.received.find("Retry-After"), std::string::npos);
}

// Guards against requests that something other than a host sends to the port between hosts.
TEST_F(ForwardingSocketsTest, AConnectionFromAnAddressOfNoMemberIsRejected)
{
    this->serving->state().members.others.clear();
    Peer stranger = Peer::connectTo(this->serving->state().self.address);
    stranger.send("POST /file HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(stranger.isClosedByOtherEnd());
    EXPECT_TRUE(stranger.received.empty());
}

TEST_F(ForwardingSocketsTest, ARequestOfAMemberThatSaysNothingOfItsForwardIsRefused)
{
    Peer member = Peer::connectTo(this->serving->state().self.address);
    member.send("POST /file HTTP/1.1\r\nHost: h\r\nKey: secret\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(member.receives("message_invalid"));
}

} // namespace
} // namespace azurewell

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    azurewell::setUpLog(azurewell::LogLevel::Error, "test");
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
