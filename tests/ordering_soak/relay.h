#pragma once

#include "host_fleet.h"

#include "azurewell/http/tcp_stream.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurewell::soak {

/// Whether no other socket is bound to this address for datagrams.
bool canBind(const std::string &ip, std::uint16_t port);

/// Carries what hosts send each other, so that messages of one direction can be lost.
///
/// Hosts know each other by the addresses of the relay only: the relay replaces the address of a
/// host in each datagram, which has the same length, and reads nothing else of it. Connections
/// between hosts are passed on whole; they come from the address of a member, as hosts expect.
class Relay
{
public:
    Relay(const Addresses &relayAddresses, std::size_t hosts);

    std::vector<int> muted; ///< By host: faults that lose all that it sends.
    std::vector<int> deaf;  ///< By host: faults that lose all that is sent to it.
    std::uint64_t datagrams = 0;
    std::uint64_t lost = 0;

private:
    struct Line
    {
        UniqueFd socket;
        std::unique_ptr<QSocketNotifier> notifier;
        std::unique_ptr<TcpAcceptor> acceptor;
    };
    struct Pair
    {
        std::unique_ptr<TcpStream> from;
        std::unique_ptr<TcpStream> to;
    };

    void receive(std::size_t index);
    void connect(std::size_t index, UniqueFd accepted);
    void closeLater(std::uint64_t pair);
    std::size_t senderOf(std::uint32_t ip) const;

    const Addresses &addresses;
    std::vector<Line> lines;
    std::map<std::uint32_t, std::size_t> hostByIp;
    std::map<std::uint64_t, Pair> pairs;
    std::uint64_t nextPair = 0;
    QObject context;
};

} // namespace azurewell::soak
