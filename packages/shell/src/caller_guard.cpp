#include "azurewell/shell/caller_guard.h"

#include "azurewell/shell/http_text.h"
#include "azurewell/shell/request_head.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr const char *headEnd = "\r\n\r\n";

/// The requests that are held are added up once for so many bytes that have come.
constexpr qint64 bytesBetweenSums = 64LL * 1024;

constexpr Span overloadRetryAfter = std::chrono::seconds(1);

} // namespace

CallerGuard::CallerGuard(QTcpSocket *callerSocket, const Settings &limits, RefusalHandler onRefused,
                         BytesHandler onBytes)
    : QObject(callerSocket)
    , socket(callerSocket)
    , settings(limits)
    , reportRefusal(std::move(onRefused))
    , handleBytes(std::move(onBytes))
    , deadline(monotonicNow() + limits.requestReadTimeout)
{
    // Connected before QHttpServer, so that the guard sees each byte first.
    QObject::connect(this->socket, &QTcpSocket::readyRead, this, [this] { this->readyRead(); });
}

void CallerGuard::readyRead()
{
    // QHttpServer has consumed all earlier bytes, so all available bytes are new. It reads in a
    // transaction, which keeps a copy of them for protocols that this host doesn't speak.
    if (this->socket->isTransactionStarted())
        this->socket->commitTransaction();
    const QByteArray bytes = this->socket->peek(this->socket->bytesAvailable());
    if (bytes.isEmpty())
        return;
    switch (this->phase) {
    case Phase::Idle:
        this->phase = Phase::Head;
        this->deadline = monotonicNow() + this->settings.requestReadTimeout;
        [[fallthrough]];
    case Phase::Head:
        this->readHeadBytes(bytes);
        this->noteBytes(bytes.size());
        return;
    case Phase::Body:
        this->countBody(bytes.size());
        this->noteBytes(bytes.size());
        return;
    case Phase::Closing:
    case Phase::Answering:
        this->socket->readAll(); // pipelined request: dropped unprocessed
        this->closesAfterResponse = true;
        return;
    }
}

void CallerGuard::noteBytes(qsizetype bytes)
{
    if (this->phase == Phase::Closing)
        return;
    this->requestBytes += bytes;
    const bool hasRoom = this->handleBytes(bytes);
    // QHttpServer has not read the end of the request yet.
    if (!hasRoom && this->phase == Phase::Answering)
        this->refuse(Error{ ResultCode::HostOverloaded, {} });
}

void CallerGuard::readHeadBytes(const QByteArray &bytes)
{
    this->head += bytes;
    const qsizetype end = this->head.indexOf(headEnd);
    const qsizetype headBytes = end < 0 ? this->head.size() : end + 4;
    if (headBytes > static_cast<qsizetype>(this->settings.maxHeadBytes)) {
        this->refuse(Error{ ResultCode::HeadTooLarge, {} });
        return;
    }
    if (end >= 0)
        this->beginBody(headBytes);
}

void CallerGuard::beginBody(qsizetype headBytes)
{
    const qsizetype receivedBodyBytes = this->head.size() - headBytes;
    const Result<RequestHead> read = readRequestHead(this->head.left(headBytes));
    this->head.clear();
    if (!read) {
        this->refuse(read.error());
        return;
    }
    if (read.value().contentLength > static_cast<qint64>(this->settings.maxBodyBytes)) {
        this->refuse(Error{ ResultCode::BodyTooLarge, {} });
        return;
    }
    this->closesAfterResponse = this->closesAfterResponse || read.value().closes;
    this->phase = Phase::Body;
    this->remainingBodyBytes = read.value().contentLength;
    this->countBody(receivedBodyBytes);
}

void CallerGuard::countBody(qsizetype bytes)
{
    this->remainingBodyBytes -= bytes;
    if (this->remainingBodyBytes < 0) {
        // Two requests in one write: QHttpServer would mix up the responses, so both are rejected.
        this->refuse(Error{ ResultCode::PipelinedRequest, {} });
        return;
    }
    if (this->remainingBodyBytes == 0)
        this->phase = Phase::Answering;
}

void CallerGuard::responseSent()
{
    if (this->phase != Phase::Answering)
        return;
    if (this->closesAfterResponse) {
        this->close();
        return;
    }
    this->phase = Phase::Idle;
    this->requestBytes = 0;
    this->deadline = monotonicNow() + this->settings.keepAlive;
}

void CallerGuard::closeWhenIdle()
{
    this->closesAfterResponse = true;
    if (this->phase == Phase::Idle)
        this->close();
}

/// Closes once all bytes are written, with a deadline: a caller that never reads would keep the
/// connection open forever.
void CallerGuard::close()
{
    this->phase = Phase::Closing;
    this->requestBytes = 0;
    this->deadline = monotonicNow() + this->settings.callerReadTimeout;
    this->socket->disconnectFromHost();
}

void CallerGuard::checkDeadline(Instant now)
{
    if (this->phase == Phase::Answering || now < this->deadline)
        return;
    if (this->phase == Phase::Closing)
        this->socket->abort();
    else if (this->phase == Phase::Idle)
        this->close();
    else
        this->refuse(Error{ ResultCode::SenderTooSlow, {} });
}

void CallerGuard::abort()
{
    this->phase = Phase::Closing;
    this->requestBytes = 0;
    this->socket->abort();
}

