#pragma once

#include "azurewell/http/readers.h"
#include "azurewell/http/tcp_stream.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace azurewell {

/// How long a caller may take, and stay idle.
struct CallerPatience
{
    Span head{};
    Span idle{};
};

/// One connection of a caller; one request at a time.
class CallerConnection
{
public:
    struct Handlers
    {
        std::function<void()> onRequest;                 ///< request() and body() are whole.
        std::function<void(const Error &)> onBadRequest; ///< Answer it; the connection ends then.
        std::function<void()> onLeft;                    ///< The caller has closed.
        std::function<void()> onDrained;                 ///< All that was written is sent.
    };

    CallerConnection(UniqueFd descriptor, const RequestLimits &limits, Handlers handlers,
                     Instant now);

    const RequestLine &request() const
    {
        return this->reader.head();
    }
    std::string &body()
    {
        return this->reader.body();
    }

    /// Writes a whole response and goes on to the next request.
    void answer(int status, std::string_view reason, const std::vector<HttpHeader> &headers,
                std::string_view body, Instant now);

    /// Begins a response in chunks; complete() or breakOff() ends it.
    void beginChunks(int status, std::string_view reason, const std::vector<HttpHeader> &headers);
    void sendChunk(std::string_view data);
    void complete(Instant now);

    /// Ends a response that has begun so that it cannot be taken as whole.
    void breakOff();

    /// The next response is the last one; an idle connection is closed at once where \a isNow.
    void close(bool isNow);

    /// Whether the deadline for a head or for the next request has passed.
    bool isLate(const CallerPatience &patience, Instant now) const;

    bool isAnswering() const
    {
        return this->isInRequest;
    }
    bool hasBegun() const
    {
        return this->reader.hasBegun();
    }
    std::size_t unsentBytes() const
    {
        return this->stream->unsentBytes();
    }
    /// The connection can be destroyed: the caller has left, or had time to read the last answer.
    bool isFinished(Instant now) const;

private:
    void receive();
    void drained();
    void next(Instant now);
    bool keepsConnection() const;

    RequestLimits limits;
    Handlers handlers;
    RequestReader reader;
    std::unique_ptr<TcpStream> stream;
    Instant quietSince;
    bool isInRequest = false;
    bool isClosing = false;
    bool isLeft = false;
    bool isContinueSent = false;
};

} // namespace azurewell
