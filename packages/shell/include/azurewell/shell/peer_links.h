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

/// What happened on the links between hosts; /metrics publishes it.
struct PeerLinkCounters
{
    std::uint64_t framesRefused = 0;   ///< Not valid, not sealed with our key, or sent before.
    std::uint64_t linksReopened = 0;   ///< Outgoing links that went silent.
    std::uint64_t messagesDropped = 0; ///< A slow host's, with its link.
};

/// Connections between hosts. Each host sends over connections that it opened and receives over
/// those that others opened. Frames are sealed with the fleet's key (peer_frame.h).
///
/// The receiver writes an empty frame back for what it has read. A link that something between two
/// hosts has lost track of takes bytes for minutes before the kernel gives up; a sender that hears
/// nothing back within linkPatience opens a new one.
class PeerLinks : public QObject
{
public:
    using Received = std::function<void(const PeerMessage &)>;

    PeerLinks(const Settings &settings, PeerLinkCounters &counters, Received received);
    ~PeerLinks() override;

    /// Opens the peer port. Errors: SettingsInvalid.
    Result<std::uint16_t> listen();

    /// Sends \a body; lost where the other host cannot be reached. Senders repeat what matters.
    void send(const HostId &to, const std::string &address, const PeerBody &body);

private:
    struct Link
    {
        QPointer<QTcpSocket> socket;
        bool isAnswerDue = false;
        Instant answerBy; ///< Where an answer is due.
    };

    void accepted();
    void readFrames(QTcpSocket *socket);
    void takeFrame(QTcpSocket *socket, const QByteArray &content);
    void refuse(QTcpSocket *socket, const std::string &reason);
    bool isSentBefore(const PeerMessage &message, std::uint64_t serial);
    void closeSilent();
    Link *linkTo(const std::string &address);

    HostIdentity self;
    Endpoint endpoint;
    QByteArray key;
    PeerLinkCounters &counters;
    Received received;
    QTcpServer server;
    std::map<std::string, Link> links;
    std::uint64_t nextSerial = 1;
    std::map<HostId, std::pair<Incarnation, std::uint64_t>> newest; ///< Of each sender.
    QHash<QTcpSocket *, Instant> silentAt; ///< When an incoming connection counts as silent.
    QTimer silenceTimer;
};

} // namespace azurewell
