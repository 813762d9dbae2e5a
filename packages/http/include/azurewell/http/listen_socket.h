#pragma once

#include "azurewell/units/endpoint.h"
#include "azurewell/units/result.h"

#include <string>
#include <string_view>
#include <utility>

namespace azurewell {

/// Owns a file descriptor and closes it.
class UniqueFd
{
public:
    UniqueFd() = default;
    explicit UniqueFd(int descriptor)
        : fd(descriptor)
    {
    }
    UniqueFd(UniqueFd &&other) noexcept
        : fd(std::exchange(other.fd, -1))
    {
    }
    UniqueFd &operator=(UniqueFd &&other) noexcept
    {
        std::swap(this->fd, other.fd);
        return *this;
    }
    UniqueFd(const UniqueFd &) = delete;
    UniqueFd &operator=(const UniqueFd &) = delete;
    ~UniqueFd();

    int get() const
    {
        return this->fd;
    }
    /// Passes ownership of the descriptor to the caller.
    int release()
    {
        return std::exchange(this->fd, -1);
    }

private:
    int fd = -1;
};

/// Whether the peer of \a connection has closed or reset it, or its direction of it, even if bytes
/// before that are still unread. Asks the kernel.
bool hasPeerLeft(const UniqueFd &connection);

/// Whether \a connection has been reset, even if bytes before that are still unread. Asks the
/// kernel.
bool isReset(const UniqueFd &connection);

/// Bytes that were sent on \a connection and that the kernel of its peer has not acknowledged; 0 if
/// the kernel doesn't tell.
std::size_t unacknowledgedBytes(const UniqueFd &connection);

/// Sends \a answer to the request that waits unread on \a connection, which is to be closed then.
/// False: none waits, or it is too long to be dropped, or the answer could not be sent.
bool answerUnread(const UniqueFd &connection, std::string_view answer);

/// Opens a listening TCP socket with SO_REUSEPORT: several threads can listen on the same address,
/// and the kernel distributes connections over them. Errors: SettingsInvalid if the address cannot
/// be bound.
Result<UniqueFd> openListenSocket(const Endpoint &endpoint);

/// The IP address of the other end of a connection; empty if it is no longer connected.
std::string peerIpOf(const UniqueFd &connection);

} // namespace azurewell
