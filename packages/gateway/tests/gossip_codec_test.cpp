#include "azurewell/gateway/gossip_codec.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <string>

namespace azurewell::gateway {
namespace {

/// The most memory that this process has held, in KiB.
long peakMemory()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

// Guards against a message of a few bytes that states a list of millions of elements, for which
// memory is reserved before they are read.
TEST(GossipCodec, AStatedLengthReservesNoMemory)
{
    const std::string longMemberList = "\x99\xf9\xb3\xfb\xfa\x1d";
    constexpr long maxGrowth = 64L * 1024;
    const long before = peakMemory();
    EXPECT_FALSE(decodeGossip(longMemberList, Instant{ 1'000'000 }));
    EXPECT_LT(peakMemory() - before, maxGrowth);
}

// Guards against a message whose text states more characters than the message has.
TEST(GossipCodec, ATextBeyondTheMessageIsInvalid)
{
    const std::string longSender = "\x18\xff\xff\xff\x7f\x61";
    const Result<Gossip> decoded = decodeGossip(longSender, Instant{ 1'000'000 });
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().code, ResultCode::MessageInvalid);
}

} // namespace
} // namespace azurewell::gateway
