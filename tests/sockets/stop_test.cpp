#include "host_fixture.h"
#include "host_process.h"

#include <csignal>

namespace azurewell::tests {

namespace {

constexpr int longStream = 400; // two seconds at the stand-ins' 5 ms a token

} // namespace

/// A host as a process of its own, with the stand-ins in the test's.
class PlannedStop : public HostFixture
{
protected:
    void SetUp() override
    {
        this->addEngine();
        this->process = std::make_unique<HostProcess>(
                makePlace("h1", "centro", "http://" + this->platform.address()));
        this->publish(
                { { { "id", "h1" },
                    { "zone", "centro" },
                    { "address", "127.0.0.1:" + std::to_string(this->process->place.peers) } } });
        ASSERT_TRUE(this->process->start());
        this->port = this->process->place.callers;
        ASSERT_TRUE(this->isUnharmed());
    }

    std::unique_ptr<HostProcess> process;
};

// The platform replaces a host under load: streams are half sent, a filing waits for its answer,
// and callers still come because the balancer has not noticed. Nothing may be cut off, refused
// without need or reset, and the program ends by itself with code 0.
TEST_F(PlannedStop, CutsOffNothing)
{
    this->service.answerMillis = 1500;
    std::vector<std::unique_ptr<Caller>> streams;
    for (int index = 0; index < 6; ++index) {
        streams.push_back(std::make_unique<Caller>(this->port));
        streams.back()->post("/v1/completions", completion("routes@3", longStream));
        ASSERT_TRUE(streams.back()->waitFor("routes@3#2"));
    }
    Caller filing(this->port);
    filing.post("/services/filings/notices", "{}");
    ASSERT_TRUE(waitUntil([this] { return this->service.runs == 1; }));
    Caller keptAlive(this->port);
    keptAlive.post("/v1/completions", completion("routes@3", 1));
    ASSERT_TRUE(keptAlive.answer().isWhole);

    this->process->signal(SIGTERM);
    ASSERT_TRUE(waitUntil([this] { return this->process->readyStatus() == 503; }));
    EXPECT_TRUE(this->isUnharmed()) << "a request that still arrives is served";
    keptAlive.received.clear();
    keptAlive.post("/v1/completions", completion("routes@3", 1));
    const Answer kept = keptAlive.answer();
    EXPECT_EQ(kept.status, 200);
    EXPECT_EQ(kept.headers.at("connection"), "close");
    for (const std::unique_ptr<Caller> &stream : streams) {
        const Answer answer = stream->answer();
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(tokenPositions(answer.body, "routes@3").size(),
                  static_cast<std::size_t>(longStream));
    }
    EXPECT_EQ(filing.answer().status, 200);
    EXPECT_EQ(this->service.runs, 1U);
    EXPECT_EQ(this->process->exitCode(), 0);
}

// Callers come without pause until the port is closed. Each that could connect gets an answer, 200
// or a refusal that says "not run"; a connection that is reset would leave it guessing.
TEST_F(PlannedStop, AnswersWhoeverCouldConnect)
{
    this->process->signal(SIGTERM);
    int answered = 0;
    while (this->process->isRunning()) {
        Caller caller(this->port);
        if (!caller.isOpen())
            break;
        caller.post("/v1/completions", completion("routes@3", 1));
        const Answer answer = caller.answer();
        EXPECT_TRUE(answer.isWhole);
        EXPECT_TRUE(answer.status == 200 || answer.runState() == "not_run") << answer.status;
        ++answered;
    }
    EXPECT_GT(answered, 0);
    EXPECT_EQ(this->process->exitCode(), 0);
}

// A host is stopped for longer than every lease, while a stream runs through it, and wakes up with
// old beliefs. What the engine sent meanwhile still belongs to the caller; nothing is sent on the
// slot of before, and the host serves again.
TEST_F(PlannedStop, AHostThatWakesLateServesOnNewLeases)
{
    Caller stream(this->port);
    stream.post("/v1/completions", completion("routes@3", longStream));
    ASSERT_TRUE(stream.waitFor("routes@3#2"));
    this->service.answerMillis = 500;
    Caller filing(this->port);
    filing.post("/services/filings/notices", "{}");
    ASSERT_TRUE(waitUntil([this] { return this->service.runs == 1; }));
    this->process->signal(SIGSTOP);
    const Instant wakes = monotonicNow() + fromSeconds(11); // a slot is leased for ten
    ASSERT_TRUE(waitUntil([wakes] { return monotonicNow() >= wakes; }));
    this->process->signal(SIGCONT);
    const Answer answer = stream.answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3").size(), static_cast<std::size_t>(longStream));
    EXPECT_EQ(filing.answer().status, 200) << "its answer waited in a buffer";
    EXPECT_EQ(this->service.runs, 1U);
    EXPECT_TRUE(this->isUnharmed());
    EXPECT_EQ(this->engines[0]->unloadedWhileServing, 0U);
}

} // namespace azurewell::tests
