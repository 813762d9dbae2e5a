#include "azurewell/proxy/busy_answer.h"

#include <gtest/gtest.h>

namespace azurewell {
namespace {

/// A queue that has been read at 100 requests a second, and holds \a length callers.
AcceptQueue queueOf(std::size_t length, Instant now)
{
    AcceptQueue queue;
    queue.waiting.resize(length);
    queue.backloggedSince = now - std::chrono::seconds(1);
    endSlice(queue, 100, now);
    return queue;
}

} // namespace

// Guards against a host that spends the time in which it could read on formatting the same response
// for each caller that it turns away.
TEST(BusyAnswer, IsFormattedOnceASlice)
{
    const Instant now{ 5'000'000 };
    BusyAnswer answer;
    const std::string first = currentBytes(answer, queueOf(200, now), now);
    EXPECT_NE(first.find("\r\nRetry-After: 2.000\r\n"), std::string::npos) << first;
    const AcceptQueue longer = queueOf(300, now);
    EXPECT_EQ(currentBytes(answer, longer, now + std::chrono::milliseconds(99)), first);
    const std::string later = currentBytes(answer, longer, now + std::chrono::milliseconds(100));
    EXPECT_NE(later.find("\r\nRetry-After: 3.000\r\n"), std::string::npos) << later;
}

} // namespace azurewell
