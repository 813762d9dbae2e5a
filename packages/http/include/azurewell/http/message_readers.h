#pragma once

#include "azurewell/http/message.h"
#include "azurewell/units/result.h"

#include <memory>
#include <string>
#include <string_view>

namespace azurewell {

/// Limits on what a caller may send, in bytes.
struct RequestLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4ULL * 1024 * 1024;
};

/// Incremental parser for one request.
///
/// Rejects heads with ambiguous framing (two lengths, a length together with chunked coding, an
/// unknown transfer coding, folded lines), because they allow request smuggling: a second request
/// hidden inside the first would run without its key being checked. After such an error the
/// connection must be closed.
class RequestReader
{
public:
    explicit RequestReader(const RequestLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Consumes bytes from the front of \a buffer. Returns true once the request is complete; the
    /// rest of \a buffer belongs to the next request. Errors: MalformedRequest, HeadTooLarge,
    /// BodyTooLarge.
    Result<bool> read(std::string &buffer);

    bool isHeadRead() const;
    bool hasBegun() const;           ///< At least one byte of the request has arrived.
    const RequestHead &head() const; ///< Valid once isHeadRead().
    std::string &body();
    /// The memory that the request takes so far, about.
    std::size_t heldBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Incremental parser for one response.
///
/// Rejects statuses outside 100 to 599, and folded lines: one that begins with a blank may be meant
/// as a field, such as the length of the body.
class ResponseReader
{
public:
    /// \a isHeadOnly: the response to a HEAD request, which has no body even if it states a length.
    explicit ResponseReader(bool isHeadOnly);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    /// Consumes bytes from the front of \a buffer. Returns true once the response is complete.
    /// Errors: UpstreamFailed if the bytes are not a valid response; AnswerOversized if a part that
    /// is no body exceeds its bound (message_bounds.h).
    Result<bool> read(std::string &buffer);

    /// To be called when the connection has closed in an orderly way. Returns true if that
    /// completes the response.
    bool finish();

    bool isHeadRead() const;
    const ResponseHead &head() const; ///< Valid once isHeadRead().
    std::string takeBody();           ///< The part of the body that arrived since the last call.

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace azurewell
