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

/// A small HTTP server for a stand-in; each answers requests in onRequest().
class StandinServer : public QAbstractHttpServer
{
public:
    /// Listens on 127.0.0.1; port 0 takes a free one. Returns the port, 0 where it cannot.
    std::uint16_t listen(std::uint16_t port);
    std::string address() const;
    /// Refuses connections from here on, as a program that has ended does.
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
