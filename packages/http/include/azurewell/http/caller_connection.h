#pragma once

#include "azurewell/http/caller_memory.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/http/message_readers.h"
#include "azurewell/http/tcp_stream.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace azurewell {

/// Timeouts of a caller's connection.
struct CallerTimeouts
{
    /// From the first byte of a request until it is complete.
    Span head{};
    /// From the previous response, or from the start, until the first byte of the next request.
    Span idle{};
};

/// One connection of a caller. Processes one request at a time.
class CallerConnection
{
public:
    struct Handlers
    {
        /// request() and body() are complete. The caller has not left, unless its requests are
        /// answered at once.
        std::function<void()> onRequest;
        std::function<void(const Error &)> onBadRequest; ///< Answer it; the connection then closes.
        std::function<void()> onDisconnected;            ///< The caller has closed the connection.
        std::function<void()> onDrained;                 ///< All written bytes have been sent.
        /// May be empty: much has come behind the open request (true), and it was answered (false).
        std::function<void(bool)> onMuchBehind{};
        /// May be empty: bytes of this caller have come while more is held for all than may be.
        std::function<void()> onMemoryShort{};
    };

    CallerConnection(UniqueFd descriptor, const RequestLimits &limits, Handlers handlers,
                     Instant now);

    /// All requests are answered from within onRequest, so that a caller may close its direction
    /// once it has asked.
    void setAnsweredAtOnce()
    {
        this->isAnsweredAtOnce = true;
    }

    /// Counts what the connection holds in \a memory, which must outlive it.
    void countIn(CallerMemory &memory);

    /// The memory that the connection takes, in bytes. That of an open request counts its body
    /// twice, as it is sent to a server.
    std::size_t heldBytes() const
    {
        return this->share.bytes();
    }

    const RequestHead &request() const
    {
        return this->reader.head();
    }
    bool isHeadRead() const
    {
        return this->reader.isHeadRead();
    }
    std::string &body()
    {
        return this->reader.body();
    }

    /// Reads what has come, before the event loop says so.
    void readNow()
    {
        this->stream->readNow();
    }

    /// Writes a complete response and starts to read the next request.
    void answer(int status, std::string_view reason, const std::vector<HttpHeader> &headers,
                std::string_view body, Instant now);

    /// Answers the request, which may be unfinished, and closes the connection with the answer.
    void answerAndClose(int status, std::string_view reason, const std::vector<HttpHeader> &headers,
                        std::string_view body, Instant now);

    /// Starts a response of unknown length; complete() or abort() ends it. \a framing is Chunked,
    /// or Close, which ends the connection with the response.
    void beginBody(int status, std::string_view reason, const std::vector<HttpHeader> &headers,
                   BodyFraming framing);
    /// Sends the next part of the body. \a data must not be empty.
    void sendBody(std::string_view data);
    void complete(Instant now);

    /// Resets the connection, so that the caller cannot take a partial response for a complete one.
    void abort();

    /// Closes the connection after the next response; at once if it is idle and \a isNow is set.
    void close(bool isNow);

    /// Whether a timeout has expired while waiting for a request.
    bool isTimedOut(const CallerTimeouts &timeouts, Instant now) const;

    /// Asks the kernel whether the caller has left, which reading shows only after the bytes that
    /// are still unread. If so, calls onDisconnected.
    bool detectLeaving();

    /// Whether the connection isn't read from, as too much has come behind the open request.
    bool isReadingPaused() const
    {
        return this->isPaused;
    }
    /// Bytes that have come behind the open request, or behind answers that the caller doesn't
    /// read.
    std::size_t bytesBehind() const;
    /// Reads up to \a bytes more behind the open request.
    void readMoreBehind(std::size_t bytes);
    /// Drops what has come and comes behind the open request; the connection closes after the
    /// response. The end of the connection, which is behind it, is seen so.
    void dropBehind();

    bool isAnswering() const
    {
        return this->isInRequest;
    }
    /// Whether a part of a request has been read, or the whole, which has not been begun.
    bool isReadingRequest() const
    {
        return !this->isInRequest && !this->isClosing && this->hasBegun();
    }
    bool hasBegun() const
    {
        return this->reader.hasBegun();
    }
    /// Whether a request has been answered on this connection.
    bool hasAnswered() const
    {
        return this->isAnswered;
    }
    /// When the current request began to arrive, or else the connection became idle.
    Instant waitingSince() const
    {
        return this->begunAt.micros != 0 ? this->begunAt : this->idleSince;
    }
    std::size_t unsentBytes() const
    {
        return this->stream->unsentBytes();
    }
    /// Whether the connection can be destroyed: the caller has disconnected, the linger time after
    /// the end of the last response has passed, or the caller has taken nothing of a response for
    /// long.
    bool isFinished(Instant now) const;

    /// Limits of the requests that begin from now on.
    void setLimits(const RequestLimits &newLimits);

private:
    void receive();
    bool readRequest();
    bool mayReadRequest() const;
    void pauseReading(bool paused);
    void reportMuchBehind(bool isMuch);
    void dropReceived();
    void handleDrained();
    void endWritingIfDone();
    void startNextRequest(Instant now);
    void handleEnd();
    bool keepsConnection() const;
    void countMemory();

    RequestLimits limits;
    Handlers handlers;
    RequestReader reader;
    MemoryShare share;
    std::unique_ptr<TcpStream> stream;
    Instant idleSince; ///< When the last response was written, or its last byte was sent.
    Instant begunAt;   ///< When the first byte of the current request arrived; zero: it hasn't.
    std::size_t maxBehind = maxPipelinedBytes; ///< Bytes behind the open request that are read.
    std::size_t droppedBytes = 0;
    BodyFraming bodyFraming = BodyFraming::Chunked; ///< Of the response that beginBody() started.
    bool isInRequest = false;
    bool isAnswered = false; ///< A request has been.
    bool isClosing = false;
    bool isDisconnected = false;
    bool isContinueSent = false;
    bool isReceiving = false;  ///< receive() is on the stack.
    bool isPaused = false;     ///< The caller sends too much before its request is answered.
    bool isMuchBehind = false; ///< As last reported.
    bool isAnsweredAtOnce = false;
    bool isDropping = false; ///< See dropBehind().
};

} // namespace azurewell
