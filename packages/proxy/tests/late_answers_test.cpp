#include "two_hosts.h"

namespace azurewell {
namespace {

constexpr const char *rejection = "HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
constexpr const char *served = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n"
                               "Content-Length: 2\r\n\r\nok";

// Guards against a late second answer to the first sending of a request that is taken for the
// answer to its second sending: the request would run again, or be refused although it runs.
TEST_F(TwoHostsTest, ARequestThatIsSentAgainIsAnsweredOnAConnectionOfItsOwn)
{
    gateway::GatewayState &state = this->serving->state();
    this->listAtUpstream(state, UpstreamId{ "d2" });
    state.retryBudgets[deskService].tokens = 3;
    Peer caller = this->ask("serving", "/look");
    ASSERT_TRUE(this->acceptAllAtUpstream(1));
    ASSERT_TRUE(this->upstreams[0].receives("body"));
    this->upstreams[0].send(rejection);
    ASSERT_TRUE(this->acceptAllAtUpstream(2));
    ASSERT_TRUE(this->upstreams[1].receives("body"));
    this->upstreams[0].send(rejection);
    this->upstreams[1].send(served);
    ASSERT_TRUE(caller.receives("ok"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 200"), 0U);
    EXPECT_EQ(this->upstreams[0].countReceived("body"), 1U);
    EXPECT_EQ(this->upstreams[1].countReceived("body"), 1U);
}

} // namespace
} // namespace azurewell
