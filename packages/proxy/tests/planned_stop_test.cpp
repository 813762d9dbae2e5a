#include "two_hosts.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message.h"

namespace azurewell {
namespace {

using namespace gateway;

/// Requests that are open as a host stops in calm, until its process would end.
class PlannedStopTest : public TwoHostsTest
{
protected:
    void SetUp() override
    {
        this->stopGrace = std::chrono::seconds(5);
        TwoHostsTest::SetUp();
        for (Route &route : this->serving->state().configuration.routes)
            route.timeout = longTimeout;
        for (Route &route : this->cutOff->state().configuration.routes)
            route.timeout = longTimeout;
    }

    static constexpr Span longTimeout = std::chrono::seconds(20);
};

// Guards against a request that may have run and gets no answer as the process ends.
TEST_F(PlannedStopTest, ARequestThatItsServerStillRunsIsAnsweredBeforeTheEnd)
{
    Peer direct = this->ask("serving", "/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->serving->stop();
    ASSERT_TRUE(direct.receives("outcome_unknown"));
    EXPECT_EQ(direct.received.find("HTTP/1.1 502"), 0U);
    EXPECT_TRUE(direct.isClosedByOtherEnd());
    EXPECT_FALSE(direct.isReset);
}

// Guards against a forwarded request that may have run and gets no answer as the host that sent it
// to the server ends.
TEST_F(PlannedStopTest, AForwardedRequestIsAnsweredBeforeTheEnd)
{
    Peer forwarded = this->ask("cut", "/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->serving->stop();
    ASSERT_TRUE(forwarded.receives("outcome_unknown"));
    EXPECT_EQ(forwarded.received.find("HTTP/1.1 502"), 0U);
}

// Guards against a part of a stream that looks whole as the process ends.
TEST_F(PlannedStopTest, AStreamThatGoesOnIsBrokenOff)
{
    Peer caller = this->ask("serving", "/stream");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n"
                        "id: 1\ndata: a\n\n");
    ASSERT_TRUE(caller.receives("data: a"));
    this->serving->stop();
    EXPECT_TRUE(caller.isClosedByOtherEnd());
    EXPECT_TRUE(caller.isReset);
    EXPECT_EQ(caller.received.find(lastChunk), std::string::npos);
}

// Guards against a request that comes late in the grace and is passed on, to be cut at its end.
TEST_F(PlannedStopTest, ALateRequestThatMayOutliveTheProcessIsRefusedAsNotRun)
{
    this->serving->stop();
    const Instant late = monotonicNow() + std::chrono::seconds(3);
    waitFor([late] { return monotonicNow() >= late; });
    for (const char *path : { "/file", "/look", "/stream" }) {
        Peer caller = this->ask("serving", path);
        ASSERT_TRUE(caller.receives("host_draining")) << path;
        EXPECT_EQ(caller.received.find("HTTP/1.1 503"), 0U);
        EXPECT_NE(caller.received.find("not_run"), std::string::npos);
    }
    EXPECT_FALSE(this->acceptWaitingAtUpstream());
}

// Guards against an upload that begins early in the grace, ends late and is passed on.
TEST_F(PlannedStopTest, AnUploadThatEndsLateIsRefusedAsNotRun)
{
    Peer caller = this->connect("serving");
    caller.send("POST /file HTTP/1.1\r\nHost: h\r\nKey: secret\r\nId: 7\r\nContent-Length: "
                "4\r\n\r\nbo");
    this->serving->stop();
    const Instant late = monotonicNow() + std::chrono::milliseconds(2800);
    waitFor([late] { return monotonicNow() >= late; });
    caller.send("dy");
    ASSERT_TRUE(caller.receives("host_draining"));
    EXPECT_NE(caller.received.find("not_run"), std::string::npos);
    EXPECT_FALSE(this->acceptWaitingAtUpstream());
}

} // namespace
} // namespace azurewell
