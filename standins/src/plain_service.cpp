#include "azurewell/standins/plain_service.h"

#include <QtCore/QTimer>
#include <QtCore/QUrl>

#include <nlohmann/json.hpp>

namespace azurewell::standins {

void PlainService::onRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    if (!request.value("authorization").isEmpty())
        ++this->requestsWithKey;
    ++this->runs;
    ++this->runsByBody[request.body().toStdString()];
    if (this->closesWithoutResponse) {
        socket->disconnectFromHost();
        return;
    }
    const nlohmann::json json{ { "run", this->runs },
                               { "path", request.url().path().toStdString() } };
    const QByteArray body = QByteArray::fromStdString(json.dump());
    if (this->closesMidResponse) {
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body);
        socket->disconnectFromHost();
        return;
    }
    const QPointer<QTcpSocket> caller = socket;
    const QByteArray id = request.value("x-request-id");
    const bool closes = request.value("connection").toLower() == "close";
    QTimer::singleShot(this->responseDelayMillis, this, [caller, body, id, closes] {
        if (!caller)
            return;
        answer(caller, 200, body, id);
        if (closes)
            caller->disconnectFromHost();
    });
}

} // namespace azurewell::standins
