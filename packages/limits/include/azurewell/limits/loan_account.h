#pragma once

#include "azurewell/limits/share_settings.h"

#include <optional>

namespace azurewell {

/// The borrower's side of a loan account: what this host has borrowed for one customer from one
/// incarnation of a lender.
struct BorrowerAccount
{
    SeatId seat;
    HostIncarnation lender;
    Tokens available;      ///< Borrowed and not reserved by any request.
    Tokens reserved;       ///< Reserved by admitted requests and not yet generated.
    Instant usableUntil;   ///< `available` must not be reserved after this.
    LoanReport report;     ///< Current totals for the lender.
    LoanReport sentReport; ///< Totals last sent to the lender.
    Instant nextReportAt;  ///< No report is sent before this, so that changes are batched.
    std::uint64_t requestSerial = 0;
    Tokens requested; ///< By the open request; zero if none is open.
    Instant requestSentAt;
    Instant requestDeadline;               ///< The open request times out at this point.
    Instant nextRequestAt;                 ///< No request is sent to this lender before this.
    std::optional<Tokens> lenderRemaining; ///< What the lender could lend at `lenderRemainingAt`.
    Instant lenderRemainingAt;
};

/// Opens a request for \a wanted tokens. At most one is open for each lender.
ShareAsk openRequest(BorrowerAccount &account, const CustomerId &customer, Tokens wanted,
                     const ShareSettings &settings, Instant now);

/// Abandons the open request if it has timed out. A grant that arrives later is not accepted.
void abandonTimedOutRequest(BorrowerAccount &account, Instant now);

/// Credits a grant to the account. Returns false if it does not answer the open request (late or
/// duplicate); the lender recovers such tokens from the totals in the next report.
bool acceptGrant(BorrowerAccount &account, const ShareGrant &grant, const ShareSettings &settings,
                 Instant now);

/// Returns the available tokens if their lease has expired.
void returnExpired(BorrowerAccount &account, Instant now);

/// Returns \a amount of the available tokens to the lender.
void returnSurplus(BorrowerAccount &account, Tokens amount);

/// The next report, or none if it is not due or nothing has changed.
std::optional<ShareAsk> takeReport(BorrowerAccount &account, const CustomerId &customer,
                                   const ShareSettings &settings, Instant now);

} // namespace azurewell
