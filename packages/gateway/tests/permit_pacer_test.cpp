#include "azurewell/gateway/permit_pacer.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

// Guards against permits that accumulate while there are no requests and are then used all at once.
TEST(PermitPacer, GrantsPermitsAtTheStatedRateWithoutBurstsAfterIdleTime)
{
    PermitPacer pacer;
    Instant now{ 1'000'000'000 };
    EXPECT_EQ(reservePermit(pacer, 2, now), Span(std::chrono::milliseconds(500)));
    EXPECT_EQ(reservePermit(pacer, 2, now), Span(std::chrono::milliseconds(1000)));
    now = now + std::chrono::seconds(60);
    EXPECT_EQ(reservePermit(pacer, 2, now), Span{});
    EXPECT_EQ(reservePermit(pacer, 2, now), Span(std::chrono::milliseconds(500)));
}

TEST(PermitPacer, ReusesAReturnedPermit)
{
    PermitPacer pacer;
    const Instant now{ 1'000'000'000 };
    reservePermit(pacer, 1, now);
    reservePermit(pacer, 1, now);
    returnPermit(pacer, 1);
    EXPECT_EQ(reservePermit(pacer, 1, now), Span(std::chrono::seconds(2)));
}

} // namespace
} // namespace azurewell::gateway
