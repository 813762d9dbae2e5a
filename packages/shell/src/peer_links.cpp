#include "azurewell/shell/peer_links.h"

#include "azurewell/shell/log.h"

#include <QtNetwork/QHostAddress>

namespace azurewell {

namespace {

/// Bytes that may wait for a slow peer; beyond, its connection is dropped and messages to it are
/// lost, which every sender of a message can bear.
constexpr qint64 mostWaitingBytes = 4 << 20;

} // namespace

PeerLinks::PeerLinks(const HostIdentity &identity, Received onReceived)
    : self(identity)
    , received(std::move(onReceived))
{
    QObject::connect(&this->server, &QTcpServer::newConnection, this, [this] { this->accepted(); });
}

Result<std::uint16_t> PeerLinks::listen(const Endpoint &endpoint)
{
    if (!this->server.listen(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port))
        return Error{ ResultCode::SettingsInvalid,
                      "peers: " + this->server.errorString().toStdString() };
    return this->server.serverPort();
}

void PeerLinks::accepted()
{
    while (QTcpSocket *socket = this->server.nextPendingConnection()) {
        QObject::connect(socket, &QTcpSocket::readyRead, this,
                         [this, socket] { this->readFrames(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
}

void PeerLinks::readFrames(QTcpSocket *socket)
{
    while (socket->bytesAvailable() >= static_cast<qint64>(frameHeadBytes)) {
        const QByteArray head = socket->peek(frameHeadBytes);
        const Result<std::uint32_t> length = frameLength(
                std::string_view(head.constData(), frameHeadBytes));
        if (!length) {
            writeLog(LogLevel::Warning, "peer_frame_refused",
                     { { "reason", length.error().detail } });
            socket->abort();
            return;
        }
        if (socket->bytesAvailable() < static_cast<qint64>(frameHeadBytes) + length.value())
            return;
        socket->skip(frameHeadBytes);
        const QByteArray payload = socket->read(length.value());
        const Result<PeerMessage> message = decodePayload(
                std::string_view(payload.constData(), length.value()));
        if (!message) {
            writeLog(LogLevel::Warning, "peer_message_refused",
                     { { "reason", message.error().detail } });
            socket->abort();
            return;
        }
        this->received(message.value());
    }
}

QTcpSocket *PeerLinks::linkTo(const std::string &address)
{
    QPointer<QTcpSocket> &link = this->links[address];
    if (link)
        return link;
    const Result<Endpoint> endpoint = parseEndpoint(address);
    if (!endpoint)
        return nullptr;
    link = new QTcpSocket(this);
    QObject::connect(link, &QTcpSocket::disconnected, link, &QObject::deleteLater);
    QObject::connect(link, &QTcpSocket::errorOccurred, link, &QObject::deleteLater);
    link->connectToHost(QString::fromStdString(endpoint.value().ip), endpoint.value().port);
    link->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    return link;
}

void PeerLinks::send(const std::string &address, const PeerBody &body)
{
    QTcpSocket *link = this->linkTo(address);
    if (!link)
        return;
    if (link->bytesToWrite() > mostWaitingBytes) {
        link->abort();
        return;
    }
    const std::string frame = encodeFrame(
            PeerMessage{ this->self.id, this->self.incarnation, body });
    link->write(frame.data(), static_cast<qint64>(frame.size()));
}

} // namespace azurewell
