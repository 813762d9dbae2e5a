#pragma once

#include "azurewell/http/event_stream_scanner.h"
#include "azurewell/http/message_readers.h"
#include "azurewell/http/tcp_stream.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace azurewell {

/// Why an exchange with an upstream ended without a complete response.
enum class ExchangeFailure : std::uint8_t {
    NotSent,   ///< No byte of the request was sent: it cannot have run.
    CutOff,    ///< The connection closed before the end of the response; the request may have run.
    Truncated, ///< The response ended in order, but inside an event; the request may have run.
    Malformed, ///< The bytes received are not a valid response; the request may have run.
    Oversized, ///< A part of the response exceeds its bound; the request may have run.
};

/// Callbacks of an exchange. Each may destroy the object that started the exchange, but not the
/// connection.
struct ExchangeHandlers
{
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string)> onBody;
    std::function<void()> onComplete;
    std::function<void(ExchangeFailure)> onFailure;
    /// Returns whether a response with this head answers the request. One that doesn't is discarded
    /// and the next one on the connection is read: an upstream may send a response twice, and the
    /// duplicate then precedes the response to the following request.
    std::function<bool(const ResponseHead &)> matchesRequest;
    /// May be empty: the connection has opened, and the request is about to be sent unless it is
    /// cancelled now.
    std::function<void()> beforeSending{};
};

/// One connection to an upstream. Carries one exchange at a time.
class UpstreamConnection
{
public:
    /// \a onIdle is called when a complete response has been read and the connection can be reused;
    /// \a onClosed when it can no longer be used. Both may destroy the connection. Nothing is sent
    /// on a connection that is not open by \a connectDeadline.
    UpstreamConnection(const Endpoint &to, Instant connectDeadline, std::function<void()> onIdle,
                       std::function<void()> onClosed);

    /// Sends \a request. \a isHeadOnly: it is a HEAD request.
    void startExchange(const std::string &request, bool isHeadOnly, ExchangeHandlers handlers);

    /// Ends the exchange and closes the connection; no exchange handler is called afterwards.
    void abandon();

    /// Closes a connection that did not open in time and reports its request as not sent.
    void failConnect();

    /// Stops reading while \a paused, for a receiver that is slower than the upstream.
    void pauseReading(bool paused)
    {
        this->stream->pauseReading(paused);
    }

    void readOnIfReset()
    {
        this->stream->readOnIfReset();
    }

    bool isConnectOverdue(Instant now) const
    {
        return !this->isOpen() && now >= this->connectDeadline;
    }
    bool isBusy() const
    {
        return this->exchange != nullptr;
    }
    bool isOpen() const
    {
        return this->stream->isOpen();
    }
    /// The keep-alive timeout that the upstream states; 0: not stated.
    Span keepAliveTimeout() const
    {
        return this->keepAlive;
    }

private:
    struct Exchange
    {
        ExchangeHandlers handlers;
        ResponseReader reader{ false };
        bool isHeadOnly = false;
        bool isHeadDelivered = false;
        bool isUnrelated = false; ///< The current response is interim or to another request.
        std::optional<EventStreamScanner> events; ///< Of a response that is an event stream.
        std::size_t openEventBytes = 0;           ///< Since the end of the last event.
        std::uint32_t answersBefore = 0;          ///< Unrelated ones.
        std::size_t interimBytes = 0;
        std::size_t strayBytes = 0; ///< Of answers to other requests.

        void begin();
        bool isTruncated() const;
        bool countUnrelated(std::size_t bytes);
        bool readEvents(const std::string &body);
    };

    void handleOpened();
    void receive();
    bool readResponse();
    void deliverHead();
    void end();
    void complete();
    void handleEnd(StreamEnd how);
    void fail(ExchangeFailure failure);

    Instant connectDeadline;
    std::unique_ptr<TcpStream> stream;
    std::unique_ptr<Exchange> exchange;
    std::function<void()> idleHandler;
    std::function<void()> closedHandler;
    Span keepAlive{};
    bool isClosed = false;
    bool keepsConnection = true;
    /// An answer to another request has come: the next one may be late as well, and belong to a
    /// request that can't be told from the one that is open then.
    bool hasReadStray = false;
    std::shared_ptr<bool> isDestroyed = std::make_shared<bool>(false);

public:
    ~UpstreamConnection()
    {
        *this->isDestroyed = true;
    }
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;
};

} // namespace azurewell
