#include "azurewell/proxy/connection_limits.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

namespace azurewell {
namespace {

constexpr std::size_t fileDescriptors = 200;

// Guards against limits whose sum takes all descriptors, so that no server can be reached.
TEST(ConnectionLimits, LeaveDescriptorsForServers)
{
    for (const std::uint32_t stated : { 100U, 399U, 400U, 401U, 3075U, 10250U }) {
        const ConnectionLimits limits = connectionLimits(stated);
        const std::size_t sockets = stated > 2 * fileDescriptors ? stated - fileDescriptors
                                                                 : stated / 2;
        EXPECT_LE(limits.callers + limits.monitoring, sockets / 10 * 9) << stated;
        EXPECT_LT(limits.peers, limits.callers) << stated;
        EXPECT_GT(limits.callers, 0U) << stated;
    }
}

// Guards against settings that state more descriptors than the kernel allows.
TEST(ConnectionLimits, FollowTheKernelsLimit)
{
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
    rlimit lower = before;
    lower.rlim_cur = 1000;
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &lower), 0);
    const ConnectionLimits limits = connectionLimits(10250);
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_EQ(limits.callers, 600U);
}

} // namespace
} // namespace azurewell
