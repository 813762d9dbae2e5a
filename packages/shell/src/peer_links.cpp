#include "azurewell/shell/peer_links.h"

#include "azurewell/logging/log.h"
#include "azurewell/shell/peer_frame.h"

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QNetworkProxy>

namespace azurewell {

namespace {

/// Unsent bytes per peer above which its connection is dropped. Messages are lost then, which every
/// sender tolerates.
constexpr qint64 maxUnsentPeerBytes = 4 << 20;
/// Four heartbeat intervals: a link without acknowledgement is reopened well before the other host
/// is considered dead.
constexpr Span acknowledgementTimeout = fromSeconds(2);
/// Incoming connections without a frame for this long are closed; hosts send two frames per second.
constexpr Span incomingIdleTimeout = fromSeconds(30);
constexpr int idleCheckMillis = 5'000;
/// Limit of incoming connections: enough for ten times the planned fleet, while bounding abuse.
constexpr qsizetype maxIncomingConnections = 4096;
constexpr std::size_t maxSenders = 4096;
/// Bytes of all incoming frames whose ends have not come; more is not authenticated yet.
constexpr qint64 maxUnfinishedBytes = 32 << 20;
/// An unfinished frame up to here is not looked at: heartbeats are far shorter.
constexpr qint64 shortFrameBytes = 16 << 10;

} // namespace

PeerLinks::PeerLinks(const Settings &settings, PeerLinkCounters &counts, MessageHandler onReceived)
    : self(settings.self)
    , endpoint(settings.peers)
    , key(QByteArray::fromStdString(settings.peerKey))
    , counters(counts)
    , handleMessage(std::move(onReceived))
{
    QObject::connect(&this->server, &QTcpServer::newConnection, this,
                     [this] { this->acceptConnections(); });
    QObject::connect(&this->idleTimer, &QTimer::timeout, this,
                     [this] { this->closeIdleConnections(); });
    this->idleTimer.start(idleCheckMillis);
}

/// Disconnects the sockets: they are destroyed after the members that their signal handlers use.
PeerLinks::~PeerLinks()
{
    for (auto entry = this->idleDeadlines.cbegin(); entry != this->idleDeadlines.cend(); ++entry)
        entry.key()->disconnect(this);
    for (const auto &[address, link] : this->links) {
        if (link.socket)
            link.socket->disconnect(this);
    }
}

Result<std::uint16_t> PeerLinks::listen()
{
    if (!this->server.listen(QHostAddress(QString::fromStdString(this->endpoint.ip)),
                             this->endpoint.port))
        return Error{ ResultCode::SettingsInvalid,
                      "peers: " + this->server.errorString().toStdString() };
    if (this->key.isEmpty())
        writeLog(LogLevel::Warning, "peer_key_missing",
                 { { "effect",
                     "messages between hosts are not authenticated; anyone who reaches the peer "
                     "port can act as a host" } });
    return this->server.serverPort();
}

void PeerLinks::acceptConnections()
{
    while (QTcpSocket *socket = this->server.nextPendingConnection()) {
        if (this->idleDeadlines.size() >= maxIncomingConnections) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        // Buffers at most one frame of a sender that writes without end.
        socket->setReadBufferSize(maxFrameBytes + frameHeaderBytes + sealBytes);
        this->idleDeadlines[socket] = monotonicNow() + incomingIdleTimeout;
        QObject::connect(socket, &QTcpSocket::readyRead, this,
                         [this, socket] { this->readFrames(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            this->idleDeadlines.remove(socket);
            socket->deleteLater();
        });
    }
}

void PeerLinks::closeIdleConnections()
{
    const Instant now = monotonicNow();
    std::vector<QTcpSocket *> silent;
    for (auto entry = this->idleDeadlines.cbegin(); entry != this->idleDeadlines.cend(); ++entry) {
        if (entry.value() <= now)
            silent.push_back(entry.key());
    }
    for (QTcpSocket *socket : silent)
        socket->abort();
}

void PeerLinks::refuse(QTcpSocket *socket, const std::string &reason)
{
    ++this->counters.framesRefused;
    writeLog(LogLevel::Warning, "peer_frame_refused",
             { { "from", socket->peerAddress().toString().toStdString() }, { "reason", reason } });
    socket->abort();
}

void PeerLinks::readFrames(QTcpSocket *socket)
{
    bool hasRead = false;
    while (socket->bytesAvailable() >= static_cast<qint64>(frameHeaderBytes)) {
        const QByteArray head = socket->peek(frameHeaderBytes);
        const Result<std::uint32_t> length = frameLength(
                std::string_view(head.constData(), frameHeaderBytes));
        if (!length) {
            this->refuse(socket, length.error().detail);
            return;
        }
        if (socket->bytesAvailable() < static_cast<qint64>(frameHeaderBytes) + length.value())
            break;
        socket->skip(frameHeaderBytes);
        this->handleFrame(socket, socket->read(length.value()));
        if (socket->state() != QAbstractSocket::ConnectedState)
            return;
        hasRead = true;
    }
    if (socket->bytesAvailable() > shortFrameBytes)
        this->limitUnfinished();
    if (!hasRead || socket->state() != QAbstractSocket::ConnectedState)
        return;
    this->idleDeadlines[socket] = monotonicNow() + incomingIdleTimeout;
    socket->write(QByteArray(frameHeaderBytes, '\0'));
}

/// Drops the connections with the longest unfinished frames while these are too long together.
void PeerLinks::limitUnfinished()
{
    while (true) {
        qint64 sum = 0;
        QTcpSocket *longest = nullptr;
        for (auto entry = this->idleDeadlines.cbegin(); entry != this->idleDeadlines.cend();
             ++entry) {
            sum += entry.key()->bytesAvailable();
            if (!longest || entry.key()->bytesAvailable() > longest->bytesAvailable())
                longest = entry.key();
        }
        if (sum <= maxUnfinishedBytes)
            return;
        this->refuse(longest, "unfinished frames are too long together");
    }
}

/// Whether the frame is a replay: a recorded frame passes authentication again.
bool PeerLinks::isReplayed(const PeerMessage &message, std::uint64_t serial)
{
    if (this->newestSerials.size() >= maxSenders && !this->newestSerials.contains(message.sender))
        return true;
    auto &[incarnation, newestSerial] = this->newestSerials[message.sender];
    if (message.incarnation < incarnation)
        return false; // of an earlier incarnation; counted and dropped by the host state
    if (message.incarnation == incarnation && serial <= newestSerial)
        return true;
    incarnation = message.incarnation;
    newestSerial = serial;
    return false;
}

void PeerLinks::handleFrame(QTcpSocket *socket, const QByteArray &content)
{
    const Result<OpenedFrame> frame = openFrame(this->key, this->self.id, content);
    if (!frame) {
        this->refuse(socket, frame.error().detail);
        return;
    }
    const QByteArray &payload = frame.value().payload;
    const Result<PeerMessage> message = decodePayload(
            std::string_view(payload.constData(), static_cast<std::size_t>(payload.size())));
    if (!message) {
        this->refuse(socket, message.error().detail);
        return;
    }
    if (this->isReplayed(message.value(), frame.value().serial)) {
        ++this->counters.framesRefused;
        return;
    }
    this->handleMessage(message.value());
}

PeerLinks::Link *PeerLinks::linkTo(const std::string &address)
{
    Link &link = this->links[address];
    if (link.socket)
        return &link;
    const Result<Endpoint> target = parseEndpoint(address);
    if (!target)
        return nullptr;
    QTcpSocket *socket = new QTcpSocket(this);
    socket->setProxy(QNetworkProxy::NoProxy);
    link = Link{ socket, false, {} };
    QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket, address] {
        socket->readAll();
        this->links[address].isAcknowledgementDue = false;
    });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, &QObject::deleteLater);
    socket->connectToHost(QString::fromStdString(target.value().ip), target.value().port);
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    return &link;
}

void PeerLinks::send(const HostId &to, const std::string &address, const PeerBody &body)
{
    const Instant now = monotonicNow();
    Link *link = this->linkTo(address);
    if (link && link->isAcknowledgementDue && now >= link->acknowledgementDeadline) {
        ++this->counters.linksReopened;
        delete link->socket; // immediately: a late acknowledgement must not count for the new link
        link = this->linkTo(address);
    }
    if (!link)
        return;
    if (link->socket->bytesToWrite() > maxUnsentPeerBytes) {
        ++this->counters.messagesDropped;
        link->socket->abort();
        return;
    }
    const PeerMessage message{ this->self.id, this->self.incarnation, body };
    link->socket->write(sealFrame(this->key, to, this->nextSerial++, message));
    if (link->isAcknowledgementDue)
        return;
    link->isAcknowledgementDue = true;
    link->acknowledgementDeadline = now + acknowledgementTimeout;
}

} // namespace azurewell