bool CallerGuard::hasUnsentBytes() const
{
    return this->socket->bytesToWrite() > 0;
}

void CallerGuard::refuse(const Error &error)
{
    this->reportRefusal(error.code);
    this->socket->readAll();
    QObject::disconnect(this->socket, &QTcpSocket::readyRead, nullptr, nullptr);
    // Reads and drops further bytes: closing with unread bytes resets the connection, and the
    // caller would lose the response.
    QObject::connect(this->socket, &QTcpSocket::readyRead, this,
                     [this] { this->socket->readAll(); });
    Refuse refusal{ RequestId{}, error.code, RunState::NotRun, {}, error.detail };
    if (error.code == ResultCode::HostOverloaded)
        refusal.retryAfter = overloadRetryAfter;
    this->socket->write(refusalAnswer(refusal));
    this->close();
}

GuardedTcpServer::GuardedTcpServer(const Settings &limits, CallerGuard::RefusalHandler onRefused,
                                   QObject *parent)
    : QTcpServer(parent)
    , settings(limits)
    , reportRefusal(std::move(onRefused))
{
}

void GuardedTcpServer::incomingConnection(qintptr descriptor)
{
    QTcpSocket *socket = new QTcpSocket(this);
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    const std::uint32_t maxPerThread = std::max(
            1U, this->settings.maxConnections / this->settings.trafficThreads);
    if (static_cast<std::uint32_t>(this->guards.size()) >= maxPerThread)
        this->removeClosed();
    if (static_cast<std::uint32_t>(this->guards.size()) >= maxPerThread && !this->endOldest()) {
        this->reportRefusal(ResultCode::TooManyConnections);
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        socket->write(refusalAnswer(
                Refuse{ RequestId{}, ResultCode::TooManyConnections, RunState::NotRun, {}, {} }));
        socket->disconnectFromHost();
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    CallerGuard *guard = new CallerGuard(
            socket, this->settings, this->reportRefusal,
            [this](qint64 bytes) { return this->countReceived(bytes); });
    guard->setObjectName("guard");
    this->guards.push_back(guard);
    this->addPendingConnection(socket);
}

/// Refuses the longest unfinished requests while the callers of this thread hold too much. Returns
/// whether they hold no more than they may.
bool GuardedTcpServer::countReceived(qint64 bytes)
{
    this->receivedSinceSum += bytes;
    if (this->receivedSinceSum < bytesBetweenSums && !this->isFull)
        return true;
    this->receivedSinceSum = 0;
    const std::uint64_t share = this->settings.maxHeldBytes / this->settings.trafficThreads;
    const std::uint64_t longest = this->settings.maxHeadBytes + this->settings.maxBodyBytes;
    const auto limit = static_cast<qint64>(std::max(share, longest));
    while (this->heldBytes() > limit && this->refuseLongest()) {}
    this->isFull = this->heldBytes() > limit;
    return !this->isFull;
}

qint64 GuardedTcpServer::heldBytes() const
{
    qint64 held = 0;
    for (const QPointer<CallerGuard> &guard : this->guards)
        held += guard ? guard->heldBytes() : 0;
    return held;
}

/// Ends the oldest connection that has no whole request. False if there is none.
bool GuardedTcpServer::endOldest()
{
    const auto isWithoutRequest = [](const QPointer<CallerGuard> &guard) {
        return guard && !guard->isAwaitingResponse();
    };
    const auto oldest = std::find_if(this->guards.begin(), this->guards.end(), isWithoutRequest);
    if (oldest == this->guards.end())
        return false;
    CallerGuard *guard = *oldest;
    this->guards.erase(oldest);
    guard->abort();
    return true;
}

/// False if no request is unfinished.
bool GuardedTcpServer::refuseLongest()
{
    CallerGuard *longest = nullptr;
    for (const QPointer<CallerGuard> &guard : std::as_const(this->guards)) {
        const bool isUnfinished = guard && guard->isReadingRequest();
        if (isUnfinished && (!longest || guard->heldBytes() > longest->heldBytes()))
            longest = guard;
    }
    if (longest)
        longest->refuse(Error{ ResultCode::HostOverloaded, {} });
    return longest != nullptr;
}

CallerGuard *GuardedTcpServer::guardOf(QTcpSocket *socket)
{
    return static_cast<CallerGuard *>(
            socket->findChild<QObject *>("guard", Qt::FindDirectChildrenOnly));
}

bool GuardedTcpServer::hasUnsentBytes() const
{
    const auto isUnsent = [](const QPointer<CallerGuard> &guard) {
        return guard && guard->hasUnsentBytes();
    };
    return std::any_of(this->guards.begin(), this->guards.end(), isUnsent);
}

void GuardedTcpServer::removeClosed()
{
    this->guards.removeIf([](const QPointer<CallerGuard> &guard) { return guard.isNull(); });
}

void GuardedTcpServer::closeIdle()
{
    for (const QPointer<CallerGuard> &guard : std::as_const(this->guards)) {
        if (guard)
            guard->closeWhenIdle();
    }
}

void GuardedTcpServer::checkDeadlines(Instant now)
{
    this->removeClosed();
    for (const QPointer<CallerGuard> &guard : std::as_const(this->guards)) {
        if (guard)
            guard->checkDeadline(now);
    }
}

} // namespace azurewell
