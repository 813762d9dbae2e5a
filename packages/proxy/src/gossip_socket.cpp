#include "azurewell/proxy/gossip_socket.h"

#include "azurewell/gateway/gossip_codec.h"
#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <exception>

namespace azurewell {

namespace {

/// The maximum payload of a UDP datagram over IPv4.
constexpr std::size_t maxDatagramBytes = 65507;

/// Datagrams read per event, so that other events are not delayed.
constexpr int maxReadsPerEvent = 64;

bool fillAddress(sockaddr_in &address, const Endpoint &endpoint)
{
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    return ::inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) == 1;
}

} // namespace

Result<std::unique_ptr<GossipSocket>> GossipSocket::open(
        const Endpoint &own, std::function<void(const gateway::Gossip &)> onMessage)
{
    UniqueFd socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    const bool isAddress = fillAddress(address, own);
    if (socket.get() < 0 || !isAddress
        || ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address)
                != 0) {
        return Error{ ResultCode::SettingsInvalid,
                      own.ip + ":" + std::to_string(own.port) + ": cannot bind UDP socket" };
    }
    return std::unique_ptr<GossipSocket>(new GossipSocket(std::move(socket), std::move(onMessage)));
}

GossipSocket::GossipSocket(UniqueFd socket, std::function<void(const gateway::Gossip &)> onMessage)
    : descriptor(std::move(socket))
    , handler(std::move(onMessage))
    , notifier(this->descriptor.get(), QSocketNotifier::Read)
{
    QObject::connect(&this->notifier, &QSocketNotifier::activated, [this] { this->receive(); });
}

std::size_t GossipSocket::send(const gateway::SendGossip &gossip, Instant now)
{
    sockaddr_in address{};
    if (!fillAddress(address, gossip.to)) {
        ++this->dropped;
        return 0;
    }
    if (this->encoded != gossip.message) {
        this->bytes = gateway::encodeGossip(*gossip.message, now);
        this->encoded = gossip.message;
    }
    const ssize_t sent = ::sendto(this->descriptor.get(), this->bytes.data(), this->bytes.size(), 0,
                                  reinterpret_cast<const sockaddr *>(&address), sizeof address);
    // The next message makes up for a lost one; the counter reveals a link that accepts none.
    if (sent >= 0)
        return this->bytes.size();
    ++this->dropped;
    return 0;
}

void GossipSocket::receive()
{
    static std::array<char, maxDatagramBytes> block;
    for (int i = 0; i < maxReadsPerEvent; ++i) {
        const ssize_t count = ::recv(this->descriptor.get(), block.data(), block.size(), 0);
        if (count < 0)
            return;
        this->handleDatagram(std::string_view(block.data(), static_cast<std::size_t>(count)));
    }
}

/// What handling a message throws drops the message, and does not end the process.
void GossipSocket::handleDatagram(std::string_view bytes)
{
    try {
        const Result<gateway::Gossip> message = gateway::decodeGossip(bytes, monotonicNow());
        if (message)
            this->handler(message.value());
        else
            this->drop(message.error().detail);
    } catch (const std::exception &fault) {
        this->drop(fault.what());
    }
}

void GossipSocket::drop(const std::string &reason)
{
    ++this->dropped;
    writeLog(LogLevel::Warning, "peer_message_dropped", { { "reason", reason } });
}

} // namespace azurewell
