#include "azurewell/units/deadline_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace azurewell {
namespace {

std::vector<std::string> takeAll(DeadlineQueue<std::string> &queue, std::int64_t until)
{
    std::vector<std::string> taken;
    while (const std::optional<std::string> key = queue.takeDue(Instant{ until }))
        taken.push_back(*key);
    return taken;
}

TEST(DeadlineQueueTest, TakesDueKeysInOrder)
{
    DeadlineQueue<std::string> queue;
    queue.set("later", Instant{ 30 });
    queue.set("second", Instant{ 20 });
    queue.set("first", Instant{ 10 });
    EXPECT_EQ(takeAll(queue, 9), std::vector<std::string>{});
    EXPECT_EQ(takeAll(queue, 20), (std::vector<std::string>{ "first", "second" }));
    EXPECT_EQ(queue.size(), 1U);
}

// Guards against returning a rescheduled key twice, or at its old deadline.
TEST(DeadlineQueueTest, RescheduledKeyIsTakenOnce)
{
    DeadlineQueue<std::string> queue;
    queue.set("a", Instant{ 10 });
    queue.set("a", Instant{ 30 });
    EXPECT_EQ(takeAll(queue, 29), std::vector<std::string>{});
    EXPECT_EQ(takeAll(queue, 30), std::vector<std::string>{ "a" });
    EXPECT_EQ(takeAll(queue, 99), std::vector<std::string>{});
}

TEST(DeadlineQueueTest, BringForwardNeverPostpones)
{
    DeadlineQueue<std::string> queue;
    queue.bringForward("a", Instant{ 20 });
    queue.bringForward("a", Instant{ 40 });
    EXPECT_EQ(takeAll(queue, 20), std::vector<std::string>{ "a" });
    queue.bringForward("b", Instant{ 40 });
    queue.bringForward("b", Instant{ 30 });
    EXPECT_EQ(takeAll(queue, 30), std::vector<std::string>{ "b" });
}

TEST(DeadlineQueueTest, ErasedKeyIsNotTaken)
{
    DeadlineQueue<std::string> queue;
    queue.set("a", Instant{ 10 });
    queue.erase("a");
    queue.erase("never there");
    EXPECT_EQ(takeAll(queue, 99), std::vector<std::string>{});
}

} // namespace
} // namespace azurewell
