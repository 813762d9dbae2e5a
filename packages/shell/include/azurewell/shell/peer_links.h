#pragma once

#include "azurewell/fleet/codec.h"
#include "azurewell/shell/settings.h"

#include <QtCore/QByteArray>
#include <QtCore/QObject>
#include <QtCore/QPointer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <map>
#include <string>

namespace azurewell {

/// Connections between hosts. Each host sends over connections that it opened and receives over
/// those that others opened.
class PeerLinks : public QObject
{
public:
    using Received = std::function<void(const PeerMessage &)>;

    PeerLinks(const HostIdentity &self, Received received);

    /// Opens the peer port. Errors: SettingsInvalid.
    Result<std::uint16_t> listen(const Endpoint &endpoint);

    /// Sends \a body; lost where the other host cannot be reached. Senders repeat what matters.
    void send(const std::string &address, const PeerBody &body);

private:
    void accepted();
    void readFrames(QTcpSocket *socket);
    QTcpSocket *linkTo(const std::string &address);

    HostIdentity self;
    Received received;
    QTcpServer server;
    std::map<std::string, QPointer<QTcpSocket>> links;
};

} // namespace azurewell
