#include "azurewell/http/listen_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace azurewell {

namespace {

constexpr int backlog = 1024;

/// Receive buffer of an accepted connection. The kernel's own choice grows to megabytes for one
/// that sends fast, and what is in it is memory of the machine, too.
constexpr int receiveBufferBytes = 64 * 1024;

/// Requests below this are dropped with one call to the kernel.
constexpr std::size_t maxDroppedRequestBytes = 16ULL * 1024;

Error failure(const Endpoint &endpoint, const char *what)
{
    return Error{ ResultCode::SettingsInvalid,
                  endpoint.ip + ":" + std::to_string(endpoint.port) + ": " + what + ": "
                          + std::strerror(errno) };
}

/// Those of \a asked, and POLLHUP and POLLERR, that apply to \a connection.
short pendingEvents(const UniqueFd &connection, short asked)
{
    constexpr int withoutWaiting = 0;
    pollfd question{ connection.get(), asked, 0 };
    return ::poll(&question, 1, withoutWaiting) > 0 ? question.revents : short{};
}

} // namespace

UniqueFd::~UniqueFd()
{
    if (this->fd >= 0)
        ::close(this->fd);
}

Result<UniqueFd> openListenSocket(const Endpoint &endpoint)
{
    UniqueFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (socket.get() < 0)
        return failure(endpoint, "socket");
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    // Before listen(), or the kernel has offered a larger window to a connection that it accepts.
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                 sizeof receiveBufferBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (::inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) != 1)
        return failure(endpoint, "not an IPv4 address");
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return failure(endpoint, "bind");
    if (::listen(socket.get(), backlog) != 0)
        return failure(endpoint, "listen");
    return socket;
}

bool hasPeerLeft(const UniqueFd &connection)
{
    return (pendingEvents(connection, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool isReset(const UniqueFd &connection)
{
    return (pendingEvents(connection, 0) & POLLERR) != 0;
}

std::size_t unacknowledgedBytes(const UniqueFd &connection)
{
    int bytes = 0;
    const bool isKnown = ::ioctl(connection.get(), SIOCOUTQ, &bytes) == 0;
    return isKnown && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

bool answerUnread(const UniqueFd &connection, std::string_view answer)
{
    // A connection that is closed with bytes unread is reset, and the caller may lose the answer.
    std::array<char, maxDroppedRequestBytes> request;
    const ssize_t count = ::recv(connection.get(), request.data(), request.size(), MSG_DONTWAIT);
    if (count <= 0 || static_cast<std::size_t>(count) == request.size())
        return false;
    const ssize_t sent = ::send(connection.get(), answer.data(), answer.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(answer.size());
}

std::string peerIpOf(const UniqueFd &connection)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    std::array<char, INET_ADDRSTRLEN> text{};
    const bool isConnected = ::getpeername(connection.get(), reinterpret_cast<sockaddr *>(&address),
                                           &length)
            == 0;
    if (!isConnected || !::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()))
        return {};
    return text.data();
}

} // namespace azurewell
