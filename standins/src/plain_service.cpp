#include "azurewell/standins/plain_service.h"

#include <QtCore/QUrl>

#include <nlohmann/json.hpp>

namespace azurewell::standins {

void PlainService::onRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    if (!request.value("authorization").isEmpty())
        ++this->keysSeen;
    ++this->runs;
    ++this->runsByBody[request.body().toStdString()];
    if (this->closesWithoutAnswer) {
        socket->disconnectFromHost();
        return;
    }
    const nlohmann::json json{ { "run", this->runs },
                               { "path", request.url().path().toStdString() } };
    const QByteArray body = QByteArray::fromStdString(json.dump());
    if (this->closesAfterHalfAnswer) {
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body);
        socket->disconnectFromHost();
        return;
    }
    answer(socket, 200, body, request.value("x-request-id"));
}

} // namespace azurewell::standins
