#include "azurewell/shell/caller_guard.h"

#include "azurewell/shell/http_text.h"
#include "azurewell/shell/request_head.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr const char *headEnd = "\r\n\r\n";

} // namespace

CallerGuard::CallerGuard(QTcpSocket *callerSocket, const Settings &limits, RefusalHandler onRefused)
    : QObject(callerSocket)
    , socket(callerSocket)
    , settings(limits)
    , reportRefusal(std::move(onRefused))
    , deadline(monotonicNow() + limits.requestReadTimeout)
{
    // Connected before QHttpServer, so that the guard sees each byte first.
    QObject::connect(this->socket, &QTcpSocket::readyRead, this, [this] { this->readyRead(); });
}

void CallerGuard::readyRead()
{
    // QHttpServer has consumed all earlier bytes, so all available bytes are new.
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
        return;
    case Phase::Body:
        this->countBody(bytes.size());
        return;
    case Phase::Closing:
    case Phase::Answering:
        this->socket->readAll(); // pipelined request: dropped unprocessed
        this->closesAfterResponse = true;
        return;
    }
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
    this->socket->write(
            refusalAnswer(Refuse{ RequestId{}, error.code, RunState::NotRun, {}, error.detail }));
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
    if (static_cast<std::uint32_t>(this->guards.size()) >= maxPerThread) {
        this->reportRefusal(ResultCode::TooManyConnections);
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        socket->write(refusalAnswer(
                Refuse{ RequestId{}, ResultCode::TooManyConnections, RunState::NotRun, {}, {} }));
        socket->disconnectFromHost();
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    CallerGuard *guard = new CallerGuard(socket, this->settings, this->reportRefusal);
    guard->setObjectName("guard");
    this->guards.push_back(guard);
    this->addPendingConnection(socket);
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
