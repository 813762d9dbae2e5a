#include "broken_answers.h"

#include "azurewell/http/message_readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <tuple>

namespace azurewell {
namespace {

class BrokenAnswers : public testing::TestWithParam<std::tuple<BrokenAnswer, std::size_t>>
{
};

// Guards against a server in trouble whose bytes are passed on as an answer, or whose body is read
// with another length than it has, however the network cuts the bytes.
TEST_P(BrokenAnswers, AreRefused)
{
    const auto &[answer, pieceBytes] = GetParam();
    const std::string text = bytesOf(answer, "Id: 1\r\n", "done");
    ResponseReader reader{ false };
    std::string buffer;
    Result<bool> isWhole = false;
    for (std::size_t at = 0; at < text.size() && isWhole && !isWhole.value(); at += pieceBytes) {
        buffer += text.substr(at, pieceBytes);
        isWhole = reader.read(buffer);
    }
    ASSERT_FALSE(isWhole);
    EXPECT_EQ(isWhole.error().code, ResultCode::UpstreamFailed);
    EXPECT_FALSE(reader.isHeadRead());
    EXPECT_FALSE(reader.finish());
}

std::string caseName(const testing::TestParamInfo<BrokenAnswers::ParamType> &testInfo)
{
    const auto &[answer, pieceBytes] = testInfo.param;
    return std::string(answer.name) + "InPiecesOf" + std::to_string(pieceBytes);
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenAnswers,
                         testing::Combine(testing::ValuesIn(brokenAnswers()),
                                          testing::Values(1U, 7U, 4096U)),
                         caseName);

// Guards against a body that is taken for a folded line, as the network cuts the message before it.
TEST(ResponseReader, ReadsABodyThatBeginsWithABlank)
{
    for (const char *fields : { "", "A: b\r\n", "A: b\r\nContent-Length: 4\r\n" }) {
        const std::string text = std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n 1\r\n\t2\r\n";
        const std::size_t head = text.find("\r\n\r\n") + 4;
        for (std::size_t cut = 1; cut < head; ++cut) {
            ResponseReader reader{ false };
            std::string buffer = text.substr(0, cut);
            ASSERT_TRUE(reader.read(buffer)) << fields << cut;
            buffer += text.substr(cut);
            reader.read(buffer);
            EXPECT_TRUE(reader.isHeadRead()) << fields << cut;
        }
    }
}

// Guards against sound answers that are refused with the broken ones.
TEST(ResponseReader, ReadsEachStatusOfTheProtocol)
{
    for (int status = 100; status < 600; ++status) {
        ResponseReader reader{ false };
        std::string buffer = "HTTP/1.1 " + std::to_string(status)
                + " Reason\r\nX-A:\tb  c\r\nX-~!#$%&'*+-.^_`|: d\r\nContent-Length: 0\r\n\r\n";
        const Result<bool> isWhole = reader.read(buffer);
        ASSERT_TRUE(isWhole && isWhole.value()) << status;
        EXPECT_EQ(reader.head().status, status);
    }
}

} // namespace
} // namespace azurewell
