#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QPointer>
#include <QtHttpServer/QAbstractHttpServer>
#include <QtHttpServer/QHttpServerRequest>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <cstdint>
#include <string>

namespace azurewell::standins {

/// HTTP server base class of the stand-ins; subclasses respond in onRequest().
class StandinServer : public QAbstractHttpServer
{
public:
    /// Listens on 127.0.0.1; port 0 selects a free port. Returns the port, or 0 on failure.
    std::uint16_t listen(std::uint16_t port);
    std::string address() const;
    /// Closes the port; further connections are refused.
    void close();

protected:
    virtual void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) = 0;

    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

    static void answer(QTcpSocket *socket, int status, const QByteArray &body,
                       const QByteArray &requestId = {});

private:
    QTcpServer *server = nullptr;
    std::uint16_t port = 0;
};

} // namespace azurewell::standins
