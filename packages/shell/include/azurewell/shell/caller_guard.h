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

    CallerGuard(QTcpSocket *socket, const Settings &settings, RefusalHandler reportRefusal);

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
    /// Responds with \a error and closes the connection.
    void refuse(const Error &error);
    /// Closes the connection now, or after the pending response.
    void closeWhenIdle();

private:
    enum class Phase : std::uint8_t { Idle, Head, Body, Answering, Closing };

    void readyRead();
    void readHeadBytes(const QByteArray &bytes);
    void beginBody(qsizetype headBytes);
    void countBody(qsizetype bytes);
    void close();

    QTcpSocket *socket;
    const Settings &settings;
    RefusalHandler reportRefusal;
    Phase phase = Phase::Idle;
    Instant deadline;
    QByteArray head; ///< Head of the current request, until complete.
    qint64 remainingBodyBytes = 0;
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

    const Settings &settings;
    CallerGuard::RefusalHandler reportRefusal;
    QList<QPointer<CallerGuard>> guards;
};

} // namespace azurewell
