#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <compare>
#include <variant>
#include <vector>

namespace azurewell {

/// A host ordinal: a fixed place in a zone. Shares of rates belong to ordinals rather than hosts,
/// so that two views of the host list cannot add up to two different sums.
struct SeatId
{
    ZoneId zone;
    SeatNumber number;

    auto operator<=>(const SeatId &) const = default;
};

/// One incarnation of a host. A restarted or replaced host is a new one, without any state.
struct HostIncarnation
{
    HostId host;
    Incarnation incarnation;

    auto operator<=>(const HostIncarnation &) const = default;
};

/// A borrower's account with one lender for one customer. All fields are totals that only rise, so
/// lost, duplicate and reordered reports are harmless: the newest value of each field counts.
struct LoanReport
{
    std::uint64_t closed = 0; ///< Requests up to this serial are answered or abandoned.
    Tokens accepted;          ///< Received by grants up to `closed`.
    Tokens spent;             ///< Of these, generated and passed on to callers.
    Tokens returned;          ///< Of these, never to be used by the borrower.
};

/// Requests tokens from the owner of a share. With `serial` 0 it is a report only.
struct ShareAsk
{
    CustomerId customer;
    std::uint64_t serial = 0; ///< Rises with each request to this lender for this customer.
    Tokens wanted;
    Incarnation lender; ///< The incarnation of the lender that the report is about.
    LoanReport report;
};

/// Tokens lent to one incarnation of a host. The lender counts `lease` from the grant, the borrower
/// from the sending of the request, which is earlier.
struct ShareGrant
{
    CustomerId customer;
    std::uint64_t serial = 0;
    Tokens amount;
    Incarnation borrower;
    Span lease{};
    Tokens left; ///< What the lender could still lend; sizes the next request.
    std::uint32_t borrowers
            = 0; ///< Hosts that borrow from this share; spaces requests to an empty lender.
};

/// Asks the host at another ordinal for its statement.
struct ShareQuery
{
    SeatId seat; ///< The sender's.
    std::uint64_t serial = 0;
};

/// Tokens that the sender holds from former incarnations at the requester's ordinal.
struct HeldLoan
{
    CustomerId customer;
    Tokens amount;
};

/// The answer to a ShareQuery.
struct ShareStatement
{
    SeatId seat; ///< The sender's.
    std::uint64_t serial = 0;
    Incarnation asker;         ///< The incarnation that sent the query.
    Incarnation newestOfAsker; ///< The newest incarnation at that ordinal known to the sender.
    bool isTrusted = false;    ///< The sender's own ordinal is confirmed.
    TicketNumber settled;      ///< The sender's shares have the size that this ticket gives them.
    std::vector<HeldLoan> held;
};

using ShareBody = std::variant<ShareAsk, ShareGrant, ShareQuery, ShareStatement>;

/// A message to send.
struct ShareOutgoing
{
    HostId to;
    ShareBody body;
};

} // namespace azurewell
