#pragma once

#include <cstddef>
#include <cstdint>

namespace azurewell {

/// How many connections others may have with a host. The rest of its descriptors is left for
/// servers, the platform's store and calls to other hosts, which it opens itself.
///
/// Load pattern: clients that nobody controls open connections until a process has no descriptor
/// left. Without limits it can neither accept an ordinary caller nor reach a server then.
struct ConnectionLimits
{
    std::size_t callers = 0;    ///< Also those that wait unread, and other hosts.
    std::size_t peers = 0;      ///< Other hosts that forward requests.
    std::size_t monitoring = 0; ///< For readiness and metrics.
};

/// \a statedDescriptors: that the settings allow the process, 0 if they state none. The limit of
/// the kernel counts as well.
ConnectionLimits connectionLimits(std::uint32_t statedDescriptors);

} // namespace azurewell
