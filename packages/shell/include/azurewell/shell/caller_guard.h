#pragma once

#include "azurewell/http/clock.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QByteArray>
#include <QtCore/QPointer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <functional>

namespace azurewell {

/// Watches one caller connection before QHttpServer reads it.
///
/// QHttpServer limits neither head nor body, has no timeout for slow senders, and answers a
/// pipelined request before the first one, with nothing to tell the responses apart. The guard
/// counts the bytes of each request, rejects what is too large or too slow, and drops a pipelined
/// request unprocessed; the connection is then closed after the first response.
class CallerGuard : public QObject
{
public:
    using RefusalHandler = std::function<void(ResultCode)>;
    /// Called when bytes of a request have come; it may refuse an unfinished one. Returns whether
    /// there is room for a whole one.
    using BytesHandler = std::function<bool(qint64)>;

    CallerGuard(QTcpSocket *socket, const Settings &settings, RefusalHandler reportRefusal,
                BytesHandler onBytes);

    /// To be called once the response to the current request has been written completely.
    void responseSent();
    /// Enforces the deadline of the current phase.
    void checkDeadline(Instant now);
    bool hasUnsentBytes() const;
    /// Whether a complete request awaits its response. QHttpServer may accept a request that the
    /// guard considers incomplete, such as a head with bare line feeds; it must not be processed.
    bool isAwaitingResponse() const
    {
        return this->phase == Phase::Answering;
    }
    /// Bytes of the current request that have come.
    qint64 heldBytes() const
    {
        return this->requestBytes;
    }
    /// Whether a part of a request has come, but not all of it.
    bool isReadingRequest() const
    {
        return this->phase == Phase::Head || this->phase == Phase::Body;
    }
    /// Responds with \a error and closes the connection.
    void refuse(const Error &error);
    /// Closes the connection now, or after the pending response.
    void closeWhenIdle();
    /// Ends the connection at once.
    void abort();

private:
    enum class Phase : std::uint8_t { Idle, Head, Body, Answering, Closing };

    void readyRead();
    void readHeadBytes(const QByteArray &bytes);
    void beginBody(qsizetype headBytes);
    void countBody(qsizetype bytes);
    void close();
    void noteBytes(qsizetype bytes);

    QTcpSocket *socket;
    const Settings &settings;
    RefusalHandler reportRefusal;
    BytesHandler handleBytes;
    Phase phase = Phase::Idle;
    Instant deadline;
    QByteArray head; ///< Head of the current request, until complete.
    qint64 remainingBodyBytes = 0;
    qint64 requestBytes = 0; ///< Of the current request, until its response has been sent.
    bool closesAfterResponse = false;
};

/// Accepts connections and passes them to QHttpServer with a CallerGuard each.
class GuardedTcpServer : public QTcpServer
{
public:
    GuardedTcpServer(const Settings &settings, CallerGuard::RefusalHandler reportRefusal,
                     QObject *parent);

    /// Returns the guard of \a socket, or null.
    static CallerGuard *guardOf(QTcpSocket *socket);
    void checkDeadlines(Instant now);
    /// Closes idle connections now and the others after their current request.
    void closeIdle();
    /// Whether any connection has bytes not yet passed to the kernel.
    bool hasUnsentBytes() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    void removeClosed();
    bool countReceived(qint64 bytes);
    bool refuseLongest();
    bool endOldest();
    qint64 heldBytes() const;

    const Settings &settings;
    CallerGuard::RefusalHandler reportRefusal;
    QList<QPointer<CallerGuard>> guards;
    qint64 receivedSinceSum = 0; ///< Since all requests that are held were added up.
    bool isFull = false;         ///< As last added up.
};

} // namespace azurewell
