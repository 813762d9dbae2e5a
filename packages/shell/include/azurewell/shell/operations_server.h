#pragma once

#include "azurewell/shell/caller_guard.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QByteArray>
#include <QtCore/QTimer>
#include <QtHttpServer/QAbstractHttpServer>

#include <functional>
#include <optional>

namespace azurewell {

/// Response to an operator's request.
struct OperationsAnswer
{
    int status = 200;
    QByteArray contentType = "text/plain";
    QByteArray body;
};

/// Serves /healthz, /readyz, /metrics and /show to operators on a separate port, in the control
/// thread.
class OperationsServer : public QAbstractHttpServer
{
public:
    using RequestHandler = std::function<std::optional<OperationsAnswer>(const QString &path)>;

    explicit OperationsServer(RequestHandler handlePath);

    /// Errors: SettingsInvalid.
    Result<std::uint16_t> start(const Endpoint &endpoint);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    static void answer(QTcpSocket *socket, const QByteArray &bytes);

    RequestHandler handlePath;
    Settings limits; ///< Of operators' requests.
    GuardedTcpServer *server = nullptr;
    QTimer deadlineTimer;
};

} // namespace azurewell
