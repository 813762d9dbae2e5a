#include "azurewell/http/message_bounds.h"
#include "azurewell/http/message_readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <tuple>

namespace azurewell {
namespace {

/// Bytes that are no body, without end.
struct Flood
{
    const char *name;
    std::string start;  ///< Whole parts of a message.
    std::string opened; ///< The part of the message that doesn't end.
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const Flood &flood)
{
    return out << flood.name;
}

/// How the bytes of a message arrive.
enum class Arrival { ByteByByte, InBlocks, AtOnce };

constexpr std::size_t floodBytes = 1024ULL * 1024;

std::size_t pieceBytes(Arrival arrival)
{
    switch (arrival) {
    case Arrival::ByteByByte:
        return 1;
    case Arrival::InBlocks:
        return 16ULL * 1024;
    case Arrival::AtOnce:
        break;
    }
    return 2 * floodBytes;
}

struct Reading
{
    bool isFailed = false;
    bool isWhole = false;
    ResultCode code = ResultCode::Ok;
    std::size_t bytes = 0;    ///< Arrived until the reader was done or failed.
    std::size_t heldMost = 0; ///< Bytes that the reader left in its buffer.
};

template <typename Reader>
Reading readPieces(Reader &reader, const std::string &text, Arrival arrival)
{
    Reading reading;
    std::string buffer;
    while (reading.bytes < text.size() && !reading.isFailed && !reading.isWhole) {
        const std::string piece = text.substr(reading.bytes, pieceBytes(arrival));
        buffer += piece;
        reading.bytes += piece.size();
        const Result<bool> isWhole = reader.read(buffer);
        reading.isFailed = !isWhole;
        reading.isWhole = isWhole && isWhole.value();
        if (!isWhole)
            reading.code = isWhole.error().code;
        else
            reading.heldMost = std::max(reading.heldMost, buffer.size());
    }
    return reading;
}

std::string bytesOf(const Flood &flood)
{
    std::string text = flood.start + flood.opened;
    while (text.size() < floodBytes)
        text += flood.repeated;
    return text;
}

const std::string answerStart = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Flood> answerFloods()
{
    return {
        { "ChunkExtension", answerStart, "1;x=", "a" },
        { "QuotedChunkExtension", answerStart, "1;x=\"", "a\\\"" },
        { "ExtensionOfALaterChunk", answerStart + "1\r\na", "\r\n1;x=", "a" },
        { "ExtensionOfTheLastChunk", answerStart + "1\r\na", "\r\n0;x=", "a" },
        { "ChunkSize", answerStart, "1", "0" },
        { "TrailerFields", answerStart, "0\r\n", "A: b\r\n" },
        { "TrailerFieldWithoutEnd", answerStart + "1\r\na", "\r\n0\r\nA: ", "b" },
    };
}

class AnswerFlood : public testing::TestWithParam<std::tuple<Flood, Arrival>>
{
};

// Guards against a server that fills the host's memory with bytes that are no body.
TEST_P(AnswerFlood, IsRefusedAtItsBound)
{
    const auto &[flood, arrival] = GetParam();
    ResponseReader reader{ false };
    const Reading reading = readPieces(reader, bytesOf(flood), arrival);
    EXPECT_TRUE(reading.isFailed);
    EXPECT_EQ(reading.code, ResultCode::AnswerOversized);
    const std::size_t bound = flood.start.size() + maxChunkFramingBytes;
    EXPECT_LE(reading.bytes, bound + pieceBytes(arrival));
    EXPECT_LE(reading.heldMost, maxChunkFramingBytes);
}

template <typename Param>
std::string caseName(const testing::TestParamInfo<Param> &testInfo)
{
    constexpr const char *arrivals[] = { "ByteByByte", "InBlocks", "AtOnce" };
    const auto &[flood, arrival] = testInfo.param;
    return std::string(flood.name) + arrivals[static_cast<int>(arrival)];
}

const auto allArrivals = testing::Values(Arrival::ByteByByte, Arrival::InBlocks, Arrival::AtOnce);

INSTANTIATE_TEST_SUITE_P(Parts, AnswerFlood,
                         testing::Combine(testing::ValuesIn(answerFloods()), allArrivals),
                         caseName<AnswerFlood::ParamType>);

class ChunkFraming : public testing::TestWithParam<Arrival>
{
};

/// A chunk's size line with \a bytes bytes, line end included.
std::string sizeLine(std::size_t bytes)
{
    const std::string start = "1;x=";
    return start + std::string(bytes - start.size() - 2, 'a') + "\r\n";
}

// Guards against a bound that depends on how the network cuts a message.
TEST_P(ChunkFraming, OfTheLongestAllowedLengthIsRead)
{
    ResponseReader reader{ false };
    const Reading reading = readPieces(
            reader, answerStart + sizeLine(maxChunkFramingBytes) + "b\r\n0\r\nA: c\r\n\r\n",
            GetParam());
    EXPECT_TRUE(reading.isWhole);
    EXPECT_EQ(reader.takeBody(), "b");
}

TEST_P(ChunkFraming, ThatIsLongerByAByteIsRefused)
{
    ResponseReader reader{ false };
    const Reading reading = readPieces(
            reader, answerStart + sizeLine(maxChunkFramingBytes + 1) + "b\r\n0\r\n\r\n",
            GetParam());
    EXPECT_EQ(reading.code, ResultCode::AnswerOversized);
}

INSTANTIATE_TEST_SUITE_P(Arrivals, ChunkFraming, allArrivals);

std::vector<Flood> headFloods()
{
    return {
        { "StatusLine", "", "HTTP/1.1 200 ", "a" },
        { "Fields", "HTTP/1.1 200 OK\r\n", "", "A: b\r\n" },
        { "FieldWithoutEnd", "HTTP/1.1 200 OK\r\n", "A: ", "b" },
    };
}

class AnswerHeadFlood : public testing::TestWithParam<std::tuple<Flood, Arrival>>
{
};

// Guards against an answer whose head doesn't end.
TEST_P(AnswerHeadFlood, IsRefusedAtItsBound)
{
    const auto &[flood, arrival] = GetParam();
    ResponseReader reader{ false };
    const Reading reading = readPieces(reader, bytesOf(flood), arrival);
    EXPECT_EQ(reading.code, ResultCode::AnswerOversized);
    EXPECT_LE(reading.bytes, maxAnswerHeadBytes + pieceBytes(arrival));
}

INSTANTIATE_TEST_SUITE_P(Parts, AnswerHeadFlood,
                         testing::Combine(testing::ValuesIn(headFloods()), allArrivals),
                         caseName<AnswerHeadFlood::ParamType>);

const std::string requestStart = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Flood> requestFloods()
{
    std::vector<Flood> floods = answerFloods();
    for (Flood &flood : floods)
        flood.start.replace(0, answerStart.size(), requestStart);
    return floods;
}

class RequestFlood : public testing::TestWithParam<std::tuple<Flood, Arrival>>
{
};

// Guards against a caller that fills the host's memory with bytes that are no body.
TEST_P(RequestFlood, IsRefusedAtItsBound)
{
    const auto &[flood, arrival] = GetParam();
    RequestReader reader{ RequestLimits{} };
    const Reading reading = readPieces(reader, bytesOf(flood), arrival);
    EXPECT_TRUE(reading.isFailed);
    EXPECT_EQ(reading.code, ResultCode::BodyTooLarge);
    const std::size_t bound = flood.start.size() + maxChunkFramingBytes;
    EXPECT_LE(reading.bytes, bound + pieceBytes(arrival));
    EXPECT_LE(reading.heldMost, maxChunkFramingBytes);
}

INSTANTIATE_TEST_SUITE_P(Parts, RequestFlood,
                         testing::Combine(testing::ValuesIn(requestFloods()), allArrivals),
                         caseName<RequestFlood::ParamType>);

} // namespace
} // namespace azurewell
