#pragma once

#include "azurewell/shell/settings.h"

#include <QtCore/QByteArray>
#include <QtHttpServer/QAbstractHttpServer>

#include <functional>
#include <optional>

namespace azurewell {

/// An answer to an operator.
struct OperationsAnswer
{
    int status = 200;
    QByteArray contentType = "text/plain";
    QByteArray body;
};

/// /healthz, /readyz, /metrics and /show for operators, on a port of their own in the control
/// thread.
class OperationsServer : public QAbstractHttpServer
{
public:
    using Answer = std::function<std::optional<OperationsAnswer>(const QString &path)>;

    explicit OperationsServer(Answer answer);

    /// Errors: SettingsInvalid.
    Result<std::uint16_t> start(const Endpoint &endpoint);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    Answer answer;
};

} // namespace azurewell
