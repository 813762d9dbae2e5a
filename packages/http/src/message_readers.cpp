#include "azurewell/http/message_readers.h"

#include "azurewell/http/message_bounds.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace azurewell {

namespace {

namespace beast = boost::beast;

/// Up to here a body grows as a string does; then by halves, as a long one that doubles takes up to
/// twice its length.
constexpr std::size_t doublingBytes = 64ULL * 1024;

/// Makes room in \a body for \a needed bytes, which is at most \a stated, if that is not 0.
void makeRoom(std::string &body, std::size_t needed, std::uint64_t stated)
{
    if (needed <= body.capacity() || needed <= doublingBytes)
        return;
    const std::uint64_t roomy = needed + needed / 2;
    const bool isStated = stated >= needed && stated < roomy;
    body.reserve(static_cast<std::size_t>(isStated ? stated : roomy));
}

/// A body that grows with what has come. Beast's own bodies reserve the stated length at once,
/// which a faulty server may state as more than there is memory.
struct GrowingBody
{
    using value_type = std::string;

    class reader // NOLINT(readability-identifier-naming): the name that Beast looks for.
    {
    public:
        template <bool isRequest, typename Fields>
        reader(beast::http::header<isRequest, Fields> &, std::string &text)
            : body(text)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, beast::error_code &error)
        {
            this->stated = length.value_or(0);
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, beast::error_code &error)
        {
            error = {};
            const std::size_t before = this->body.size();
            makeRoom(this->body, before + boost::asio::buffer_size(buffers), this->stated);
            for (const boost::asio::const_buffer part : beast::buffers_range_ref(buffers))
                this->body.append(static_cast<const char *>(part.data()), part.size());
            return this->body.size() - before;
        }

        void finish(beast::error_code &error)
        {
            error = {};
        }

    private:
        std::string &body;
        std::uint64_t stated = 0; ///< Length of the body; 0: not stated.
    };
};

using RequestParser = beast::http::request_parser<GrowingBody>;
using ResponseParser = beast::http::response_parser<GrowingBody>;

std::string toString(beast::string_view text)
{
    return std::string(text.data(), text.size());
}

template <typename Fields>
std::vector<HttpHeader> headersOf(const Fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields)
        headers.push_back({ toString(field.name_string()), toString(field.value()) });
    return headers;
}

bool isDigits(std::string_view text)
{
    return !text.empty()
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Whether the head defines the body's length in exactly one way.
bool hasUnambiguousFraming(const std::vector<HttpHeader> &headers)
{
    const std::size_t lengths = headerCount(headers, "Content-Length");
    const std::size_t codings = headerCount(headers, "Transfer-Encoding");
    if (lengths + codings > 1)
        return false;
    if (lengths == 1)
        return isDigits(headerValue(headers, "Content-Length"));
    return codings == 0 || isSameHeaderName(headerValue(headers, "Transfer-Encoding"), "chunked");
}

/// Whether the head at the front of \a buffer, or what is left of it, has a folded header line
/// (obs-fold, RFC 9112, 5.2).
bool hasFoldedLine(std::string_view buffer)
{
    if (buffer.starts_with("\r\n"))
        return false; // The head ends here.
    const std::size_t end = buffer.find("\r\n\r\n");
    const std::string_view head = buffer.substr(0, end);
    return head.find("\r\n ") != std::string_view::npos
            || head.find("\r\n\t") != std::string_view::npos;
}

BodyFraming framingOf(const ResponseParser &parser)
{
    if (parser.chunked())
        return BodyFraming::Chunked;
    const bool endsAtClose = parser.get().need_eof() && !parser.is_done();
    return endsAtClose ? BodyFraming::Close : BodyFraming::Length;
}

ResultCode codeOf(const beast::error_code &error)
{
    if (error == beast::http::error::header_limit)
        return ResultCode::HeadTooLarge;
    if (error == beast::http::error::body_limit)
        return ResultCode::BodyTooLarge;
    return ResultCode::MalformedRequest;
}

/// What feed() has found.
struct Fed
{
    beast::error_code error;
    bool isChunkFramingTooLong = false;
};

/// Feeds \a buffer to \a parser until it needs more bytes or is done; erases the consumed bytes.
/// The parser consumes a head, a chunk's size line and the last chunk with its trailer fields only
/// as a whole. It is offered no more than their bounds at a time, so that what is refused doesn't
/// depend on how the bytes arrive. \a headBytes: the parser's own limit.
template <typename Parser>
Fed feed(Parser &parser, std::string &buffer, std::size_t headBytes)
{
    std::size_t consumed = 0;
    Fed fed;
    while (consumed < buffer.size() && !parser.is_done()) {
        const bool isInBody = parser.is_header_done();
        const std::size_t bound = isInBody ? maxChunkFramingBytes : headBytes;
        const std::size_t offered = std::min(buffer.size() - consumed, bound);
        parser.eager(isInBody);
        const std::size_t used = parser.put(boost::asio::buffer(buffer.data() + consumed, offered),
                                            fed.error);
        consumed += used;
        if (fed.error == beast::http::error::need_more)
            fed.error = {};
        fed.isChunkFramingTooLong = !fed.error && used == 0 && isInBody && offered == bound;
        if (fed.error || used == 0)
            break;
    }
    buffer.erase(0, consumed);
    return fed;
}

} // namespace

