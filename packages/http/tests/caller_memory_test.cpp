#include "azurewell/http/caller_memory.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace azurewell {
namespace {

constexpr std::uint64_t bytesInMegabyte = 1000ULL * 1000;
constexpr std::uint64_t smallestMachineBytes = 120 * bytesInMegabyte;
constexpr std::size_t longestBodyBytes = 4ULL * 1024 * 1024;

// Guards against a limit within which no single request of the greatest length can be served.
TEST(CallerMemory, HasRoomForOneRequestOfTheGreatestLength)
{
    for (const std::uint64_t machine : { 32 * bytesInMegabyte, smallestMachineBytes, 0UL }) {
        CallerMemory memory{ callerMemoryLimit(machine, longestBodyBytes), 0, 0 };
        MemoryShare request(memory);
        request.set(2 * longestBodyBytes, false);
        EXPECT_FALSE(request.isOver()) << machine;
        EXPECT_TRUE(mayBegin(memory, request.bytes())) << machine;
    }
}

// Guards against a limit that a configuration with long bodies raises over the machine's memory.
TEST(CallerMemory, IsAtMostHalfOfTheMachine)
{
    EXPECT_EQ(callerMemoryLimit(smallestMachineBytes, smallestMachineBytes),
              smallestMachineBytes / 2);
    EXPECT_EQ(callerMemoryLimit(smallestMachineBytes, UINT64_MAX), smallestMachineBytes / 2);
    EXPECT_EQ(callerMemoryLimit(smallestMachineBytes, 1), smallestMachineBytes / 4);
}

// Guards against long requests that wait for their answers and keep short ones from beginning.
TEST(CallerMemory, LongRequestsLeaveRoomForShortOnes)
{
    CallerMemory memory{ callerMemoryLimit(smallestMachineBytes, longestBodyBytes), 0, 0 };
    constexpr std::size_t longRequest = 1024ULL * 1024;
    constexpr std::size_t shortRequest = 8ULL * 1024;
    std::vector<MemoryShare> waiting;
    while (mayBegin(memory, longRequest)) {
        waiting.emplace_back(memory);
        waiting.back().set(longRequest, true);
        ASSERT_LT(waiting.size(), 100U);
    }
    EXPECT_GT(waiting.size(), 20U);
    std::size_t shortOnes = 0;
    for (; mayBegin(memory, shortRequest); ++shortOnes) {
        waiting.emplace_back(memory);
        waiting.back().set(shortRequest, true);
    }
    EXPECT_GT(shortOnes, 500U);
    EXPECT_LE(memory.held, memory.limit);
}

// Guards against memory that stays counted when its connection has ended.
TEST(CallerMemory, ASharesEndGivesItBack)
{
    CallerMemory memory{ 100, 0, 0 };
    {
        MemoryShare first(memory);
        first.set(60, true);
        first.set(50, false);
        MemoryShare second(memory);
        second.set(70, true);
        EXPECT_TRUE(second.isOver());
        first = std::move(second);
        EXPECT_EQ(memory.begun, 70U);
    }
    EXPECT_EQ(memory.held, 0U);
    EXPECT_EQ(memory.begun, 0U);
}

} // namespace
} // namespace azurewell
