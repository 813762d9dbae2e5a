#include "two_hosts.h"

#include "azurewell/http/message.h"

namespace azurewell {
namespace {

constexpr const char *streamHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                   "Content-Type: text/event-stream\r\n";
constexpr const char *plainHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                  "Content-Type: application/json\r\n";

enum class Framing { Close, Chunked, Length };

struct FramingCase
{
    const char *name;
    Framing framing;
    const char *host; ///< "cut" forwards the request to "serving".
};

std::ostream &operator<<(std::ostream &out, const FramingCase &framingCase)
{
    return out << framingCase.name;
}

std::string framed(const std::string &head, Framing framing, const std::string &body)
{
    switch (framing) {
    case Framing::Close:
        return head + "\r\n" + body;
    case Framing::Chunked:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunkBytes(body)
                + std::string(lastChunk);
    case Framing::Length:
        break;
    }
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class AnswerFramingTest : public TwoHostsTest, public testing::WithParamInterface<FramingCase>
{
protected:
    /// A caller that has been sent an answer with \a head and \a body, after which the upstream has
    /// closed its connection in an orderly way.
    Peer answered(const std::string &path, const std::string &head, const std::string &body)
    {
        Peer caller = this->ask(GetParam().host, path);
        EXPECT_TRUE(this->acceptAtUpstream());
        this->upstream.send(framed(head, GetParam().framing, body));
        this->upstream.close();
        return caller;
    }
};

// Guards against a stream of a crashed upstream that its caller takes for a complete one.
TEST_P(AnswerFramingTest, AStreamThatEndsInsideAnEventIsBrokenOff)
{
    Peer caller = this->answered("/stream", streamHead, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
    EXPECT_TRUE(caller.isClosedByOtherEnd());
    EXPECT_TRUE(caller.isReset);
    EXPECT_EQ(caller.received.find(lastChunk), std::string::npos);
}

// Guards against streams that are broken off although they are complete.
TEST_P(AnswerFramingTest, AStreamThatEndsBetweenEventsIsDelivered)
{
    Peer caller = this->answered("/stream", streamHead, "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n");
    EXPECT_TRUE(caller.receives("data: b\r\n\r\n"));
    if (GetParam().framing != Framing::Close)
        EXPECT_TRUE(caller.receives(std::string(lastChunk)));
    EXPECT_FALSE(caller.isReset);
}

INSTANTIATE_TEST_SUITE_P(Framings, AnswerFramingTest,
                         testing::Values(FramingCase{ "close", Framing::Close, "serving" },
                                         FramingCase{ "chunked", Framing::Chunked, "serving" },
                                         FramingCase{ "length", Framing::Length, "serving" },
                                         FramingCase{ "close_forwarded", Framing::Close, "cut" },
                                         FramingCase{ "chunked_forwarded", Framing::Chunked,
                                                      "cut" },
                                         FramingCase{ "length_forwarded", Framing::Length, "cut" }),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

// Guards against chunks that an HTTP/1.0 caller takes for a part of the text.
TEST_F(TwoHostsTest, ACallerWithoutChunkedCodingGetsAStreamUnframed)
{
    Peer caller = this->ask("serving", "/stream", "body", "HTTP/1.0");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send(framed(streamHead, Framing::Chunked, "data: a\n\n"));
    EXPECT_TRUE(caller.isClosedByOtherEnd());
    EXPECT_FALSE(caller.isReset);
    EXPECT_TRUE(caller.received.ends_with("\r\n\r\ndata: a\n\n"));
}

// Guards against a stream that looks complete to a caller without chunked coding as its host ends.
TEST_F(TwoHostsTest, ACallerWithoutChunkedCodingIsResetWhenItsHostEnds)
{
    Peer caller = this->ask("serving", "/stream", "body", "HTTP/1.0");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send(streamHead + std::string("\r\ndata: a\n\n"));
    ASSERT_TRUE(caller.receives("data: a\n\n"));
    this->serving.reset();
    EXPECT_TRUE(caller.isClosedByOtherEnd());
    EXPECT_TRUE(caller.isReset);
}

class UnframedAnswerTest : public AnswerFramingTest
{
protected:
    /// A caller that has the first event of a stream, which goes on.
    Peer streaming()
    {
        Peer caller = this->ask(GetParam().host, "/stream");
        EXPECT_TRUE(this->acceptAtUpstream());
        this->upstream.send(framed(streamHead, Framing::Close, "id: 1\ndata: a\n\n"));
        EXPECT_TRUE(caller.receives("data: a\n\n"));
        return caller;
    }

    static void expectBrokenOff(Peer &caller)
    {
        EXPECT_TRUE(caller.isClosedByOtherEnd());
        EXPECT_NE(caller.received.find("Transfer-Encoding: chunked"), std::string::npos);
        EXPECT_EQ(caller.received.find(lastChunk), std::string::npos);
    }
};

// Guards against a part of a stream that looks complete as the kernel closes the sockets of its
// host.
TEST_P(UnframedAnswerTest, AStreamIsBrokenOffWhenItsHostEnds)
{
    Peer caller = this->streaming();
    const bool isForwarded = std::string(GetParam().host) == "cut";
    (isForwarded ? this->cutOff : this->serving).reset();
    expectBrokenOff(caller);
}

// Guards against the end of the host with the upstream that is taken for the end of the stream.
TEST_P(UnframedAnswerTest, AStreamIsBrokenOffWhenTheHostBeforeTheUpstreamEnds)
{
    Peer caller = this->streaming();
    this->serving.reset();
    expectBrokenOff(caller);
}

// Guards against a stream whose end is stated before its upstream has ended it.
TEST_P(UnframedAnswerTest, AStreamEndsWithItsUpstream)
{
    Peer caller = this->streaming();
    EXPECT_EQ(caller.received.find(lastChunk), std::string::npos);
    this->upstream.close();
    EXPECT_TRUE(caller.receives(std::string(lastChunk)));
    EXPECT_FALSE(caller.isReset);
}

// Guards against a part of an answer that is announced with its own length as the whole.
TEST_P(UnframedAnswerTest, AnAnswerThatIsNoStreamIsAnnouncedOnceItsUpstreamHasEndedIt)
{
    Peer caller = this->ask(GetParam().host, "/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send(framed(plainHead, Framing::Close, "{\"done\":"));
    int rounds = 0;
    waitFor([&rounds] { return ++rounds > 20; });
    EXPECT_EQ(caller.countReceived("HTTP/1.1"), 0U);
    this->upstream.send("true}");
    this->upstream.close();
    EXPECT_TRUE(caller.receives("Content-Length: 13\r\n\r\n{\"done\":true}"));
}

// Guards against an upstream that crashed before its first event and counts as having answered.
TEST_P(UnframedAnswerTest, AStreamWithoutAnEventIsAFailure)
{
    Peer caller = this->answered("/stream", streamHead, "");
    ASSERT_TRUE(caller.receives("outcome_unknown"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 502"), 0U);
}

// Guards against a reset of the upstream that is taken for the end of its answer.
TEST_P(UnframedAnswerTest, AnAnswerThatEndsWithAResetIsAFailure)
{
    Peer caller = this->ask(GetParam().host, "/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send(framed(plainHead, Framing::Close, "{\"done\":true}"));
    this->upstream.reset();
    ASSERT_TRUE(caller.receives("outcome_unknown"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 502"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Hosts, UnframedAnswerTest,
                         testing::Values(FramingCase{ "direct", Framing::Close, "serving" },
                                         FramingCase{ "forwarded", Framing::Close, "cut" }),
                         [](const auto &testInfo) { return std::string(testInfo.param.name); });

} // namespace
} // namespace azurewell
