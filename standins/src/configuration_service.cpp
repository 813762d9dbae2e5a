#include "azurewell/standins/configuration_service.h"

#include "azurewell/http/clock.h"

#include <QtCore/QUrl>
#include <QtCore/QUrlQuery>

namespace azurewell::standins {

namespace {

constexpr int waiterCheckMillis = 20;
const QString keyPath = "/v1/kv/";

} // namespace

ConfigurationService::ConfigurationService()
{
    QObject::connect(&this->timer, &QTimer::timeout, this, [this] { this->answerWaiters(); });
    this->timer.start(waiterCheckMillis);
}

void ConfigurationService::publish(const QByteArray &key, const QByteArray &value)
{
    this->values[key] = Value{ value, ++this->index };
}

void ConfigurationService::publishTicket(std::uint64_t number, const QByteArray &text)
{
    const QByteArray name = QByteArray::number(static_cast<quint64>(number));
    this->publish("azurewell/tickets/" + name, text);
    this->publish("azurewell/tickets/head", name);
}

void ConfigurationService::onRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    ++this->calls;
    if (this->isDown) {
        socket->disconnectFromHost();
        return;
    }
    const QByteArray key = request.url().path().mid(keyPath.size()).toUtf8();
    if (request.method() == QHttpServerRequest::Method::Put) {
        this->publish(key, request.body()); // only operators write
        answer(socket, 200, "true");
        return;
    }
    const std::uint64_t known = request.query().queryItemValue("index").toULongLong();
    const auto value = this->values.find(key);
    const std::uint64_t current = value == this->values.end() ? 1 : value->second.index;
    if (known == 0 || known != current) {
        this->reply(socket, key);
        return;
    }
    const int waitSeconds = request.query().queryItemValue("wait").remove('s').toInt();
    const qint64 until = monotonicNow().micros + waitSeconds * 1'000'000LL;
    this->waiters.push_back(Waiter{ key, known, socket, until });
}

void ConfigurationService::answerWaiters()
{
    const qint64 now = monotonicNow().micros;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto value = this->values.find(waiter->key);
        const std::uint64_t current = value == this->values.end() ? 1 : value->second.index;
        const bool isDue = current != waiter->index || now >= waiter->until;
        if (isDue && waiter->socket)
            this->reply(waiter->socket, waiter->key);
        waiter = isDue ? this->waiters.erase(waiter) : std::next(waiter);
    }
}

void ConfigurationService::reply(QTcpSocket *socket, const QByteArray &key)
{
    const auto value = this->values.find(key);
    const bool isFound = value != this->values.end();
    const QByteArray body = isFound ? value->second.content : QByteArray();
    const QByteArray current = QByteArray::number(
            static_cast<quint64>(isFound ? value->second.index : 1));
    socket->write("HTTP/1.1 " + QByteArray(isFound ? "200 OK" : "404 Not Found")
                  + "\r\nX-Consul-Index: " + current
                  + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
}

} // namespace azurewell::standins
