#pragma once

#include "azurewell/standins/standin_server.h"

#include <QtCore/QTimer>

#include <list>
#include <map>

namespace azurewell::standins {

/// Stand-in for the read-only configuration service: keys with blocking reads as Consul's KV has
/// them.
class Platform : public StandinServer
{
public:
    Platform();

    /// Publishes a value, as the operators' tools do.
    void publish(const QByteArray &key, const QByteArray &value);
    /// Publishes a ticket under tickets/<number> and moves tickets/head.
    void publishTicket(std::uint64_t number, const QByteArray &text);

    bool isDown = false; ///< Closes each connection unanswered.
    std::uint64_t calls = 0;

protected:
    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct Value
    {
        QByteArray content;
        std::uint64_t index = 0;
    };
    struct Waiter
    {
        QByteArray key;
        std::uint64_t index;
        QPointer<QTcpSocket> socket;
        qint64 until;
    };

    void reply(QTcpSocket *socket, const QByteArray &key);
    void answerWaiters();

    std::map<QByteArray, Value> values;
    std::list<Waiter> waiters;
    std::uint64_t index = 1;
    QTimer timer;
};

} // namespace azurewell::standins
