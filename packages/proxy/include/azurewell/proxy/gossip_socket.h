#pragma once

#include "azurewell/gateway/events.h"
#include "azurewell/http/listen_socket.h"
#include "azurewell/units/result.h"

#include <QtCore/QSocketNotifier>

#include <functional>
#include <memory>

namespace azurewell {

/// The UDP socket for messages between hosts.
class GossipSocket
{
public:
    /// Errors: SettingsInvalid where \a own cannot be bound.
    static Result<std::unique_ptr<GossipSocket>> open(
            const Endpoint &own, std::function<void(const gateway::Gossip &)> onMessage);

    /// The bytes of the message; 0 where it was not sent.
    std::size_t send(const gateway::SendGossip &gossip, Instant now);

    std::uint64_t droppedMessages() const
    {
        return this->dropped;
    }

private:
    GossipSocket(UniqueFd socket, std::function<void(const gateway::Gossip &)> onMessage);
    void receive();

    UniqueFd descriptor;
    std::function<void(const gateway::Gossip &)> handler;
    QSocketNotifier notifier;
    std::shared_ptr<const gateway::Gossip> encoded; ///< The message of `bytes`.
    std::string bytes;
    std::uint64_t dropped = 0; ///< Could not be sent or read.
};

} // namespace azurewell
