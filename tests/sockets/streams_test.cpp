#include "host_fixture.h"

#include <numeric>

namespace azurewell::tests {

namespace {

std::vector<int> positionsUpTo(int count)
{
    std::vector<int> positions(static_cast<std::size_t>(count));
    std::iota(positions.begin(), positions.end(), 0);
    return positions;
}

} // namespace

class Streams : public HostFixture
{
protected:
    /// Two engines; a stream of \a tokens tokens that has come as far as its second token at one of
    /// them. \a fault is set on both, and taken back from the one that does not serve the stream.
    void beginStream(const standins::EngineFaults &fault, int tokens)
    {
        this->settings.upstreamIdle = fromSeconds(0.5);
        this->addEngine().faults = fault;
        this->addEngine().faults = fault;
        this->startHost();
        this->caller = std::make_unique<Caller>(this->port);
        this->caller->post("/v1/completions", completion("routes@3", tokens));
        ASSERT_TRUE(this->caller->waitFor("routes@3#1"));
        this->serving = this->engines[0]->tokensMade > 0 ? this->engines[0].get()
                                                         : this->engines[1].get();
        this->other = this->engines[0]->tokensMade > 0 ? this->engines[1].get()
                                                       : this->engines[0].get();
        this->other->faults = {};
    }

    std::unique_ptr<Caller> caller;
    standins::Engine *serving = nullptr;
    standins::Engine *other = nullptr;
};

// The connection to an engine goes silent for good in mid-stream, while new ones work: something
// between the two ends has lost track of it. Without a deadline the caller waits for ever; with a
// plain repeat it reads the first tokens twice.
TEST_F(Streams, ASilentConnectionIsNoticedAndTheStreamResumed)
{
    this->beginStream({}, 200);
    this->serving->silenceConnections();
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(200));
    EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
    EXPECT_EQ(this->metric("azurewell_retries_total{reason=\"upstream_silent\"}"), 1);
    EXPECT_EQ(this->metric("azurewell_resumes_total"), 1);
    EXPECT_EQ(this->other->tokensMade, 0U) << "the engine has the stream still";
}

// It is the engine that has gone silent, on new connections too.
TEST_F(Streams, AStreamOfASilentEngineIsResumedAtAnother)
{
    standins::EngineFaults fault;
    fault.silentAfterTokens = 5;
    this->beginStream(fault, 40);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
    EXPECT_EQ(this->metric("azurewell_resumes_total"), 2);
}

// An engine closes the connection in mid-stream, or restarts cold and has lost the adapter too.
TEST_F(Streams, AStreamThatIsCutOffIsResumed)
{
    standins::EngineFaults fault;
    fault.closeAfterTokens = 7;
    this->beginStream(fault, 40);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
}

TEST_F(Streams, AnEngineThatRestartsColdInMidStreamCostsNoToken)
{
    this->beginStream({}, 200);
    this->serving->restartCold();
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(200));
}

// The engine that takes a stream over begins at the first token, because it does not know how to
// resume. The caller would read the beginning twice; it is told that the stream ended early.
TEST_F(Streams, AnEngineThatCannotResumeDoublesNoToken)
{
    standins::EngineFaults fault;
    fault.closeAfterTokens = 5;
    fault.ignoresResume = true;
    this->beginStream(fault, 40);
    this->other->faults.ignoresResume = true;
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(5));
    EXPECT_FALSE(answer.body.contains("[DONE]"));
    EXPECT_TRUE(answer.body.contains("\"run_state\":\"outcome_unknown\""))
            << answer.body.right(300).toStdString();
}

// Text that an adapter makes looks like the frame of an event. Counted as one, it shifts the place
// where a stream is resumed; taken for the end, it cuts the answer off.
TEST_F(Streams, TextThatLooksLikeAnEventIsText)
{
    standins::EngineFaults fault;
    fault.closeAfterTokens = 5;
    fault.tokenSuffix = "data: [DONE] data: ";
    this->beginStream(fault, 40);
    this->other->faults.tokenSuffix = fault.tokenSuffix;
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
}

