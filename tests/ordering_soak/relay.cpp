#include "relay.h"

#include "counterpart.h"

#include <fmt/format.h>
#include <QtCore/QTimer>

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>

namespace azurewell::soak {

using platform::testing::internalPort;

namespace {

constexpr std::size_t maxDatagramBytes = 65507;
constexpr int maxReadsPerEvent = 64;

sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool bindTo(const UniqueFd &socket, const std::string &ip, std::uint16_t port)
{
    const sockaddr_in address = socketAddress(ip, port);
    return ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
        text.replace(at, from.size(), to);
}

} // namespace

bool canBind(const std::string &ip, std::uint16_t port)
{
    return bindTo(UniqueFd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)), ip, port);
}

Relay::Relay(const Addresses &relayAddresses, std::size_t hosts)
    : muted(hosts)
    , deaf(hosts)
    , addresses(relayAddresses)
    , lines(hosts)
{
    for (std::size_t index = 0; index < hosts; ++index) {
        Line &line = this->lines[index];
        const std::string ip = this->addresses.relayed(index);
        this->hostByIp[socketAddress(this->addresses.host(index), 0).sin_addr.s_addr] = index;
        line.socket = UniqueFd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        Result<UniqueFd> listening = openListenSocket({ ip, internalPort });
        if (!bindTo(line.socket, ip, internalPort) || !listening) {
            fmt::print(stderr, "{}:{}: cannot bind\n", ip, internalPort);
            std::exit(2);
        }
        line.notifier = std::make_unique<QSocketNotifier>(line.socket.get(), QSocketNotifier::Read);
        QObject::connect(line.notifier.get(), &QSocketNotifier::activated,
                         [this, index] { this->receive(index); });
        line.acceptor = std::make_unique<TcpAcceptor>(std::move(listening.value()),
                                                      [this, index](UniqueFd fd) {
                                                          this->connect(index, std::move(fd));
                                                          return true;
                                                      });
    }
}

std::size_t Relay::senderOf(std::uint32_t ip) const
{
    const auto found = this->hostByIp.find(ip);
    return found == this->hostByIp.end() ? this->lines.size() : found->second;
}

void Relay::receive(std::size_t index)
{
    static std::string block(maxDatagramBytes, '\0');
    const sockaddr_in to = socketAddress(this->addresses.host(index), internalPort);
    for (int i = 0; i < maxReadsPerEvent; ++i) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const ssize_t count = ::recvfrom(this->lines[index].socket.get(), block.data(),
                                         block.size(), 0, reinterpret_cast<sockaddr *>(&from),
                                         &length);
        if (count < 0)
            return;
        ++this->datagrams;
        const std::size_t sender = this->senderOf(from.sin_addr.s_addr);
        const bool isLost = sender == this->lines.size() || this->muted[sender] > 0
                || this->deaf[index] > 0;
        if (isLost) {
            ++this->lost;
            continue;
        }
        std::string bytes = block.substr(0, static_cast<std::size_t>(count));
        replaceAll(bytes, this->addresses.hostPrefix(), this->addresses.relayedPrefix());
        ::sendto(this->lines[index].socket.get(), bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr *>(&to), sizeof to);
    }
}

void Relay::connect(std::size_t index, UniqueFd accepted)
{
    UniqueFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const std::size_t other = (index + 1) % this->lines.size();
    const sockaddr_in to = socketAddress(this->addresses.host(index), internalPort);
    if (!bindTo(socket, this->addresses.relayed(other), 0))
        return;
    const int result = ::connect(socket.get(), reinterpret_cast<const sockaddr *>(&to), sizeof to);
    if (result != 0 && errno != EINPROGRESS)
        return;
    const std::uint64_t id = this->nextPair++;
    Pair &pair = this->pairs[id];
    const auto pass = [](TcpStream &from, TcpStream &onward) {
        onward.write(std::exchange(from.received(), {}));
    };
    const auto onEnded = [this, id](StreamEnd) {
        this->closeLater(id);
    };
    pair.from = TcpStream::adopt(std::move(accepted), {});
    pair.to = TcpStream::adopt(std::move(socket), {});
    pair.from->setHandlers({ {}, [&pair, pass] { pass(*pair.from, *pair.to); }, onEnded, {} });
    pair.to->setHandlers({ {}, [&pair, pass] { pass(*pair.to, *pair.from); }, onEnded, {} });
}

void Relay::closeLater(std::uint64_t pair)
{
    QTimer::singleShot(0, &this->context, [this, pair] { this->pairs.erase(pair); });
}

} // namespace azurewell::soak
