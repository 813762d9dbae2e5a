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

/// Reads one request from bytes that arrive in pieces.
///
/// A head that two readers could take differently (two lengths, a length beside chunks, a transfer
/// coding that is not known, folded lines) would let a caller hide a second request inside the
/// first, which would then run without its key. Such a head is an error, and its connection must
/// be closed.
class RequestReader
{
public:
    explicit RequestReader(const RequestLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Takes bytes from the front of \a buffer. True where the request is whole; what is left in
    /// \a buffer belongs to the next one. Errors: MalformedRequest, HeadTooLarge, BodyTooLarge.
    Result<bool> read(std::string &buffer);

    bool isHeadRead() const;
    bool hasBegun() const;           ///< A byte of the request has arrived.
    const RequestLine &head() const; ///< Valid once isHeadRead().
    std::string &body();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Reads one response from bytes that arrive in pieces.
class ResponseReader
{
public:
    /// \a isHeadOnly: the response to a HEAD request, which has no body whatever its length says.
    explicit ResponseReader(bool isHeadOnly);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    /// Takes bytes from the front of \a buffer. True where the response is whole. Errors:
    /// UpstreamFailed where the bytes are no response.
    Result<bool> read(std::string &buffer);

    /// The connection ended in an orderly way. True where that completes the response.
    bool finish();

    bool isHeadRead() const;
    const ResponseHead &head() const; ///< Valid once isHeadRead().
    std::string takeBody();           ///< What has arrived of the body since the last call.

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace azurewell
