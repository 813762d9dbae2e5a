#include "codec_shares.h"

#include <algorithm>

namespace azurewell {

namespace {

std::uint64_t unsignedOf(std::int64_t number)
{
    return static_cast<std::uint64_t>(number);
}

std::int64_t signedOf(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

/// A token amount from a peer. Negative amounts are invalid and are read as 0, since they would
/// create tokens.
Tokens amountOf(std::int64_t count)
{
    return Tokens{ std::max<std::int64_t>(0, count) };
}

SeatId seatOf(const std::string &zone, std::int32_t number)
{
    return SeatId{ ZoneId{ zone }, SeatNumber{ static_cast<std::uint32_t>(number) } };
}

ShareAsk fromWire(const wire::ShareAsk &in)
{
    const wire::LoanReport &report = in.report;
    return ShareAsk{ CustomerId{ in.customer }, unsignedOf(in.serial), amountOf(in.wanted),
                     Incarnation{ unsignedOf(in.lender) },
                     LoanReport{ unsignedOf(report.closed), amountOf(report.accepted),
                                 amountOf(report.spent), amountOf(report.returned) } };
}

ShareGrant fromWire(const wire::ShareGrant &in)
{
    return ShareGrant{ CustomerId{ in.customer },
                       unsignedOf(in.serial),
                       amountOf(in.amount),
                       Incarnation{ unsignedOf(in.borrower) },
                       Span{ in.lease },
                       amountOf(in.left),
                       static_cast<std::uint32_t>(in.borrowers) };
}

ShareStatement fromWire(const wire::ShareStatement &in)
{
    ShareStatement statement;
    statement.seat = seatOf(in.zone, in.seat);
    statement.serial = unsignedOf(in.serial);
    statement.asker = Incarnation{ unsignedOf(in.asker) };
    statement.newestOfAsker = Incarnation{ unsignedOf(in.newestOfAsker) };
    statement.isTrusted = in.trusted;
    statement.settled = TicketNumber{ unsignedOf(in.settled) };
    for (const wire::HeldLoan &loan : in.held)
        statement.held.push_back(HeldLoan{ CustomerId{ loan.customer }, amountOf(loan.amount) });
    return statement;
}

} // namespace

wire::ShareAsk toWire(const ShareAsk &ask)
{
    wire::LoanReport report;
    report.__set_closed(signedOf(ask.report.closed));
    report.__set_accepted(ask.report.accepted.count);
    report.__set_spent(ask.report.spent.count);
    report.__set_returned(ask.report.returned.count);
    wire::ShareAsk out;
    out.__set_customer(ask.customer.value);
    out.__set_serial(signedOf(ask.serial));
    out.__set_wanted(ask.wanted.count);
    out.__set_lender(signedOf(ask.lender.value));
    out.__set_report(report);
    return out;
}

wire::ShareGrant toWire(const ShareGrant &grant)
{
    wire::ShareGrant out;
    out.__set_customer(grant.customer.value);
    out.__set_serial(signedOf(grant.serial));
    out.__set_amount(grant.amount.count);
    out.__set_borrower(signedOf(grant.borrower.value));
    out.__set_lease(grant.lease.count());
    out.__set_left(grant.left.count);
    out.__set_borrowers(static_cast<std::int32_t>(grant.borrowers));
    return out;
}

wire::ShareQuery toWire(const ShareQuery &query)
{
    wire::ShareQuery out;
    out.__set_zone(query.seat.zone.value);
    out.__set_seat(static_cast<std::int32_t>(query.seat.number.value));
    out.__set_serial(signedOf(query.serial));
    return out;
}

wire::ShareStatement toWire(const ShareStatement &statement)
{
    wire::ShareStatement out;
    out.__set_zone(statement.seat.zone.value);
    out.__set_seat(static_cast<std::int32_t>(statement.seat.number.value));
    out.__set_serial(signedOf(statement.serial));
    out.__set_asker(signedOf(statement.asker.value));
    out.__set_newestOfAsker(signedOf(statement.newestOfAsker.value));
    out.__set_trusted(statement.isTrusted);
    out.__set_settled(signedOf(statement.settled.value));
    std::vector<wire::HeldLoan> held;
    for (const HeldLoan &loan : statement.held) {
        wire::HeldLoan &added = held.emplace_back();
        added.__set_customer(loan.customer.value);
        added.__set_amount(loan.amount.count);
    }
    out.__set_held(held);
    return out;
}

std::optional<ShareBody> shareBodyOf(const wire::Body &body)
{
    if (body.__isset.shareAsk)
        return fromWire(body.shareAsk);
    if (body.__isset.shareGrant)
        return fromWire(body.shareGrant);
    if (body.__isset.shareQuery)
        return ShareQuery{ seatOf(body.shareQuery.zone, body.shareQuery.seat),
                           unsignedOf(body.shareQuery.serial) };
    if (body.__isset.shareStatement)
        return fromWire(body.shareStatement);
    return std::nullopt;
}

} // namespace azurewell
