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
/// QHttpServer bounds neither head nor body, waits for slow senders without end, and answers a
/// second request on the connection before the first, unlabelled. The guard counts the bytes of
/// each request, refuses what is too large or too slow, and drops a second request that comes
/// before the first was answered: it was never begun, and the connection is closed after the first
/// answer.
class CallerGuard : public QObject
{
public:
    using Refused = std::function<void(ResultCode)>;

    CallerGuard(QTcpSocket *socket, const Settings &settings, Refused refused);

    /// The answer to the present request is written whole.
    void answerDone();
    /// Closes the connection where its deadline has passed.
    void checkDeadline(Instant now);
    bool hasUnsentBytes() const;
    /// Whether a request has come whole and waits for its answer. QHttpServer may take for whole
    /// what the guard does not, such as a head with bare line feeds; that must not be begun.
    bool isAnswering() const
    {
        return this->phase == Phase::Answering;
    }
    /// Answers with \a error and closes the connection.
    void refuse(const Error &error);
    /// Closes the connection now, or after the answer that is on its way.
    void closeWhenIdle();

private:
    enum class Phase : std::uint8_t { Idle, Head, Body, Answering, Closing };

    void readyRead();
    void takeHeadBytes(const QByteArray &bytes);
    void beginBody(qsizetype headBytes);
    void countBody(qsizetype bytes);
    void close();

    QTcpSocket *socket;
    const Settings &settings;
    Refused refused;
    Phase phase = Phase::Idle;
    Instant deadline;
    QByteArray head; ///< Of the present request, until it is whole.
    qint64 bodyLeft = 0;
    bool closesAfterAnswer = false;
};

/// Hands guarded sockets to QHttpServer.
class GuardedTcpServer : public QTcpServer
{
public:
    GuardedTcpServer(const Settings &settings, CallerGuard::Refused refused, QObject *parent);

    /// The guard of \a socket, or null.
    static CallerGuard *guardOf(QTcpSocket *socket);
    void checkDeadlines(Instant now);
    /// Closes connections without a request, and the others after their present one.
    void closeIdle();
    /// Whether any caller's connection has bytes that were not handed to the kernel yet.
    bool hasUnsentBytes() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    void forgetClosed();

    const Settings &settings;
    CallerGuard::Refused refused;
    QList<QPointer<CallerGuard>> guards;
};

} // namespace azurewell
