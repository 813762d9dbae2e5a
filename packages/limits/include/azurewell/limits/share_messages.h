#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <compare>
#include <variant>
#include <vector>

namespace azurewell {

/// A host place: parts of rates belong to places, so that two views of the host list cannot give
/// two sums.
struct SeatId
{
    ZoneId zone;
    SeatNumber number;

    auto operator<=>(const SeatId &) const = default;
};

/// One life of a host. A restarted or replaced host is another one, which remembers nothing.
struct HostLife
{
    HostId host;
    Incarnation incarnation;

    auto operator<=>(const HostLife &) const = default;
};

/// A borrower's account with one lender for one customer. All fields are totals that only rise, so
/// a report that is lost, doubled or overtaken does no harm: the newest of each field counts.
struct LoanReport
{
    std::uint64_t closed = 0; ///< Asks up to this serial are answered or given up for good.
    Tokens accepted;          ///< Received by grants up to `closed`.
    Tokens spent;             ///< Of these, made and passed on to callers.
    Tokens returned;          ///< Of these, never to be used by the borrower.
};

/// Asks the owner of a part for tokens; with `serial` 0 it only reports.
struct ShareAsk
{
    CustomerId customer;
    std::uint64_t serial = 0; ///< Rises with each ask to this lender for this customer.
    Tokens wanted;
    Incarnation lender; ///< The life of the lender that the report is about.
    LoanReport report;
};

/// Tokens lent to one life of one host. The lender counts `lease` from the grant, the borrower from
/// when it sent the ask, which was earlier.
struct ShareGrant
{
    CustomerId customer;
    std::uint64_t serial = 0;
    Tokens amount;
    Incarnation borrower;
    Span lease{};
    Tokens left; ///< What the lender could still lend; guides the next ask.
    std::uint32_t borrowers
            = 0; ///< Hosts that borrow of this part; spaces the asks to an empty one.
};

/// Asks the holder of another seat for its statement.
struct ShareQuery
{
    SeatId seat; ///< The asker's.
    std::uint64_t serial = 0;
};

/// Tokens that the sender holds from former lives of the asker's seat.
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
    Incarnation asker;
    Incarnation newestOfAsker; ///< The newest life of the asker's seat that the sender has heard.
    bool isTrusted = false;    ///< The sender has no doubt of its own seat.
    TicketNumber settled;      ///< The sender's parts have the size that this ticket gives them.
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
