#include "azurewell/http/caller_connection.h"

#include "azurewell/http/clock.h"

#include <algorithm>
#include <utility>

namespace azurewell {

namespace {

/// Time for the caller to close the connection after the last response. Closing it here while bytes
/// are unread would reset the connection, and the caller could lose the response.
constexpr Span lingerTimeout = std::chrono::milliseconds(1500);

/// A caller that takes no byte of a written response for so long is given up.
constexpr Span sendTimeout = std::chrono::seconds(10);

/// A body up to this length is sent together with its head; a longer one isn't copied for that.
constexpr std::size_t maxJoinedBytes = 16ULL * 1024;

/// What a connection takes beside its buffers: the objects for it, here and in Qt.
constexpr std::size_t connectionBytes = 4096;

} // namespace

CallerConnection::CallerConnection(UniqueFd descriptor, const RequestLimits &requestLimits,
                                   Handlers eventHandlers, Instant now)
    : limits(requestLimits)
    , handlers(std::move(eventHandlers))
    , reader(requestLimits)
    , idleSince(now)
{
    const std::function<void(StreamEnd)> onEnded = [this](StreamEnd) {
        this->handleEnd();
    };
    this->stream = TcpStream::adopt(std::move(descriptor),
                                    { {},
                                      [this] { this->receive(); },
                                      onEnded,
                                      [this] {
                                          this->handleDrained();
                                      } });
}

void CallerConnection::countIn(CallerMemory &memory)
{
    this->share = MemoryShare(memory);
    this->countMemory();
}

void CallerConnection::countMemory()
{
    this->stream->releaseUnused();
    const std::size_t copied = this->isInRequest ? this->reader.body().size() : 0;
    this->share.set(connectionBytes + this->reader.heldBytes() + this->stream->heldBytes() + copied,
                    this->isInRequest);
}

void CallerConnection::handleEnd()
{
    if (!std::exchange(this->isDisconnected, true))
        this->handlers.onDisconnected();
}

bool CallerConnection::detectLeaving()
{
    if (!this->isDisconnected && this->stream->hasPeerLeft())
        this->handleEnd();
    return this->isDisconnected;
}

void CallerConnection::handleDrained()
{
    this->idleSince = monotonicNow();
    this->endWritingIfDone();
    this->countMemory();
    this->handlers.onDrained();
    if (!this->isInRequest)
        this->receive();
}

void CallerConnection::receive()
{
    // A handler that answers at once starts the next request: without this loop each request in the
    // buffer would take a part of the stack.
    if (this->isReceiving)
        return;
    this->isReceiving = true;
    bool isMoreExpected = true;
    while (isMoreExpected && this->mayReadRequest() && !this->stream->received().empty())
        isMoreExpected = this->readRequest();
    this->isReceiving = false;
    if (this->isInRequest && this->isDropping)
        this->dropReceived();
    const bool isTooMuch = this->bytesBehind() > this->maxBehind;
    if (isTooMuch)
        this->reportMuchBehind(true);
    this->pauseReading(isTooMuch);
    this->countMemory();
    if (this->share.isOver() && this->handlers.onMemoryShort)
        this->handlers.onMemoryShort();
}

/// Whether the next bytes are read as a request. Those of a closing connection are dropped.
bool CallerConnection::mayReadRequest() const
{
    return !this->isInRequest && (this->isClosing || this->unsentBytes() <= maxUnsentAnswerBytes);
}

void CallerConnection::reportMuchBehind(bool isMuch)
{
    if (std::exchange(this->isMuchBehind, isMuch) != isMuch && this->handlers.onMuchBehind)
        this->handlers.onMuchBehind(isMuch);
}

std::size_t CallerConnection::bytesBehind() const
{
    return this->mayReadRequest() ? 0 : this->stream->received().size();
}

void CallerConnection::readMoreBehind(std::size_t bytes)
{
    this->maxBehind += bytes;
    this->receive();
}

void CallerConnection::dropBehind()
{
    this->isDropping = true;
    this->isClosing = true;
    this->receive();
}

void CallerConnection::dropReceived()
{
    this->droppedBytes += this->stream->received().size();
    std::string().swap(this->stream->received());
    if (this->droppedBytes <= maxDroppedBytes)
        return;
    this->stream->abort();
    this->handleEnd();
}

/// Continues to read the current request. Returns whether the next one may be in the buffer.
bool CallerConnection::readRequest()
{
    if (this->isClosing || this->isDisconnected) {
        this->stream->received().clear();
        return false;
    }
    const Result<bool> isWhole = this->reader.read(this->stream->received());
    if (this->begunAt.micros == 0)
        this->begunAt = monotonicNow();
    if (!isWhole) {
        this->isInRequest = true;
        this->isClosing = true;
        this->handlers.onBadRequest(isWhole.error());
        return true;
    }
    if (isWhole.value()) {
        this->countMemory();
        // The end of the connection may wait behind the request: one that was read late is not
        // begun for a caller that has left.
        if (!this->isAnsweredAtOnce && this->detectLeaving())
            return false;
        this->isInRequest = true;
        this->handlers.onRequest();
        return true;
    }
    if (this->reader.isHeadRead() && this->reader.head().expectsContinue && !this->isContinueSent) {
        this->isContinueSent = true;
        this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
}

void CallerConnection::pauseReading(bool paused)
{
    if (std::exchange(this->isPaused, paused) != paused)
        this->stream->pauseReading(paused);
}

bool CallerConnection::keepsConnection() const
{
    return !this->isClosing && this->reader.isHeadRead() && this->reader.head().keepsConnection;
}

void CallerConnection::answer(int status, std::string_view reason,
                              const std::vector<HttpHeader> &headers, std::string_view body,
                              Instant now)
{
    const int sent = finalStatus(status);
    if (sent != status) {
        this->answer(sent, reasonPhrase(sent), {}, {}, now);
        return;
    }
    this->isClosing = !this->keepsConnection();
    const bool isHeadOnly = this->reader.isHeadRead() && this->reader.head().method == "HEAD";
    std::string bytes = responseHeadBytes(status, reason, headers, BodyFraming::Length, body.size(),
                                          !this->isClosing);
    const bool isLong = body.size() > maxJoinedBytes;
    if (!isHeadOnly && !isLong)
        bytes += body;
    this->stream->write(bytes);
    if (!isHeadOnly && isLong)
        this->stream->write(body);
    this->startNextRequest(now);
}

void CallerConnection::answerAndClose(int status, std::string_view reason,
                                      const std::vector<HttpHeader> &headers, std::string_view body,
                                      Instant now)
{
    this->isClosing = true;
    this->answer(status, reason, headers, body, now);
}

void CallerConnection::beginBody(int status, std::string_view reason,
                                 const std::vector<HttpHeader> &headers, BodyFraming framing)
{
    this->bodyFraming = framing;
    this->isClosing = framing == BodyFraming::Close || !this->keepsConnection();
    // The end of the connection is the end of the body: it must not look so if the host ends first.
    if (framing == BodyFraming::Close)
        this->stream->setResetOnClose(true);
    this->stream->write(responseHeadBytes(status, reason, headers, framing, 0, !this->isClosing));
}

void CallerConnection::sendBody(std::string_view data)
{
    if (this->bodyFraming == BodyFraming::Chunked)
        this->stream->write(chunkBytes(data));
    else
        this->stream->write(data);
    this->countMemory();
}

void CallerConnection::complete(Instant now)
{
    if (this->bodyFraming == BodyFraming::Chunked)
        this->stream->write(lastChunk);
    this->startNextRequest(now);
}

void CallerConnection::abort()
{
    this->isClosing = true;
    this->isInRequest = false;
    this->isDisconnected = true;
    this->stream->abort();
    this->reader = RequestReader(this->limits);
    this->countMemory();
}

/// Closes the direction to the caller once all bytes of the last response are with the kernel,
/// which delivers them also if the process ends.
void CallerConnection::endWritingIfDone()
{
    if (!this->isClosing || this->isInRequest || this->stream->unsentBytes() > 0)
        return;
    this->stream->setResetOnClose(false);
    this->stream->shutdownWriting();
}

void CallerConnection::startNextRequest(Instant now)
{
    this->isInRequest = false;
    this->isAnswered = true;
    this->begunAt = {};
    this->isContinueSent = false;
    this->maxBehind = maxPipelinedBytes;
    this->reportMuchBehind(false);
    this->pauseReading(false);
    this->idleSince = now;
    this->reader = RequestReader(this->limits);
    if (this->isClosing) {
        this->endWritingIfDone();
        this->countMemory();
        return;
    }
    this->receive();
}

void CallerConnection::setLimits(const RequestLimits &newLimits)
{
    this->limits = newLimits;
    if (!this->isInRequest && !this->hasBegun())
        this->reader = RequestReader(newLimits);
}

void CallerConnection::close(bool isNow)
{
    this->isClosing = this->isClosing || this->isInRequest || isNow || !this->hasBegun();
    if (isNow)
        this->endWritingIfDone();
}

bool CallerConnection::isTimedOut(const CallerTimeouts &timeouts, Instant now) const
{
    if (this->isInRequest || this->isClosing || this->unsentBytes() > 0)
        return false;
    return this->hasBegun() ? now >= this->begunAt + timeouts.head
                            : now >= this->idleSince + timeouts.idle;
}

bool CallerConnection::isFinished(Instant now) const
{
    if (this->isDisconnected)
        return true;
    if (this->isInRequest)
        return false;
    if (this->unsentBytes() > 0)
        return now >= std::max(this->idleSince, this->stream->lastSentAt()) + sendTimeout;
    return this->isClosing && now >= this->idleSince + lingerTimeout;
}

} // namespace azurewell
