#include "azurewell/proxy/connection_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace azurewell {

namespace {

/// Descriptors that the platform counts as files, not as sockets.
constexpr std::size_t fileDescriptors = 200;

constexpr std::size_t maxPeers = 1024;

/// Load balancers and collectors of metrics keep a few connections each.
constexpr std::size_t maxMonitoring = 32;

std::size_t descriptorsOfKernel()
{
    rlimit limit{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : SIZE_MAX;
}

} // namespace

ConnectionLimits connectionLimits(std::uint32_t statedDescriptors)
{
    const std::size_t kernel = descriptorsOfKernel();
    const std::size_t all = statedDescriptors > 0 ? std::min<std::size_t>(statedDescriptors, kernel)
                                                  : kernel;
    const std::size_t sockets = all > 2 * fileDescriptors ? all - fileDescriptors : all / 2;
    return { std::max<std::size_t>(sockets / 4 * 3, 1),
             std::clamp<std::size_t>(sockets / 8, 1, maxPeers),
             std::clamp<std::size_t>(sockets / 8, 1, maxMonitoring) };
}

} // namespace azurewell
