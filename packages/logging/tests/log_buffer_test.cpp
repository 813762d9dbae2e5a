#include "azurewell/logging/log_buffer.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

const std::string line(150, 'x');

TEST(LogBuffer, KeepsRoomForUrgentLinesInAFlood)
{
    // A burst of ordinary lines comes within a moment, and then a failure has to be told. Without
    // room kept for it, the one line that explains the burst would be the one left out.
    LogBuffer buffer;
    const Instant now{ 1'000'000 };
    int written = 0;
    for (int i = 0; i < 10'000; ++i)
        written += addLine(buffer, line, false, now) ? 1 : 0;
    EXPECT_GT(written, 100);
    EXPECT_LT(written, 1000);
    EXPECT_TRUE(addLine(buffer, line, true, now));
    EXPECT_EQ(buffer.leftOut, static_cast<std::uint64_t>(10'000 - written));
}

TEST(LogBuffer, HoldsABoundedAmountForAReaderThatStopped)
{
    // The reader of standard output stops for an hour while lines go on. Memory stays bounded and
    // what was left out is counted.
    LogBuffer buffer;
    Instant now{ 1'000'000 };
    for (int i = 0; i < 36'000; ++i) {
        now = now + std::chrono::milliseconds(100);
        addLine(buffer, line, true, now);
    }
    EXPECT_LE(buffer.bytes.size(), mostHeldBytes);
    EXPECT_GT(buffer.leftOut, 0U);
    EXPECT_EQ(takeUntold(buffer), buffer.leftOut);
    EXPECT_EQ(takeUntold(buffer), 0U);
}

} // namespace
} // namespace azurewell
