#include "host_fixture.h"
#include "host_process.h"

#include <csignal>

namespace azurewell::tests {

namespace {

constexpr int longStreamTokens = 400; // 2 s at the stand-in engines' 5 ms a token

} // namespace

/// A host as a separate process, with the stand-ins in the test process.
class PlannedStop : public HostFixture
{
protected:
    void SetUp() override
    {
        this->addEngine();
        this->process = std::make_unique<HostProcess>(
                makeHostConfig("h1", "centro", "http://" + this->platform.address()));
        this->publish({ { { "id", "h1" },
                          { "zone", "centro" },
                          { "address",
                            "127.0.0.1:" + std::to_string(this->process->config.peerPort) } } });
        ASSERT_TRUE(this->process->start());
        this->port = this->process->config.callerPort;
        ASSERT_TRUE(this->isServing());
    }

    std::unique_ptr<HostProcess> process;
};

// The platform replaces a host under load: streams are half sent, a filing (a non-idempotent POST
// to a plain service) waits for its answer, and callers still connect until the load balancer
// removes the host. None of these requests may be interrupted, refused or reset, and the process
// exits with code 0.
TEST_F(PlannedStop, InterruptsNoRequest)
{
    this->service.responseDelayMillis = 1500;
    std::vector<std::unique_ptr<Caller>> streams;
    for (int index = 0; index < 6; ++index) {
        streams.push_back(std::make_unique<Caller>(this->port));
        streams.back()->post("/v1/completions", completion("routes@3", longStreamTokens));
        ASSERT_TRUE(streams.back()->waitFor("routes@3#2")); // adapter@version#token number
    }
    Caller filing(this->port);
    filing.post("/services/filings/notices", "{}");
    ASSERT_TRUE(waitUntil([this] { return this->service.runs == 1; }));
    Caller keptAlive(this->port);
    keptAlive.post("/v1/completions", completion("routes@3", 1));
    ASSERT_TRUE(keptAlive.answer().isComplete);

    this->process->signal(SIGTERM);
    ASSERT_TRUE(waitUntil([this] { return this->process->readyStatus() == 503; }));
    EXPECT_TRUE(this->isServing()) << "a request that arrives after SIGTERM must be served";
    keptAlive.received.clear();
    keptAlive.post("/v1/completions", completion("routes@3", 1));
    const Answer kept = keptAlive.answer();
    EXPECT_EQ(kept.status, 200);
    EXPECT_EQ(kept.headers.at("connection"), "close");
    for (const std::unique_ptr<Caller> &stream : streams) {
        const Answer answer = stream->answer();
        EXPECT_TRUE(answer.isComplete);
        EXPECT_EQ(tokenPositions(answer.body, "routes@3").size(),
                  static_cast<std::size_t>(longStreamTokens));
    }
    EXPECT_EQ(filing.answer().status, 200);
    EXPECT_EQ(this->service.runs, 1U);
    EXPECT_EQ(this->process->exitCode(), 0);
}

// Callers connect continuously until the port is closed. Guards against connections that are
// accepted and then reset, which leaves the run state unknown: each gets 200 or a refusal with
// "not_run".
TEST_F(PlannedStop, AnswersEveryAcceptedConnection)
{
    this->process->signal(SIGTERM);
    int answered = 0;
    while (this->process->isRunning()) {
        Caller caller(this->port);
        if (!caller.isOpen())
            break;
        caller.post("/v1/completions", completion("routes@3", 1));
        const Answer answer = caller.answer();
        EXPECT_TRUE(answer.isComplete);
        EXPECT_TRUE(answer.status == 200 || answer.runState() == "not_run") << answer.status;
        ++answered;
    }
    EXPECT_GT(answered, 0);
    EXPECT_EQ(this->process->exitCode(), 0);
}

// A host is paused for longer than every lease, while it relays a stream, and resumes with outdated
// state. Tokens that the engine sent meanwhile still reach the caller, no adapter is unloaded while
// it serves, and the host serves again; the new leases themselves are not checked.
TEST_F(PlannedStop, AHostThatResumesAfterLeaseExpiryServesOnNewLeases)
{
    Caller stream(this->port);
    stream.post("/v1/completions", completion("routes@3", longStreamTokens));
    ASSERT_TRUE(stream.waitFor("routes@3#2"));
    this->service.responseDelayMillis = 500;
    Caller filing(this->port);
    filing.post("/services/filings/notices", "{}");
    ASSERT_TRUE(waitUntil([this] { return this->service.runs == 1; }));
    this->process->signal(SIGSTOP);
    const Instant resumesAt = monotonicNow() + fromSeconds(11); // a slot lease is 10 s
    ASSERT_TRUE(waitUntil([resumesAt] { return monotonicNow() >= resumesAt; }));
    this->process->signal(SIGCONT);
    const Answer answer = stream.answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3").size(),
              static_cast<std::size_t>(longStreamTokens));
    EXPECT_EQ(filing.answer().status, 200) << "the answer was buffered while the host was paused";
    EXPECT_EQ(this->service.runs, 1U);
    EXPECT_TRUE(this->isServing());
    EXPECT_EQ(this->engines[0]->unloadsWhileServing, 0U);
}

// Guards against a token too many: the lease of a stream expires after its last token arrived and
// before its end marker.
TEST_F(PlannedStop, AHostThatResumesAfterTheLastTokenAddsNoToken)
{
    this->engines[0]->faults.endFault = standins::EndFault::Stall;
    Caller stream(this->port);
    stream.post("/v1/completions", completion("routes@3", longStreamTokens));
    ASSERT_TRUE(stream.waitFor("routes@3#2"));
    this->process->signal(SIGSTOP);
    const Instant resumesAt = monotonicNow() + fromSeconds(11); // a slot lease is 10 s
    ASSERT_TRUE(waitUntil([resumesAt] { return monotonicNow() >= resumesAt; }));
    this->process->signal(SIGCONT);
    const Answer answer = stream.answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3").size(),
              static_cast<std::size_t>(longStreamTokens))
            << this->process->log().right(2000).toStdString();
    EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
}

} // namespace azurewell::tests
