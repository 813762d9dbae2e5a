#include "processor_share.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

TurnsGot turnsOf(int continuedMillis, int usedMillis, int waitedMillis)
{
    return { std::chrono::seconds(8), std::chrono::milliseconds(continuedMillis),
             ScheduledTime{ std::chrono::milliseconds(usedMillis),
                            std::chrono::milliseconds(waitedMillis) } };
}

constexpr double intended = 0.0125; // 100 ms of 8 s.

} // namespace

TEST(ProcessorShare, IsReadAsTheKernelStatesIt)
{
    const std::optional<ScheduledTime> read = parseScheduledTime("5000000 3877585 12\n");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->used, std::chrono::milliseconds(5));
    EXPECT_EQ(read->waited, std::chrono::microseconds(3877));
    EXPECT_FALSE(parseScheduledTime(""));
    EXPECT_FALSE(parseScheduledTime("none"));
    EXPECT_FALSE(scheduledTimeOf(-1));
}

// Guards against a point that counts as valid although other processes had the processors in the
// turns of the host, or its turns were longer than intended.
TEST(ProcessorShare, IsKeptOnlyIfTheHostCouldUseItsTurns)
{
    EXPECT_TRUE(isShareKept(usableShare(turnsOf(100, 95, 0)), intended));
    EXPECT_TRUE(isShareKept(usableShare(turnsOf(112, 95, 17)), intended));
    EXPECT_FALSE(isShareKept(usableShare(turnsOf(100, 40, 40)), intended));
    EXPECT_FALSE(isShareKept(usableShare(turnsOf(130, 120, 0)), intended));
}

// Guards against a point that counts as not valid because a host with little load had nothing to
// do.
TEST(ProcessorShare, IsKeptByAHostThatSleeps)
{
    EXPECT_TRUE(isShareKept(usableShare(turnsOf(100, 10, 0)), intended));
}

// Guards against a share below zero, and against the trust in turns that the kernel counted nothing
// of.
TEST(ProcessorShare, IsAtLeastWhatWasUsed)
{
    EXPECT_DOUBLE_EQ(usableShare(turnsOf(100, 8, 400)).value(), 0.001);
    TurnsGot unknown = turnsOf(100, 95, 0);
    unknown.scheduled.reset();
    EXPECT_FALSE(usableShare(unknown));
    EXPECT_FALSE(isShareKept(usableShare(unknown), intended));
}

} // namespace azurewell
