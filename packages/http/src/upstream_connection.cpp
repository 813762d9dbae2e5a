#include "azurewell/http/upstream_connection.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message_bounds.h"

#include <charconv>

namespace azurewell {

namespace {

/// The `timeout` parameter of a Keep-Alive header; 0 if there is none.
Span keepAliveOf(const ResponseHead &head)
{
    const std::string_view value = headerValue(head.headers, "Keep-Alive");
    const std::size_t at = value.find("timeout=");
    if (at == std::string_view::npos)
        return Span{};
    const std::string_view digits = value.substr(at + std::string_view("timeout=").size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

bool isInterim(const ResponseHead &head)
{
    return head.status >= 100 && head.status < 200;
}

} // namespace

UpstreamConnection::UpstreamConnection(const Endpoint &to, Instant deadline,
                                       std::function<void()> onIdle, std::function<void()> onClosed)
    : connectDeadline(deadline)
    , idleHandler(std::move(onIdle))
    , closedHandler(std::move(onClosed))
{
    this->stream = TcpStream::open(to,
                                   { [this] { this->handleOpened(); },
                                     [this] { this->receive(); },
                                     [this](StreamEnd how) { this->handleEnd(how); },
                                     {} });
}

void UpstreamConnection::startExchange(const std::string &request, bool isHeadOnly,
                                       ExchangeHandlers handlers)
{
    this->exchange = std::make_unique<Exchange>();
    this->exchange->handlers = std::move(handlers);
    this->exchange->isHeadOnly = isHeadOnly;
    this->exchange->begin();
    this->stream->write(request);
}

/// Prepares for the next response.
void UpstreamConnection::Exchange::begin()
{
    this->reader = ResponseReader(this->isHeadOnly);
    this->isHeadDelivered = false;
    this->isUnrelated = false;
    this->events.reset();
    this->openEventBytes = 0;
}

/// Whether the response, whose body has ended as its framing says, misses its end. Nothing but an
/// event shows that a stream without framing was written at all.
bool UpstreamConnection::Exchange::isTruncated() const
{
    if (!this->events)
        return false;
    const bool isUnframed = this->reader.head().framing == BodyFraming::Close;
    return !this->events->isBetweenEvents() || (isUnframed && this->events->eventCount() == 0);
}

/// Counts \a bytes of the current response, which is unrelated. Whether its kind stays within its
/// bounds.
bool UpstreamConnection::Exchange::countUnrelated(std::size_t bytes)
{
    (isInterim(this->reader.head()) ? this->interimBytes : this->strayBytes) += bytes;
    return this->answersBefore <= maxAnswersBefore && this->interimBytes <= maxInterimAnswerBytes
            && this->strayBytes <= maxStrayAnswerBytes;
}

/// Reads the next part of an event stream. Whether the event that it leaves open, if any, is within
/// its bound.
bool UpstreamConnection::Exchange::readEvents(const std::string &body)
{
    const std::uint64_t eventsBefore = this->events->eventCount();
    this->events->read(body);
    if (this->events->eventCount() != eventsBefore || this->events->isBetweenEvents())
        this->openEventBytes = 0;
    else
        this->openEventBytes += body.size();
    return this->openEventBytes <= maxEventBytes;
}

void UpstreamConnection::abandon()
{
    this->exchange.reset();
    this->stream->abort();
    if (!std::exchange(this->isClosed, true))
        this->closedHandler();
}

void UpstreamConnection::failConnect()
{
    if (this->exchange)
        this->fail(ExchangeFailure::NotSent);
    else
        this->abandon();
}

/// A process that was paused while its connection opened may resume with a request that must no
/// longer be sent: an order from a host that is no longer the coordinator, or a request past its
/// deadline, or one of a caller that has left.
void UpstreamConnection::handleOpened()
{
    if (monotonicNow() >= this->connectDeadline) {
        this->failConnect();
        return;
    }
    if (!this->exchange || !this->exchange->handlers.beforeSending)
        return;
    const std::function<void()> beforeSending = this->exchange->handlers.beforeSending;
    beforeSending();
}

void UpstreamConnection::receive()
{
    if (!this->exchange) {
        // Unsolicited bytes belong to no request, so the connection must not be reused.
        this->abandon();
        return;
    }
    const std::shared_ptr<bool> destroyed = this->isDestroyed;
    while (!*destroyed && this->exchange && !this->stream->received().empty()) {
        if (!this->readResponse())
            return;
    }
}

/// Continues to read the current response. Returns false if nothing more can be read now.
bool UpstreamConnection::readResponse()
{
    const std::shared_ptr<bool> destroyed = this->isDestroyed;
    Exchange &current = *this->exchange;
    const std::size_t bytesBefore = this->stream->received().size();
    const Result<bool> isWhole = current.reader.read(this->stream->received());
    if (!isWhole) {
        const bool isOversized = isWhole.error().code == ResultCode::AnswerOversized;
        this->fail(isOversized ? ExchangeFailure::Oversized : ExchangeFailure::Malformed);
        return false;
    }
    if (current.reader.isHeadRead() && !current.isHeadDelivered) {
        this->deliverHead();
        if (*destroyed || !this->exchange)
            return false;
    }
    const std::size_t bytesRead = bytesBefore - this->stream->received().size();
    if (current.isUnrelated && !current.countUnrelated(bytesRead)) {
        this->fail(ExchangeFailure::Oversized);
        return false;
    }
    std::string body = current.reader.takeBody();
    if (current.events && !current.readEvents(body)) {
        this->fail(ExchangeFailure::Oversized);
        return false;
    }
    if (!body.empty() && !current.isUnrelated) {
        // The handler may abandon the exchange, which deletes it.
        const std::function<void(std::string)> onBody = current.handlers.onBody;
        onBody(std::move(body));
        if (*destroyed || !this->exchange)
            return false;
    }
    if (!isWhole.value())
        return false;
    if (!current.isUnrelated) {
        this->end();
        return false;
    }
    current.begin();
    return true;
}

void UpstreamConnection::deliverHead()
{
    Exchange &current = *this->exchange;
    const ResponseHead &head = current.reader.head();
    current.isHeadDelivered = true;
    current.isUnrelated = isInterim(head) || !current.handlers.matchesRequest(head);
    if (current.isUnrelated) {
        ++current.answersBefore;
        this->hasReadStray = this->hasReadStray || !isInterim(head);
        return;
    }
    if (!current.isHeadOnly && isEventStream(head.headers))
        current.events.emplace();
    this->keepAlive = keepAliveOf(head);
    this->keepsConnection = head.keepsConnection && head.framing != BodyFraming::Close;
    const std::function<void(const ResponseHead &)> onHead = current.handlers.onHead;
    onHead(head);
}

/// The body has ended as its framing says.
void UpstreamConnection::end()
{
    if (this->exchange->isTruncated())
        this->fail(ExchangeFailure::Truncated);
    else
        this->complete();
}

void UpstreamConnection::complete()
{
    const std::unique_ptr<Exchange> done = std::move(this->exchange);
    // A response may arrive before the whole request was sent. The upstream would take the rest of
    // the request for the next one, and bytes after the response belong to no request.
    const bool isReusable = this->keepsConnection && !this->hasReadStray
            && this->stream->unsentBytes() == 0 && this->stream->received().empty()
            && this->stream->isOpen();
    const std::shared_ptr<bool> destroyed = this->isDestroyed;
    done->handlers.onComplete();
    if (*destroyed || this->isClosed)
        return;
    if (isReusable)
        this->idleHandler();
    else
        this->abandon();
}

void UpstreamConnection::handleEnd(StreamEnd how)
{
    if (!this->exchange) {
        this->abandon();
        return;
    }
    Exchange &current = *this->exchange;
    // A response without framing ends with its connection. A server that closes before it has
    // received the whole request may have crashed in the middle of that response.
    if (how == StreamEnd::Finished && current.isHeadDelivered && !current.isUnrelated
        && this->stream->isAllReceivedByPeer() && current.reader.finish()) {
        this->keepsConnection = false;
        this->end();
        return;
    }
    const bool isUnsent = how == StreamEnd::ConnectFailed || !this->stream->hasSent();
    this->fail(isUnsent ? ExchangeFailure::NotSent : ExchangeFailure::CutOff);
}

void UpstreamConnection::fail(ExchangeFailure failure)
{
    const std::unique_ptr<Exchange> done = std::move(this->exchange);
    const std::shared_ptr<bool> destroyed = this->isDestroyed;
    done->handlers.onFailure(failure);
    if (!*destroyed)
        this->abandon();
}

} // namespace azurewell
