#pragma once

#include "azurewell/gateway/events.h"
#include "azurewell/http/listen_socket.h"
#include "azurewell/units/result.h"

#include <QtCore/QSocketNotifier>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azurewell {

/// The UDP socket for gossip messages between hosts.
class GossipSocket
{
public:
    /// Opens the socket on \a own. Errors: SettingsInvalid if it cannot be bound.
    static Result<std::unique_ptr<GossipSocket>> open(
            const Endpoint &own, std::function<void(const gateway::Gossip &)> onMessage);

    /// Returns the size of the sent message in bytes; 0 if it was not sent.
    std::size_t send(const gateway::SendGossip &gossip, Instant now);

    std::uint64_t droppedMessages() const
    {
        return this->dropped;
    }

private:
    GossipSocket(UniqueFd socket, std::function<void(const gateway::Gossip &)> onMessage);
    void receive();
    void handleDatagram(std::string_view bytes);
    void drop(const std::string &reason);

    UniqueFd descriptor;
    std::function<void(const gateway::Gossip &)> handler;
    QSocketNotifier notifier;
    std::shared_ptr<const gateway::Gossip> encoded; ///< The message that `bytes` encodes.
    std::string bytes;
    std::uint64_t dropped = 0; ///< Messages that could not be sent, decoded or handled.
};

} // namespace azurewell
