#pragma once

#include "azurewell/standins/standin_server.h"

#include <QtCore/QTimer>

#include <list>
#include <map>

namespace azurewell::standins {

/// Stand-in for the read-only configuration service: a key-value store with blocking reads like
/// Consul's KV store.
class ConfigurationService : public StandinServer
{
public:
    ConfigurationService();

    /// Publishes a value.
    void publish(const QByteArray &key, const QByteArray &value);
    /// Publishes a ticket under tickets/<number> and updates tickets/head.
    void publishTicket(std::uint64_t number, const QByteArray &text);

    bool isDown = false; ///< Closes each connection without a response.
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
