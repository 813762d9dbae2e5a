#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// One header line as received.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// The head of a request.
struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, unchanged.
    std::vector<HttpHeader> headers;
    bool keepsConnection = true;
    bool acceptsChunks = true; ///< HTTP/1.1 or later.
    bool expectsContinue = false;
    bool hasBody = false; ///< A length (even 0) or chunked coding was announced.
};

/// How a response shows where its body ends.
enum class BodyFraming : std::uint8_t {
    Length,  ///< A length, or a status or method without a body.
    Chunked, ///< A last chunk.
    Close,   ///< Only the end of the connection: a part of the body looks like the whole.
};

/// The name of \a framing in log lines and metrics.
std::string_view nameOf(BodyFraming framing);

/// The head of a response.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    std::vector<HttpHeader> headers;
    bool keepsConnection = true;
    BodyFraming framing = BodyFraming::Length;
};

/// Whether \a status is one of the protocol (RFC 9110, 15). A parser takes any three digits.
constexpr bool isValidStatus(int status)
{
    return status >= 100 && status < 600;
}

/// The status that is sent for \a status: itself, or 502 if it can't end an exchange, wherever it
/// comes from.
constexpr int finalStatus(int status)
{
    constexpr int firstFinal = 200;
    constexpr int badGateway = 502;
    return isValidStatus(status) && status >= firstFinal ? status : badGateway;
}

/// Whether \a head states that the request was carried out (RFC 9110, 15.3).
constexpr bool isSuccess(const ResponseHead &head)
{
    return head.status >= 200 && head.status < 300;
}

/// The value of the first header called \a name, ignoring letter case; empty if there is none.
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/// How many headers are called \a name.
std::size_t headerCount(const std::vector<HttpHeader> &headers, std::string_view name);

/// Whether two header names are equal, ignoring letter case.
bool isSameHeaderName(std::string_view a, std::string_view b);

/// Returns \a all without hop-by-hop headers (RFC 9110, 7.6.1) and without the length and transfer
/// coding of the body, which each hop sets itself.
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &all);

/// The reason phrase of a status as in RFC 9110; "Status" for one that is not in the table.
const char *reasonPhrase(int status);

/// A complete request with a body of known length. Content-Length is omitted if \a hasBody is
/// false.
std::string requestBytes(std::string_view method, std::string_view target,
                         const std::vector<HttpHeader> &headers, std::string_view body,
                         bool hasBody);

/// The head of a response. \a contentLength, in bytes, is stated with BodyFraming::Length only.
std::string responseHeadBytes(int status, std::string_view reason,
                              const std::vector<HttpHeader> &headers, BodyFraming framing,
                              std::size_t contentLength, bool keepsConnection);

/// \a data as one chunk of a chunked body. \a data must not be empty.
std::string chunkBytes(std::string_view data);

/// The chunk that ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace azurewell
