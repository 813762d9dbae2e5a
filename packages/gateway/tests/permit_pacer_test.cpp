#include "azurewell/gateway/permit_pacer.h"

#include <gtest/gtest.h>

namespace azurewell::gateway {
namespace {

const PermitHolder first{ HostId{ "h1" }, 1 };
const PermitHolder second{ HostId{ "h2" }, 1 };
const PermitHolder third{ HostId{ "h1" }, 2 };

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
    reservePermit(pacer, 1, now, first);
    reservePermit(pacer, 1, now, second);
    returnPermit(pacer, second);
    EXPECT_EQ(reservePermit(pacer, 1, now, third), Span(std::chrono::seconds(2)));
}

// Guards against two requests with a permit for the same time.
TEST(PermitPacer, AReturnedPermitKeepsItsTime)
{
    PermitPacer pacer;
    const Instant now{ 1'000'000'000 };
    reservePermit(pacer, 1, now, first);
    reservePermit(pacer, 1, now, second);
    returnPermit(pacer, first);
    EXPECT_EQ(reservePermit(pacer, 1, now, third), Span(std::chrono::seconds(1)));
    EXPECT_EQ(reservePermit(pacer, 1, now, first), Span(std::chrono::seconds(3)));
}

// Guards against a permit that is returned late and used together with later ones.
TEST(PermitPacer, APermitWhoseTimeIsOverIsNotReused)
{
    PermitPacer pacer;
    const Instant now{ 1'000'000'000 };
    reservePermit(pacer, 1, now, first);
    reservePermit(pacer, 1, now, second);
    const Instant later = now + std::chrono::milliseconds(1500);
    returnPermit(pacer, first);
    EXPECT_EQ(reservePermit(pacer, 1, later, third), Span(std::chrono::milliseconds(1500)));
}

} // namespace
} // namespace azurewell::gateway
