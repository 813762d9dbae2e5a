#pragma once

#include "azurewell/units/endpoint.h"
#include "azurewell/units/result.h"

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
    /// Hands the descriptor to the caller, who closes it.
    int release()
    {
        return std::exchange(this->fd, -1);
    }

private:
    int fd = -1;
};

/// Opens a listening TCP socket that several threads may share (SO_REUSEPORT): the kernel spreads
/// connections over them. Errors: SettingsInvalid where the address cannot be bound.
Result<UniqueFd> openListenSocket(const Endpoint &endpoint);

} // namespace azurewell
