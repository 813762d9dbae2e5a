#include "azurewell/logging/log_buffer.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

const std::string line(150, 'x');

TEST(LogBuffer, ReservesCapacityForUrgentLinesInAFlood)
{
    // Guards against dropping the one line that explains a failure because a burst of ordinary
    // lines has used up the budget.
    LogBuffer buffer;
    const Instant now{ 1'000'000 };
    int written = 0;
    for (int i = 0; i < 10'000; ++i)
        written += addLine(buffer, line, false, now) ? 1 : 0;
    EXPECT_GT(written, 100);
    EXPECT_LT(written, 1000);
    EXPECT_TRUE(addLine(buffer, line, true, now));
    EXPECT_EQ(buffer.droppedLines, static_cast<std::uint64_t>(10'000 - written));
}

TEST(LogBuffer, StaysBoundedWhileStandardOutputIsNotRead)
{
    // Guards against unbounded memory while nothing reads standard output for an hour and lines
    // keep coming. Dropped lines are counted.
    LogBuffer buffer;
    Instant now{ 1'000'000 };
    for (int i = 0; i < 36'000; ++i) {
        now = now + std::chrono::milliseconds(100);
        addLine(buffer, line, true, now);
    }
    EXPECT_LE(buffer.bytes.size(), maxBufferedBytes);
    EXPECT_GT(buffer.droppedLines, 0U);
    EXPECT_EQ(takeUnreportedLines(buffer), buffer.droppedLines);
    EXPECT_EQ(takeUnreportedLines(buffer), 0U);
}

} // namespace
} // namespace azurewell
