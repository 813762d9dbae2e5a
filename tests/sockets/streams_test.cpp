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
    /// Starts two engines and a stream of \a tokens tokens, and waits for its second token.
    /// \a fault is set on both and reset on the one that does not serve the stream.
    void startStream(const standins::EngineFaults &fault, int tokens)
    {
        this->settings.upstreamIdleTimeout = fromSeconds(0.5);
        this->addEngine().faults = fault;
        this->addEngine().faults = fault;
        this->startHost();
        this->caller = std::make_unique<Caller>(this->port);
        this->caller->post("/v1/completions", completion("routes@3", tokens));
        ASSERT_TRUE(this->caller->waitFor("routes@3#1"));
        this->servingEngine = this->engines[0]->tokensGenerated > 0 ? this->engines[0].get()
                                                                    : this->engines[1].get();
        this->otherEngine = this->engines[0]->tokensGenerated > 0 ? this->engines[1].get()
                                                                  : this->engines[0].get();
        this->otherEngine->faults = {};
    }

    /// Expects the complete answer from an engine that has \a fault in place of the end marker.
    void expectCompleteWithoutResume(standins::EndFault fault)
    {
        standins::EngineFaults faults;
        faults.endFault = fault;
        this->startStream(faults, 40);
        const Answer answer = this->caller->answer();
        EXPECT_TRUE(answer.isComplete);
        EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
        EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
        EXPECT_EQ(this->metric("azurewell_resumes_total"), 0);
        EXPECT_EQ(this->otherEngine->tokensGenerated, 0U);
    }

    std::unique_ptr<Caller> caller;
    standins::Engine *servingEngine = nullptr;
    standins::Engine *otherEngine = nullptr;
};

// The connection to an engine is silently dropped in mid-stream, while new connections work.
// Without a timeout the caller would wait forever; with a plain retry it would read the first
// tokens twice.
TEST_F(Streams, AStreamIsResumedWhenItsConnectionStalls)
{
    this->startStream({}, 200);
    this->servingEngine->stallStreams();
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(200));
    EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
    EXPECT_EQ(this->metric("azurewell_retries_total{reason=\"upstream_silent\"}"), 1);
    EXPECT_EQ(this->metric("azurewell_resumes_total"), 1);
    EXPECT_EQ(this->otherEngine->tokensGenerated, 0U)
            << "the stream must resume at the engine that still has it";
}

// The engine itself stops sending, on new connections too.
TEST_F(Streams, AStreamOfAnUnresponsiveEngineIsResumedAtAnother)
{
    standins::EngineFaults fault;
    fault.stallAfterTokens = 5;
    this->startStream(fault, 40);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
    EXPECT_EQ(this->metric("azurewell_resumes_total"), 2);
}

// An engine closes the connection in mid-stream.
TEST_F(Streams, AStreamIsResumedWhenItsConnectionIsClosed)
{
    standins::EngineFaults fault;
    fault.closeAfterTokens = 7;
    this->startStream(fault, 40);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
}

// Guards against a token too many: the connection is closed after the last token of an answer and
// before its end marker.
TEST_F(Streams, AStreamThatIsClosedBeforeItsEndMarkerIsNotResumed)
{
    this->expectCompleteWithoutResume(standins::EndFault::Close);
}

// The same for an engine that stalls there. It must be told to cancel what it may still run.
TEST_F(Streams, AStreamThatStallsBeforeItsEndMarkerIsNotResumed)
{
    this->expectCompleteWithoutResume(standins::EndFault::Stall);
    EXPECT_TRUE(waitUntil([this] { return this->servingEngine->runningCount() == 0; }));
}

// Guards against a token too many if the engine restarts after the last token.
TEST_F(Streams, AStreamIsCompleteIfItsEngineRestartsAfterTheLastToken)
{
    standins::EngineFaults faults;
    faults.endFault = standins::EndFault::Stall;
    this->startStream(faults, 40);
    ASSERT_TRUE(this->caller->waitFor("routes@3#39"));
    this->servingEngine->restartCold();
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
    EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
}

// Guards against text after the end of an answer: the engine has finished it early and the end
// marker is lost.
TEST_F(Streams, AnAnswerThatItsEngineHasFinishedIsNotResumed)
{
    standins::EngineFaults faults;
    faults.stopAfterTokens = 12;
    faults.sendsEventsWithoutToken = true;
    faults.endFault = standins::EndFault::Close;
    this->startStream(faults, 40);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(12));
    EXPECT_TRUE(answer.body.endsWith("data: [DONE]\n\n"));
}

// Guards against lost tokens: events without a token shift the position at which a stream resumes.
TEST_F(Streams, EventsWithoutATokenDoNotShiftTheResumePosition)
{
    standins::EngineFaults faults;
    faults.closeAfterTokens = 7;
    faults.sendsEventsWithoutToken = true;
    this->startStream(faults, 40);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
}

// An engine restarts in mid-stream and has lost the adapter too.
TEST_F(Streams, NoTokenIsLostWhenAnEngineRestartsColdInMidStream)
{
    this->startStream({}, 200);
    this->servingEngine->restartCold();
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(200));
}

