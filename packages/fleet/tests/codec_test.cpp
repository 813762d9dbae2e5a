#include "azurewell/fleet/codec.h"

#include <gtest/gtest.h>

#include <random>

using namespace azurewell;

namespace {

PeerMessage throughTheWire(const PeerMessage &message)
{
    const std::string frame = encodeFrame(message);
    const Result<std::uint32_t> length = frameLength(frame);
    EXPECT_TRUE(length);
    EXPECT_EQ(length.value() + frameHeadBytes, frame.size());
    const Result<PeerMessage> decoded = decodePayload(
            std::string_view(frame).substr(frameHeadBytes));
    EXPECT_TRUE(decoded);
    return decoded.value();
}

} // namespace

TEST(Codec, ASlotAskComesBackWhole)
{
    const SlotAsk ask{ RequestId{ "r" },    UpstreamId{ "e" },
                       AdapterRef{ "a@1" }, CustomerId{ "c" },
                       Tokens{ 7 },         2.5,
                       Span{ 12 },          3 };
    const PeerMessage back = throughTheWire(PeerMessage{ HostId{ "h" }, Incarnation{ 9 }, ask });
    const SlotAsk &got = std::get<SlotAsk>(back.body);
    EXPECT_EQ(back.sender, HostId{ "h" });
    EXPECT_EQ(got.adapter, ask.adapter);
    EXPECT_EQ(got.cost, ask.cost);
    EXPECT_EQ(got.untilDeadline, ask.untilDeadline);
}

// Something else than a host connects to the peer port and sends bytes at random, or a frame that
// claims two gigabytes. The host must neither stop nor allocate them.
TEST(Codec, GarbageIsRefused)
{
    std::mt19937 random(7);
    std::uniform_int_distribution<int> byte(0, 255);
    for (int round = 0; round < 20'000; ++round) {
        std::string payload(static_cast<std::size_t>(round % 97), '\0');
        for (char &letter : payload)
            letter = static_cast<char>(byte(random));
        (void)decodePayload(payload);
    }
    EXPECT_FALSE(decodePayload("\x7f\x7f\x7f"));
    EXPECT_FALSE(frameLength("\x7f\xff\xff\xff"));
}
