#include "azurewell/standins/standin_server.h"

#include "azurewell/shell/http_text.h"

namespace azurewell::standins {

std::uint16_t StandinServer::listen(std::uint16_t requestedPort)
{
    this->server = new QTcpServer(this);
    if (!this->server->listen(QHostAddress::LocalHost, requestedPort))
        return 0;
    this->bind(this->server);
    this->port = this->server->serverPort();
    return this->port;
}

std::string StandinServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void StandinServer::close()
{
    this->server->close();
}

bool StandinServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    this->onRequest(request, socket);
    return true;
}

void StandinServer::missingHandler(const QHttpServerRequest &, QTcpSocket *)
{
}

void StandinServer::answer(QTcpSocket *socket, int status, const QByteArray &body,
                           const QByteArray &requestId)
{
    socket->write(answerHead(status, "application/json", body.size(),
                             RequestId{ requestId.toStdString() })
                  + body);
}

} // namespace azurewell::standins
