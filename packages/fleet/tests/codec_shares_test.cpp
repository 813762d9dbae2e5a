#include "azurewell/fleet/codec.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

template <typename Body>
Body roundTrip(const Body &body)
{
    const std::string frame = encodeFrame(PeerMessage{ HostId{ "h" }, Incarnation{ 7 }, body });
    const Result<PeerMessage> message = decodePayload(
            std::string_view(frame).substr(frameHeaderBytes));
    return std::get<Body>(message.value().body);
}

} // namespace

TEST(CodecShares, AsksAndGrantsRoundTrip)
{
    const ShareAsk ask = roundTrip(ShareAsk{ CustomerId{ "c" },
                                             3,
                                             Tokens{ 500 },
                                             Incarnation{ 9 },
                                             { 2, Tokens{ 40 }, Tokens{ 30 }, Tokens{ 5 } } });
    EXPECT_EQ(ask.customer, CustomerId{ "c" });
    EXPECT_EQ(ask.serial, 3U);
    EXPECT_EQ(ask.wanted, Tokens{ 500 });
    EXPECT_EQ(ask.lender, Incarnation{ 9 });
    EXPECT_EQ(ask.report.closed, 2U);
    EXPECT_EQ(ask.report.accepted, Tokens{ 40 });
    EXPECT_EQ(ask.report.spent, Tokens{ 30 });
    EXPECT_EQ(ask.report.returned, Tokens{ 5 });

    const ShareGrant grant = roundTrip(ShareGrant{ CustomerId{ "c" }, 3, Tokens{ 500 },
                                                   Incarnation{ 8 }, fromSeconds(5), Tokens{ 12 },
                                                   4 });
    EXPECT_EQ(grant.amount, Tokens{ 500 });
    EXPECT_EQ(grant.borrower, Incarnation{ 8 });
    EXPECT_EQ(grant.lease, fromSeconds(5));
    EXPECT_EQ(grant.left, Tokens{ 12 });
    EXPECT_EQ(grant.borrowers, 4U);
}

TEST(CodecShares, QueriesAndStatementsRoundTrip)
{
    const SeatId seat{ ZoneId{ "z" }, SeatNumber{ 2 } };
    EXPECT_EQ(roundTrip(ShareQuery{ seat, 5 }).seat, seat);
    const ShareStatement statement = roundTrip(
            ShareStatement{ seat,
                            5,
                            Incarnation{ 1 },
                            Incarnation{ 2 },
                            true,
                            TicketNumber{ 6 },
                            { HeldLoan{ CustomerId{ "c" }, Tokens{ 77 } } } });
    EXPECT_EQ(statement.serial, 5U);
    EXPECT_EQ(statement.newestOfAsker, Incarnation{ 2 });
    EXPECT_TRUE(statement.isTrusted);
    EXPECT_EQ(statement.settled, TicketNumber{ 6 });
    ASSERT_EQ(statement.held.size(), 1U);
    EXPECT_EQ(statement.held[0].amount, Tokens{ 77 });
}

// A peer of a faulty version sends a negative amount. Used unchecked, it would raise a bucket's
// level and give the customer tokens that nobody lent.
TEST(CodecShares, NegativeAmountsAreReadAsZero)
{
    const ShareGrant grant = roundTrip(
            ShareGrant{ CustomerId{ "c" }, 1, Tokens{ -5 }, Incarnation{ 1 }, Span{}, Tokens{} });
    EXPECT_EQ(grant.amount, Tokens{ 0 });
}
