#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// One header line, as it was received.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// The head of a request.
struct RequestLine
{
    std::string method;
    std::string target; ///< Path and query, unchanged.
    std::vector<HttpHeader> headers;
    bool keepsConnection = true;
    bool expectsContinue = false;
    bool hasBody = false; ///< A length or chunks were announced, be it a length of 0.
};

/// The head of a response.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    std::vector<HttpHeader> headers;
    bool keepsConnection = true;
    bool endsWithConnection = false; ///< No length, no chunks: the end of the connection ends it.
};

/// The first header called \a name (letter case is ignored); empty where there is none.
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/// How many headers are called \a name.
std::size_t headerCount(const std::vector<HttpHeader> &headers, std::string_view name);

/// Whether two header names are the same; letter case is ignored.
bool isSameHeaderName(std::string_view a, std::string_view b);

/// Headers of \a all that are meant for the next hop only (RFC 9110, 7.6.1) are left out, and so
/// are the length and coding of the body, which each side states for itself.
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &all);

/// What a status means, in the words of RFC 9110.
const char *reasonPhrase(int status);

/// A whole request with a body of known length. The length is left out where \a hasBody is false.
std::string requestBytes(std::string_view method, std::string_view target,
                         const std::vector<HttpHeader> &headers, std::string_view body,
                         bool hasBody);

/// The head of a response. \a contentLength below 0 announces chunks instead.
std::string responseHeadBytes(int status, std::string_view reason,
                              const std::vector<HttpHeader> &headers, std::int64_t contentLength,
                              bool keepsConnection);

/// \a data as one chunk of a chunked body. \a data must not be empty.
std::string chunkBytes(std::string_view data);

/// The chunk that ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace azurewell