// An engine mixes up the answers to two open requests. Each caller would read another's text.
TEST_F(Streams, AnAnswerToAnotherRequestReachesNoCaller)
{
    std::vector<standins::EngineFaults> faults(4);
    faults[0].crossesAnswers = true;
    faults[1].omitsId = true;
    faults[2].answersOtherModel = true;
    faults[3].answersOtherModel = true;
    this->addEngine();
    this->startHost();
    ASSERT_TRUE(this->isUnharmed());
    for (std::size_t index = 0; index < faults.size(); ++index) {
        this->engines[0]->faults = faults[index];
        const double before = this->metric("azurewell_answer_mismatches_total");
        Caller asker(this->port);
        asker.post("/v1/completions", completion("routes@3", 4, index != 3));
        const Answer answer = asker.answer();
        EXPECT_TRUE(answer.isWhole);
        EXPECT_FALSE(answer.body.contains("#")) << index;
        EXPECT_EQ(answer.runState(), "outcome_unknown") << index;
        EXPECT_EQ(this->metric("azurewell_answer_mismatches_total"), before + 1) << index;
        this->engines[0]->faults = {};
        // Three failures in a row keep an engine out of use for some seconds.
        ASSERT_TRUE(waitUntil([this] { return this->isUnharmed(); }));
    }
}

// An engine has lost an adapter and says so with 404. Passed on, the caller would believe that its
// adapter does not exist.
TEST_F(Streams, AnEnginesWordThatTheAdapterIsNotLoadedIsNotTheCallers)
{
    this->addEngine();
    this->addEngine();
    this->startHost();
    ASSERT_TRUE(this->isUnharmed());
    for (const std::unique_ptr<standins::Engine> &engine : this->engines)
        engine->forgetAdapters();
    Caller asker(this->port);
    asker.post("/v1/completions", completion("routes@3", 3));
    const Answer answer = asker.answer();
    EXPECT_NE(answer.status, 404);
    EXPECT_TRUE(answer.status == 200 || answer.runState() == "not_run") << answer.status;
}

// A caller goes away in mid-stream. The engine would go on generating for nobody, in a slot that
// others wait for.
TEST_F(Streams, ACallerThatLeavesFreesItsSlot)
{
    this->beginStream({}, 100'000);
    this->caller->socket.abort();
    EXPECT_TRUE(waitUntil([this] { return this->serving->cancelled >= 1; }));
    EXPECT_TRUE(waitUntil([this] { return this->metric("azurewell_open_requests") == 0; }));
    EXPECT_EQ(this->serving->runningCount(), 0U);
    EXPECT_EQ(this->metric("azurewell_refusals_total{reason=\"caller_gone\"}"), 1);
}

// A caller stops reading and keeps its connection. What its engine makes would fill the host's
// memory, and the slot would be held as long as the caller likes.
TEST_F(Streams, ACallerThatDoesNotReadIsBoundedAndThenDropped)
{
    this->settings.readerPatience = fromSeconds(0.5);
    standins::EngineFaults fault;
    fault.tokenSuffix = std::string(20'000, 'x');
    this->beginStream(fault, 100'000);
    this->caller->socket.setReadBufferSize(1);
    QObject::disconnect(&this->caller->socket, &QTcpSocket::readyRead, nullptr, nullptr);
    EXPECT_TRUE(waitUntil([this] { return this->metric("azurewell_open_requests") == 0; }));
    EXPECT_EQ(this->metric("azurewell_refusals_total{reason=\"caller_gone\"}"), 1);
    EXPECT_EQ(this->serving->runningCount(), 0U);
    EXPECT_LT(this->serving->tokensMade, 2000U); // 40 MB; the buffers on the way hold some
}

// A caller reads in bursts: it pauses for less than the host's patience. It gets all of its answer.
TEST_F(Streams, ACallerThatReadsInBurstsGetsAll)
{
    standins::EngineFaults fault;
    fault.tokenSuffix = std::string(20'000, 'x');
    this->beginStream(fault, 200);
    QTcpSocket &socket = this->caller->socket;
    QObject::disconnect(&socket, &QTcpSocket::readyRead, nullptr, nullptr);
    socket.setReadBufferSize(1 << 16);
    QTimer reading;
    QObject::connect(&reading, &QTimer::timeout,
                     [this, &socket] { this->caller->received += socket.readAll(); });
    reading.start(2);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(200));
}

} // namespace azurewell::tests
