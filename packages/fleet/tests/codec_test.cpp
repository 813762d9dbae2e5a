#include "azurewell/fleet/codec.h"

#include <gtest/gtest.h>

#include <random>

using namespace azurewell;

namespace {

PeerMessage roundTrip(const PeerMessage &message)
{
    const std::string frame = encodeFrame(message);
    const Result<std::uint32_t> length = frameLength(frame);
    EXPECT_TRUE(length);
    EXPECT_EQ(length.value() + frameHeaderBytes, frame.size());
    const Result<PeerMessage> decoded = decodePayload(
            std::string_view(frame).substr(frameHeaderBytes));
    EXPECT_TRUE(decoded);
    return decoded.value();
}

} // namespace

TEST(Codec, SlotAskRoundTrips)
{
    const SlotAsk ask{ RequestId{ "r" },    UpstreamId{ "e" },
                       AdapterRef{ "a@1" }, CustomerId{ "c" },
                       Tokens{ 7 },         2.5,
                       Span{ 12 },          3 };
    const PeerMessage back = roundTrip(PeerMessage{ HostId{ "h" }, Incarnation{ 9 }, ask });
    const SlotAsk &got = std::get<SlotAsk>(back.body);
    EXPECT_EQ(back.sender, HostId{ "h" });
    EXPECT_EQ(got.adapter, ask.adapter);
    EXPECT_EQ(got.cost, ask.cost);
    EXPECT_EQ(got.untilDeadline, ask.untilDeadline);
}

TEST(Codec, CallMessagesRoundTrip)
{
    const PermitReply reply{ CallNumber{ "h.1.2.0000000a" }, RequestId{ "r" },
                             PermitAnswer{ PermitVerdict::Done, Span{ 7 },
                                           HeldAnswer{ 201, "t", std::string("a\0b", 3) } } };
    const PeerMessage replied = roundTrip(PeerMessage{ HostId{ "h" }, {}, reply });
    const PermitReply &gotReply = std::get<PermitReply>(replied.body);
    EXPECT_EQ(gotReply.number, reply.number);
    EXPECT_EQ(gotReply.answer.verdict, PermitVerdict::Done);
    EXPECT_EQ(gotReply.answer.length, Span{ 7 });
    EXPECT_EQ(gotReply.answer.answer.status, 201);
    EXPECT_EQ(gotReply.answer.answer.body.size(), 3U);
    const OutcomeReport report{
        reply.number, CustomerId{ "c" }, RequestId{ "r" }, CallOutcome::NotRun, {}
    };
    const PeerMessage reported = roundTrip(PeerMessage{ HostId{ "h" }, {}, report });
    EXPECT_EQ(std::get<OutcomeReport>(reported.body).outcome, CallOutcome::NotRun);
    EXPECT_EQ(std::get<OutcomeReport>(reported.body).customer, CustomerId{ "c" });
}

// A host of a newer version sends a verdict and an outcome that this one does not know. Read as a
// permit or as "not run", they would let a call run twice.
TEST(Codec, AnUnknownVerdictIsNoPermit)
{
    const PermitReply reply{ {}, {}, PermitAnswer{ static_cast<PermitVerdict>(99), {}, {} } };
    const PeerMessage replied = roundTrip(PeerMessage{ HostId{ "h" }, {}, reply });
    EXPECT_EQ(std::get<PermitReply>(replied.body).answer.verdict, PermitVerdict::Unknown);
    const OutcomeReport report{ {}, {}, {}, static_cast<CallOutcome>(99), {} };
    const PeerMessage reported = roundTrip(PeerMessage{ HostId{ "h" }, {}, report });
    EXPECT_EQ(std::get<OutcomeReport>(reported.body).outcome, CallOutcome::Unknown);
}

// A client that is not a host connects to the peer port and sends random bytes, or a frame that
// announces two gigabytes. The host must neither crash nor allocate them.
TEST(Codec, RandomBytesAreRejected)
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
