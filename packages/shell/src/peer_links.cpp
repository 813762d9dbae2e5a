#include "azurewell/shell/peer_links.h"

#include "azurewell/logging/log.h"
#include "azurewell/shell/peer_frame.h"

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QNetworkProxy>

namespace azurewell {

namespace {

/// Bytes that may wait for a slow peer; beyond, its connection is dropped and messages to it are
/// lost, which every sender of a message can bear.
constexpr qint64 mostWaitingBytes = 4 << 20;
/// Four heartbeats: a link that answers none of them is opened again well before the other host
/// counts as gone.
constexpr Span linkPatience = fromSeconds(2);
/// An incoming connection without a frame; hosts send each other two a second.
constexpr Span incomingPatience = fromSeconds(30);
constexpr int silenceCheckMillis = 5'000;
/// Incoming connections: a host of a fleet ten times the planned one, not whoever opens more.
constexpr qsizetype mostIncoming = 4096;
constexpr std::size_t mostSenders = 4096;

} // namespace

PeerLinks::PeerLinks(const Settings &settings, PeerLinkCounters &counts, Received onReceived)
    : self(settings.self)
    , endpoint(settings.peers)
    , key(QByteArray::fromStdString(settings.peerKey))
    , counters(counts)
    , received(std::move(onReceived))
{
    QObject::connect(&this->server, &QTcpServer::newConnection, this, [this] { this->accepted(); });
    QObject::connect(&this->silenceTimer, &QTimer::timeout, this, [this] { this->closeSilent(); });
    this->silenceTimer.start(silenceCheckMillis);
}

/// Sockets tell of their end while they are destroyed, which is after the members they would reach.
PeerLinks::~PeerLinks()
{
    for (auto entry = this->silentAt.cbegin(); entry != this->silentAt.cend(); ++entry)
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
                 { { "effect", "whoever reaches the peer port can act as a host" } });
    return this->server.serverPort();
}

void PeerLinks::accepted()
{
    while (QTcpSocket *socket = this->server.nextPendingConnection()) {
        if (this->silentAt.size() >= mostIncoming) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        // A sender that writes without end fills no more than one frame.
        socket->setReadBufferSize(longestFrame + frameHeadBytes + sealBytes);
        this->silentAt[socket] = monotonicNow() + incomingPatience;
        QObject::connect(socket, &QTcpSocket::readyRead, this,
                         [this, socket] { this->readFrames(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            this->silentAt.remove(socket);
            socket->deleteLater();
        });
    }
}

void PeerLinks::closeSilent()
{
    const Instant now = monotonicNow();
    std::vector<QTcpSocket *> silent;
    for (auto entry = this->silentAt.cbegin(); entry != this->silentAt.cend(); ++entry) {
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
    while (socket->bytesAvailable() >= static_cast<qint64>(frameHeadBytes)) {
        const QByteArray head = socket->peek(frameHeadBytes);
        const Result<std::uint32_t> length = frameLength(
                std::string_view(head.constData(), frameHeadBytes));
        if (!length) {
            this->refuse(socket, length.error().detail);
            return;
        }
        if (socket->bytesAvailable() < static_cast<qint64>(frameHeadBytes) + length.value())
            break;
        socket->skip(frameHeadBytes);
        this->takeFrame(socket, socket->read(length.value()));
        if (socket->state() != QAbstractSocket::ConnectedState)
            return;
        hasRead = true;
    }
    if (!hasRead)
        return;
    this->silentAt[socket] = monotonicNow() + incomingPatience;
    socket->write(QByteArray(frameHeadBytes, '\0'));
}

/// A frame that was recorded and sent again is as well sealed as the first time.
bool PeerLinks::isSentBefore(const PeerMessage &message, std::uint64_t serial)
{
    if (this->newest.size() >= mostSenders && !this->newest.contains(message.sender))
        return true;
    auto &[incarnation, newestSerial] = this->newest[message.sender];
    if (message.incarnation < incarnation)
        return false; // of an earlier life; the core counts and drops it
    if (message.incarnation == incarnation && serial <= newestSerial)
        return true;
    incarnation = message.incarnation;
    newestSerial = serial;
    return false;
}

void PeerLinks::takeFrame(QTcpSocket *socket, const QByteArray &content)
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
    if (this->isSentBefore(message.value(), frame.value().serial)) {
        ++this->counters.framesRefused;
        return;
    }
    this->received(message.value());
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
        this->links[address].isAnswerDue = false;
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
    if (link && link->isAnswerDue && now >= link->answerBy) {
        ++this->counters.linksReopened;
        delete link->socket; // at once: a late answer on it must not count for the new one
        link = this->linkTo(address);
    }
    if (!link)
        return;
    if (link->socket->bytesToWrite() > mostWaitingBytes) {
        ++this->counters.messagesDropped;
        link->socket->abort();
        return;
    }
    const PeerMessage message{ this->self.id, this->self.incarnation, body };
    link->socket->write(sealFrame(this->key, to, this->nextSerial++, message));
    if (link->isAnswerDue)
        return;
    link->isAnswerDue = true;
    link->answerBy = now + linkPatience;
}

} // namespace azurewell
