#pragma once

#include "azurewell/fleet/codec.h"
#include "azurewell/http/clock.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QByteArray>
#include <QtCore/QHash>
#include <QtCore/QObject>
#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace azurewell {

/// Counters of the links between hosts, published by /metrics.
struct PeerLinkCounters
{
    std::uint64_t framesRefused = 0;   ///< Malformed, failed authentication, or replayed.
    std::uint64_t linksReopened = 0;   ///< Outgoing links that were not acknowledged in time.
    std::uint64_t messagesDropped = 0; ///< Dropped with the link of a slow host.
};

/// Connections between hosts. Each host sends over the connections it opened and receives over
/// those that other hosts opened. Frames are authenticated with the fleet's key (peer_frame.h).
///
/// The receiver acknowledges what it has read with an empty frame. When a middlebox has dropped the
/// state of a connection, the kernel still accepts bytes for minutes before it reports an error;
/// a sender that gets no acknowledgement within acknowledgementTimeout opens a new connection.
class PeerLinks : public QObject
{
public:
    using MessageHandler = std::function<void(const PeerMessage &)>;

    PeerLinks(const Settings &settings, PeerLinkCounters &counters, MessageHandler handleMessage);
    ~PeerLinks() override;

    /// Opens the peer port. Errors: SettingsInvalid.
    Result<std::uint16_t> listen();

    /// Sends \a body without delivery guarantee: it is lost if the host is unreachable. Callers
    /// resend what must arrive.
    void send(const HostId &to, const std::string &address, const PeerBody &body);

private:
    struct Link
    {
        QPointer<QTcpSocket> socket;
        bool isAcknowledgementDue = false;
        Instant acknowledgementDeadline; ///< Valid while isAcknowledgementDue is set.
    };

    void acceptConnections();
    void limitUnfinished();
    void readFrames(QTcpSocket *socket);
    void handleFrame(QTcpSocket *socket, const QByteArray &content);
    void refuse(QTcpSocket *socket, const std::string &reason);
    bool isReplayed(const PeerMessage &message, std::uint64_t serial);
    void closeIdleConnections();
    Link *linkTo(const std::string &address);

    HostIdentity self;
    Endpoint endpoint;
    QByteArray key;
    PeerLinkCounters &counters;
    MessageHandler handleMessage;
    QTcpServer server;
    std::map<std::string, Link> links;
    std::uint64_t nextSerial = 1;
    std::map<HostId, std::pair<Incarnation, std::uint64_t>>
            newestSerials;                      ///< Highest serial of each sender.
    QHash<QTcpSocket *, Instant> idleDeadlines; ///< When an incoming connection is closed.
    QTimer idleTimer;
};

} // namespace azurewell
