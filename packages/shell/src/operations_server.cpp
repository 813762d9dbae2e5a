#include "azurewell/shell/operations_server.h"

#include "azurewell/shell/http_text.h"

#include <QtCore/QUrl>
#include <QtHttpServer/QHttpServerRequest>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

namespace azurewell {

namespace {

constexpr std::chrono::milliseconds deadlineCheckInterval(250);

/// Operators' requests have no body; tools and load balancers keep a few connections each.
Settings operationsLimits()
{
    Settings limits;
    limits.trafficThreads = 1;
    limits.maxHeadBytes = 16ULL * 1024;
    limits.maxBodyBytes = 16ULL * 1024;
    limits.maxConnections = 64;
    limits.maxHeldBytes = 1024ULL * 1024;
    limits.requestReadTimeout = std::chrono::seconds(3);
    limits.keepAlive = std::chrono::seconds(60);
    limits.callerReadTimeout = std::chrono::seconds(10);
    return limits;
}

} // namespace

OperationsServer::OperationsServer(RequestHandler handler)
    : handlePath(std::move(handler))
    , limits(operationsLimits())
{
    QObject::connect(&this->deadlineTimer, &QTimer::timeout, this,
                     [this] { this->server->checkDeadlines(monotonicNow()); });
}

Result<std::uint16_t> OperationsServer::start(const Endpoint &endpoint)
{
    this->server = new GuardedTcpServer(
            this->limits, [](ResultCode) {}, this);
    if (!this->server->listen(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port))
        return Error{ ResultCode::SettingsInvalid,
                      "operations: " + this->server->errorString().toStdString() };
    this->bind(this->server);
    this->deadlineTimer.start(deadlineCheckInterval);
    return this->server->serverPort();
}

void OperationsServer::answer(QTcpSocket *socket, const QByteArray &bytes)
{
    socket->write(bytes);
    if (CallerGuard *guard = GuardedTcpServer::guardOf(socket))
        guard->responseSent();
}

bool OperationsServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const std::optional<OperationsAnswer> found = this->handlePath(request.url().path());
    if (!found)
        return false;
    answer(socket,
           answerHead(found->status, found->contentType, found->body.size(), RequestId{})
                   + found->body);
    return true;
}

void OperationsServer::missingHandler(const QHttpServerRequest &, QTcpSocket *socket)
{
    answer(socket,
           refusalAnswer(Refuse{ RequestId{}, ResultCode::UnknownPath, RunState::NotRun, {}, {} }));
}

} // namespace azurewell
