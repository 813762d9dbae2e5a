#include "azurewell/shell/operations_server.h"

#include "azurewell/shell/http_text.h"

#include <QtCore/QUrl>
#include <QtHttpServer/QHttpServerRequest>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

namespace azurewell {

OperationsServer::OperationsServer(RequestHandler handler)
    : handlePath(std::move(handler))
{
}

Result<std::uint16_t> OperationsServer::start(const Endpoint &endpoint)
{
    QTcpServer *server = new QTcpServer(this);
    if (!server->listen(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port))
        return Error{ ResultCode::SettingsInvalid,
                      "operations: " + server->errorString().toStdString() };
    this->bind(server);
    return server->serverPort();
}

bool OperationsServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const std::optional<OperationsAnswer> found = this->handlePath(request.url().path());
    if (!found)
        return false;
    socket->write(answerHead(found->status, found->contentType, found->body.size(), RequestId{})
                  + found->body);
    return true;
}

void OperationsServer::missingHandler(const QHttpServerRequest &, QTcpSocket *socket)
{
    socket->write(refusalAnswer(
            Refuse{ RequestId{}, ResultCode::UnknownPath, RunState::NotRun, {}, {} }));
}

} // namespace azurewell