struct RequestReader::Impl
{
    RequestParser parser;
    std::optional<RequestHead> head;
    std::uint32_t headBytes;
    std::size_t headLength = 0; ///< Of the head that has been read.
    bool hasBegun = false;
};

RequestReader::RequestReader(const RequestLimits &limits)
    : impl(std::make_unique<Impl>())
{
    this->impl->headBytes = limits.headBytes;
    this->impl->parser.header_limit(limits.headBytes);
    this->impl->parser.body_limit(limits.bodyBytes);
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

Result<bool> RequestReader::read(std::string &buffer)
{
    Impl &self = *this->impl;
    if (!self.head) {
        self.hasBegun = self.hasBegun || !buffer.empty();
        // The parser consumes complete lines only, so an incomplete head stays in the buffer.
        if (buffer.find("\r\n\r\n") == std::string::npos) {
            if (buffer.size() > self.headBytes)
                return Error{ ResultCode::HeadTooLarge, "request head exceeds the size limit" };
            return false;
        }
        if (hasFoldedLine(buffer))
            return Error{ ResultCode::MalformedRequest,
                          "request head contains a folded header line" };
        self.headLength = buffer.find("\r\n\r\n");
    }
    const Fed fed = feed(self.parser, buffer, self.headBytes);
    if (fed.error)
        return Error{ codeOf(fed.error), fed.error.message() };
    if (fed.isChunkFramingTooLong)
        return Error{ ResultCode::BodyTooLarge, "a size line or trailer exceeds its bound" };
    if (!self.head && self.parser.is_header_done()) {
        const auto &message = self.parser.get();
        RequestHead line;
        line.method = toString(message.method_string());
        line.target = toString(message.target());
        line.headers = headersOf(message);
        line.keepsConnection = message.keep_alive();
        constexpr unsigned firstVersionWithChunks = 11;
        line.acceptsChunks = message.version() >= firstVersionWithChunks;
        line.expectsContinue = isSameHeaderName(headerValue(line.headers, "Expect"),
                                                "100-continue");
        line.hasBody = headerCount(line.headers, "Content-Length") != 0
                || headerCount(line.headers, "Transfer-Encoding") != 0;
        if (!hasUnambiguousFraming(line.headers))
            return Error{ ResultCode::MalformedRequest, "request body length is ambiguous" };
        self.head = std::move(line);
    }
    return self.parser.is_done();
}

bool RequestReader::isHeadRead() const
{
    return this->impl->head.has_value();
}

bool RequestReader::hasBegun() const
{
    return this->impl->hasBegun;
}

const RequestHead &RequestReader::head() const
{
    return *this->impl->head;
}

std::string &RequestReader::body()
{
    return this->impl->parser.get().body();
}

std::size_t RequestReader::heldBytes() const
{
    // The parser's fields and those of the head are a copy each, with an allocation a field.
    constexpr std::size_t copiesOfHead = 3;
    return this->impl->headLength * copiesOfHead + this->impl->parser.get().body().capacity();
}

struct ResponseReader::Impl
{
    ResponseParser parser;
    std::optional<ResponseHead> head;
};

ResponseReader::ResponseReader(bool isHeadOnly)
    : impl(std::make_unique<Impl>())
{
    this->impl->parser.header_limit(maxAnswerHeadBytes);
    this->impl->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    this->impl->parser.skip(isHeadOnly);
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader &&) noexcept = default;
ResponseReader &ResponseReader::operator=(ResponseReader &&) noexcept = default;

Result<bool> ResponseReader::read(std::string &buffer)
{
    Impl &self = *this->impl;
    // The parser consumes a line only with the byte behind it, so a folded one is still there.
    if (!self.head && hasFoldedLine(buffer))
        return Error{ ResultCode::UpstreamFailed, "response head contains a folded header line" };
    const Fed fed = feed(self.parser, buffer, maxAnswerHeadBytes);
    if (fed.error == beast::http::error::header_limit)
        return Error{ ResultCode::AnswerOversized, "the head of an answer exceeds its bound" };
    if (fed.error)
        return Error{ ResultCode::UpstreamFailed, fed.error.message() };
    if (fed.isChunkFramingTooLong)
        return Error{ ResultCode::AnswerOversized, "a size line or trailer exceeds its bound" };
    if (!self.head && self.parser.is_header_done()) {
        const auto &message = self.parser.get();
        ResponseHead head;
        head.status = static_cast<int>(message.result_int());
        head.reason = toString(message.reason());
        head.headers = headersOf(message);
        head.keepsConnection = message.keep_alive();
        head.framing = framingOf(self.parser);
        if (!isValidStatus(head.status))
            return Error{ ResultCode::UpstreamFailed,
                          "response status is not one of the protocol" };
        if (!hasUnambiguousFraming(head.headers))
            return Error{ ResultCode::UpstreamFailed, "response body length is ambiguous" };
        self.head = std::move(head);
    }
    return self.parser.is_done();
}

bool ResponseReader::finish()
{
    beast::error_code error;
    if (this->impl->head)
        this->impl->parser.put_eof(error);
    return this->impl->head && !error && this->impl->parser.is_done();
}

bool ResponseReader::isHeadRead() const
{
    return this->impl->head.has_value();
}

const ResponseHead &ResponseReader::head() const
{
    return *this->impl->head;
}

std::string ResponseReader::takeBody()
{
    return std::exchange(this->impl->parser.get().body(), {});
}

} // namespace azurewell
