#include "broken_answers.h"

#include "azurewell/http/message_bounds.h"
#include "azurewell/http/message_readers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace azurewell;

struct Reading
{
    bool isFailed = false;
    bool isWhole = false;

    bool operator==(const Reading &other) const = default;
};

/// Reads \a text in pieces. Aborts if more than \a bound bytes are left unread between them.
template <typename Reader>
Reading read(Reader reader, const std::string &text, std::size_t pieceBytes, std::size_t bound)
{
    Reading reading;
    std::string buffer;
    for (std::size_t at = 0; at < text.size() && !reading.isFailed && !reading.isWhole;
         at += pieceBytes) {
        buffer += text.substr(at, pieceBytes);
        const Result<bool> isWhole = reader.read(buffer);
        reading.isFailed = !isWhole;
        reading.isWhole = isWhole && isWhole.value();
        if (isWhole && !isWhole.value() && buffer.size() > bound)
            std::abort();
    }
    return reading;
}

template <typename Make>
void check(Make make, const std::string &text, std::size_t pieceBytes, std::size_t bound)
{
    // What is read of a message must not depend on how it arrives.
    if (!(read(make(), text, pieceBytes, bound) == read(make(), text, text.size(), bound)))
        std::abort();
}

/// Aborts if an answer with a broken head is read as one because of what follows its head.
void checkBroken(const BrokenAnswer &answer, const std::string &text, std::size_t pieceBytes)
{
    const std::string whole = bytesOf(answer, "", text);
    if (!read(ResponseReader(false), whole, pieceBytes, maxAnswerHeadBytes).isFailed)
        std::abort();
}

} // namespace

/// The last byte of the input gives the size of the pieces, the one before it how many of the bytes
/// at the end are repeated until the text is longer than any bound.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::size_t controlBytes = 2;
    if (size <= controlBytes)
        return 0;
    std::string text(reinterpret_cast<const char *>(data), size - controlBytes);
    // Pieces of single bytes are left to the unit tests: they make a run 50 times as slow.
    constexpr std::size_t pieceStep = 61;
    const std::size_t pieceBytes = (1 + data[size - 1]) * pieceStep;
    const std::string repeated = text.substr(
            text.size() - std::min<std::size_t>(text.size(), data[size - 2] % 16));
    constexpr std::size_t textBytes = 2 * maxAnswerHeadBytes;
    while (!repeated.empty() && text.size() < textBytes)
        text += repeated;
    const RequestLimits limits;
    check([&limits] { return RequestReader(limits); }, text, pieceBytes,
          std::max<std::size_t>(limits.headBytes, maxChunkFramingBytes));
    check([] { return ResponseReader(false); }, text, pieceBytes,
          std::max<std::size_t>(maxAnswerHeadBytes, maxChunkFramingBytes));
    static const std::vector<BrokenAnswer> broken = brokenAnswers();
    checkBroken(broken[data[size - 2] % broken.size()], text, pieceBytes);
    // Most inputs are no head, so each is also read as what follows one.
    const std::string head = "Transfer-Encoding: chunked\r\n\r\n";
    check([&limits] { return RequestReader(limits); }, "POST / HTTP/1.1\r\n" + head + text,
          pieceBytes, maxChunkFramingBytes);
    check([] { return ResponseReader(false); }, "HTTP/1.1 200 OK\r\n" + head + text, pieceBytes,
          maxChunkFramingBytes);
    return 0;
}
