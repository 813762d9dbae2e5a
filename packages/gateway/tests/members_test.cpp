#include "azurewell/gateway/members.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

constexpr Instant begin{ 1'000'000'000 };

/// A message of another host that was sent at \a sentAt and is read at \a readAt.
Member messageOf(Instant sentAt, Instant readAt)
{
    Member sender;
    sender.id.value = "h1";
    sender.incarnation.value = 1;
    sender.lastMessageAt = readAt;
    sender.heardAt = readAt;
    sender.startedAt = readAt - (sentAt - begin);
    return sender;
}

const Member &received(Members &members, Instant sentAt, Instant readAt)
{
    EXPECT_TRUE(recordMember(members, messageOf(sentAt, readAt)));
    return members.others.at(HostId{ "h1" });
}

// Guards against a host that stood still and takes the messages which waited for it for new ones.
TEST(Members, AMessageThatWaitedIsAsOldAsItsSending)
{
    Members members;
    const Instant first = begin + std::chrono::seconds(5);
    EXPECT_EQ(received(members, first, first).sentAt, first);
    const Instant sent = first + std::chrono::seconds(1);
    const Instant read = first + std::chrono::seconds(6);
    const Member &late = received(members, sent, read);
    EXPECT_EQ(late.lastMessageAt, read);
    EXPECT_GE(late.sentAt, sent);
    EXPECT_LE(late.sentAt, sent + std::chrono::milliseconds(10));
    const Instant next = read + std::chrono::milliseconds(1);
    EXPECT_GE(received(members, next, next).sentAt, next - std::chrono::milliseconds(10));
}

// Guards against strangers that fill a host's memory with messages of hosts that they make up.
TEST(Members, AreLimitedInNumber)
{
    constexpr std::size_t largestFleet = 390;
    constexpr std::size_t limit = 5000;
    Members members;
    Member sender = messageOf(begin, begin);
    for (std::size_t i = 0; i < 2 * limit; ++i) {
        sender.id.value = "made-up-" + std::to_string(i);
        if (i % 2 == 0)
            recordMember(members, sender);
        else
            recordReportedMember(members, sender);
    }
    EXPECT_GT(members.others.size(), largestFleet);
    EXPECT_LT(members.others.size(), limit);
    sender.id.value = "made-up-0";
    EXPECT_TRUE(recordMember(members, sender));
}

// Guards against clocks that drift apart, so that messages without delay look older and older.
TEST(Members, AMessageWithoutDelayIsNewThoughClocksDrift)
{
    Members members;
    for (int second = 0; second < 24 * 60 * 60; second += 60) {
        const Instant read = begin + std::chrono::seconds(second);
        const Span drift = std::chrono::microseconds(100) * second;
        ASSERT_LE(read - received(members, read - drift, read).sentAt,
                  std::chrono::milliseconds(1));
    }
}

// Guards against a first message that is compared with what others have said of its sender.
TEST(Members, TheFirstMessageOfAReportedHostIsNew)
{
    Members members;
    Member reported;
    reported.id.value = "h1";
    reported.incarnation.value = 1;
    reported.lastMessageAt = begin;
    recordReportedMember(members, reported);
    const Instant now = begin + std::chrono::seconds(60);
    EXPECT_EQ(received(members, now, now).sentAt, now);
}

} // namespace
} // namespace azurewell::gateway
