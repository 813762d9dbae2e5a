#include "azurewell/standins/flooding_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>

namespace azurewell::standins {

namespace {

constexpr std::size_t blockBytes = 64ULL * 1024;

std::string block(const std::string &repeated)
{
    std::string text;
    while (!repeated.empty() && text.size() < blockBytes)
        text += repeated;
    return text;
}

} // namespace

FloodingServer::FloodingServer(Flood toSend)
    : flood(std::move(toSend))
    , listening(std::move(openListenSocket({ "127.0.0.1", 0 }).value()))
{
    this->acceptor = std::thread([this] { this->accept(); });
}

FloodingServer::~FloodingServer()
{
    this->isStopping = true;
    this->acceptor.join();
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        for (const UniqueFd &connection : this->connections)
            ::shutdown(connection.get(), SHUT_RDWR);
    }
    for (std::thread &thread : this->threads)
        thread.join();
}

std::uint16_t FloodingServer::port() const
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(this->listening.get(), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void FloodingServer::accept()
{
    constexpr int patienceMillis = 20;
    while (!this->isStopping) {
        pollfd wanted{ this->listening.get(), POLLIN, 0 };
        if (::poll(&wanted, 1, patienceMillis) <= 0)
            continue;
        UniqueFd connection(::accept4(this->listening.get(), nullptr, nullptr, SOCK_CLOEXEC));
        const int fd = connection.get();
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->connections.push_back(std::move(connection));
        this->threads.emplace_back([this, fd] { this->serve(fd); });
    }
}

void FloodingServer::serve(int connection)
{
    const std::string bytes = block(this->flood.repeated);
    while (this->readHead(connection)) {
        ++this->requestCount;
        bool isOpen = this->send(connection, this->flood.start, blockBytes);
        while (isOpen && !bytes.empty())
            isOpen = this->send(connection, bytes, this->flood.isByteByByte ? 1 : blockBytes);
        if (this->flood.end != FloodEnd::None) {
            this->endConnection(connection);
            return;
        }
    }
    ::shutdown(connection, SHUT_RDWR);
}

/// Closes \a connection, with a reset if the flood ends so.
void FloodingServer::endConnection(int connection)
{
    const linger reset{ 1, 0 };
    if (this->flood.end == FloodEnd::Reset)
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::erase_if(this->connections,
                  [connection](const UniqueFd &other) { return other.get() == connection; });
}

/// Reads a request without a body. False if the connection has ended.
bool FloodingServer::readHead(int connection) const
{
    std::string head;
    while (!head.ends_with("\r\n\r\n")) {
        char next = 0;
        if (::recv(connection, &next, 1, 0) != 1)
            return false;
        head += next;
    }
    return true;
}

bool FloodingServer::send(int connection, const std::string &bytes, std::size_t pieceBytes) const
{
    std::string_view left = bytes;
    while (!left.empty()) {
        const ssize_t count = ::send(connection, left.data(), std::min(left.size(), pieceBytes),
                                     MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        left.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace azurewell::standins