// Guards against duplicate tokens from an engine that does not support resuming and restarts the
// stream at its first token. The caller gets an error that the stream ended early.
TEST_F(Streams, NoTokenIsDuplicatedByAnEngineThatCannotResume)
{
    standins::EngineFaults fault;
    fault.closeAfterTokens = 5;
    fault.ignoresResume = true;
    this->startStream(fault, 40);
    this->otherEngine->faults.ignoresResume = true;
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(5));
    EXPECT_FALSE(answer.body.contains("[DONE]"));
    EXPECT_TRUE(answer.body.contains("\"run_state\":\"outcome_unknown\""))
            << answer.body.right(300).toStdString();
}

// Generated text contains the framing of a server-sent event. Parsed as an event, it would shift
// the position at which a stream is resumed; parsed as the end, it would truncate the answer.
TEST_F(Streams, TextThatLooksLikeAnEventIsNotParsedAsOne)
{
    standins::EngineFaults fault;
    fault.closeAfterTokens = 5;
    fault.tokenSuffix = "data: [DONE] data: ";
    this->startStream(fault, 40);
    this->otherEngine->faults.tokenSuffix = fault.tokenSuffix;
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(40));
}

// Guards against an engine that swaps the answers to two requests: each caller would read the
// other's text.
TEST_F(Streams, AnAnswerToAnotherRequestReachesNoCaller)
{
    std::vector<standins::EngineFaults> faults(4);
    faults[0].mismatchesRequestIds = true;
    faults[1].omitsId = true;
    faults[2].respondsAsOtherModel = true;
    faults[3].respondsAsOtherModel = true;
    this->addEngine();
    this->startHost();
    ASSERT_TRUE(this->isServing());
    for (std::size_t index = 0; index < faults.size(); ++index) {
        this->engines[0]->faults = faults[index];
        const double before = this->metric("azurewell_answer_mismatches_total");
        Caller client(this->port);
        client.post("/v1/completions", completion("routes@3", 4, index != 3));
        const Answer answer = client.answer();
        EXPECT_TRUE(answer.isComplete);
        EXPECT_FALSE(answer.body.contains("#")) << index;
        EXPECT_EQ(answer.runState(), "outcome_unknown") << index;
        EXPECT_EQ(this->metric("azurewell_answer_mismatches_total"), before + 1) << index;
        this->engines[0]->faults = {};
        // After three consecutive failures an engine is not used for some seconds.
        ASSERT_TRUE(waitUntil([this] { return this->isServing(); }));
    }
}

// Guards against passing on the 404 of an engine that has lost an adapter: the caller would
// conclude that the adapter does not exist.
TEST_F(Streams, TheNotFoundOfAnEngineWithoutTheAdapterIsNotPassedOn)
{
    this->addEngine();
    this->addEngine();
    this->startHost();
    ASSERT_TRUE(this->isServing());
    for (const std::unique_ptr<standins::Engine> &engine : this->engines)
        engine->dropAdapters();
    Caller client(this->port);
    client.post("/v1/completions", completion("routes@3", 3));
    const Answer answer = client.answer();
    EXPECT_NE(answer.status, 404);
    EXPECT_TRUE(answer.status == 200 || answer.runState() == "not_run") << answer.status;
}

// Guards against an engine that keeps generating for a caller that disconnected in mid-stream, in a
// slot that other requests wait for.
TEST_F(Streams, ACallerThatDisconnectsFreesItsSlot)
{
    this->startStream({}, 100'000);
    this->caller->socket.abort();
    EXPECT_TRUE(waitUntil([this] { return this->servingEngine->cancelled >= 1; }));
    EXPECT_TRUE(waitUntil([this] { return this->metric("azurewell_open_requests") == 0; }));
    EXPECT_EQ(this->servingEngine->runningCount(), 0U);
    EXPECT_EQ(this->metric("azurewell_refusals_total{reason=\"caller_gone\"}"), 1);
}

// Guards against a caller that stops reading but keeps its connection: its tokens would fill the
// host's memory, and its slot would stay occupied.
TEST_F(Streams, ACallerThatDoesNotReadIsDisconnected)
{
    this->settings.callerReadTimeout = fromSeconds(0.5);
    standins::EngineFaults fault;
    fault.tokenSuffix = std::string(20'000, 'x');
    this->startStream(fault, 100'000);
    this->caller->socket.setReadBufferSize(1);
    QObject::disconnect(&this->caller->socket, &QTcpSocket::readyRead, nullptr, nullptr);
    EXPECT_TRUE(waitUntil([this] { return this->metric("azurewell_open_requests") == 0; }));
    EXPECT_EQ(this->metric("azurewell_refusals_total{reason=\"caller_gone\"}"), 1);
    EXPECT_EQ(this->servingEngine->runningCount(), 0U);
    EXPECT_LT(this->servingEngine->tokensGenerated, 2000U); // 40 MB; socket buffers hold a part
}

// Guards against disconnecting a caller that reads in bursts, with pauses shorter than the host's
// timeout.
TEST_F(Streams, ACallerThatReadsInBurstsGetsItsCompleteAnswer)
{
    standins::EngineFaults fault;
    fault.tokenSuffix = std::string(20'000, 'x');
    this->startStream(fault, 200);
    QTcpSocket &socket = this->caller->socket;
    QObject::disconnect(&socket, &QTcpSocket::readyRead, nullptr, nullptr);
    socket.setReadBufferSize(1 << 16);
    QTimer readTimer;
    QObject::connect(&readTimer, &QTimer::timeout,
                     [this, &socket] { this->caller->received += socket.readAll(); });
    readTimer.start(2);
    const Answer answer = this->caller->answer();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(tokenPositions(answer.body, "routes@3"), positionsUpTo(200));
}

} // namespace azurewell::tests
