#include "azurewell/http/message_readers.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

Result<bool> readAll(std::string text)
{
    RequestReader reader{ RequestLimits{} };
    return reader.read(text);
}

TEST(RequestReader, ReadsARequestThatArrivesByteByByte)
{
    const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    RequestReader reader{ RequestLimits{} };
    std::string buffer;
    for (std::size_t i = 0; i < text.size(); ++i) {
        buffer += text[i];
        const Result<bool> isWhole = reader.read(buffer);
        ASSERT_TRUE(isWhole);
        EXPECT_EQ(isWhole.value(), i + 1 == text.size());
    }
    EXPECT_EQ(reader.head().method, "POST");
    EXPECT_EQ(reader.head().target, "/a/b?c=1");
    EXPECT_EQ(reader.body(), "hello");
}

TEST(RequestReader, LeavesTheNextRequestInTheBuffer)
{
    RequestReader reader{ RequestLimits{} };
    std::string buffer = "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n";
    ASSERT_TRUE(reader.read(buffer).value());
    EXPECT_EQ(buffer, "GET /2 HTTP/1.1\r\n");
}

TEST(RequestReader, JoinsChunks)
{
    RequestReader reader{ RequestLimits{} };
    std::string buffer = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    ASSERT_TRUE(reader.read(buffer).value());
    EXPECT_EQ(reader.body(), "abcde");
}

class AmbiguousHead : public testing::TestWithParam<std::string>
{
};

TEST_P(AmbiguousHead, IsRejected)
{
    // Guards against request smuggling: a body with ambiguous framing hides a second request. If it
    // were forwarded, the hidden request would run without its key being checked.
    EXPECT_FALSE(readAll("POST / HTTP/1.1\r\nHost: h\r\n" + GetParam() + "\r\n\r\nabc\r\n"));
}

INSTANTIATE_TEST_SUITE_P(Framings, AmbiguousHead,
                         testing::Values("Content-Length: 3\r\nTransfer-Encoding: chunked",
                                         "Content-Length: 3\r\nContent-Length: 4",
                                         "Content-Length: 3, 3", "Content-Length: +3",
                                         "Content-Length : 3", "Transfer-Encoding: xchunked",
                                         "Transfer-Encoding: gzip, chunked",
                                         "X-A: b\r\n c: d\r\nContent-Length: 3"));

TEST(RequestReader, LimitsHeadAndBodySize)
{
    const std::string longHead = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(40000, 'x');
    const Result<bool> head = readAll(longHead);
    ASSERT_FALSE(head);
    EXPECT_EQ(head.error().code, ResultCode::HeadTooLarge);
    RequestReader reader{ RequestLimits{ 16 * 1024, 10 } };
    std::string buffer = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n";
    const Result<bool> body = reader.read(buffer);
    ASSERT_FALSE(body);
    EXPECT_EQ(body.error().code, ResultCode::BodyTooLarge);
}

TEST(ResponseReader, BodyWithoutLengthIsCompleteOnlyWhenTheConnectionCloses)
{
    ResponseReader reader{ false };
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\npart";
    EXPECT_FALSE(reader.read(buffer).value());
    EXPECT_EQ(reader.head().framing, BodyFraming::Close);
    EXPECT_EQ(reader.takeBody(), "part");
    EXPECT_TRUE(reader.finish());
}

TEST(ResponseReader, TruncatedBodyIsNotComplete)
{
    // Guards against forwarding a truncated response as complete when the upstream closes its
    // connection in the middle of a body with a stated length.
    ResponseReader reader{ false };
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    EXPECT_FALSE(reader.read(buffer).value());
    EXPECT_FALSE(reader.finish());
}

TEST(ResponseReader, RejectsBytesThatAreNotAResponse)
{
    ResponseReader reader{ false };
    std::string buffer = "nonsense\r\n\r\n";
    EXPECT_FALSE(reader.read(buffer));
}

TEST(Headers, EndToEndHeadersOmitHopByHopHeaders)
{
    const std::vector<HttpHeader> all{ { "Connection", "close, X-Hop" },
                                       { "X-Hop", "1" },
                                       { "Keep-Alive", "timeout=5" },
                                       { "X-Kept", "2" },
                                       { "Transfer-Encoding", "chunked" } };
    const std::vector<HttpHeader> kept = endToEndHeaders(all);
    ASSERT_EQ(kept.size(), 1U);
    EXPECT_EQ(kept.front().name, "X-Kept");
}

// Guards against a header that is forwarded because only a second Connection header names it.
TEST(Headers, EveryConnectionHeaderNamesHopByHopHeaders)
{
    const std::vector<HttpHeader> all{ { "Connection", "keep-alive" },
                                       { "X-Hop", "1" },
                                       { "connection", "X-Hop" } };
    EXPECT_TRUE(endToEndHeaders(all).empty());
}

} // namespace
} // namespace azurewell
