#pragma once

#include "azurewell/limits/share_settings.h"
#include "azurewell/limits/token_bucket.h"

#include <map>
#include <vector>

namespace azurewell {

/// The lender's side of a loan account: what one incarnation of a host has borrowed of a share.
struct LenderAccount
{
    LoanReport report;               ///< The newest value of each field.
    std::uint64_t pendingSerial = 0; ///< Serial of the newest request that was answered.
    Tokens pending;                  ///< Granted for it, not yet known to be accepted or lost.
    Tokens held;                     ///< Accepted, and neither generated nor returned.
    Instant endsAt;                  ///< No token lent so far can be generated after this.
};

/// The size that a ticket gave to a share.
struct ShareSize
{
    TicketNumber ticket;
    double fraction = 0;
};

/// A customer's share at the host ordinal that owns it, with the loans made from it.
///
/// Load pattern: the balancer sends most of a customer's traffic to one host, then to another.
/// Without loans that host refuses requests within the rate while the other shares stay full. Lent
/// tokens stay in `bucket.reserved` until they are known to be generated or returned: otherwise the
/// bucket would refill over them, and the customer could receive them and a full burst at once.
struct OwnedShare
{
    TokenBucket bucket;
    std::map<HostIncarnation, LenderAccount> loans;
    double formerLoans = 0; ///< Tokens kept reserved for loans of former incarnations.
    Instant formerLoansEndAt;
    std::vector<ShareSize> sizes; ///< Newest last; the smallest is in force.
};

/// Tokens granted and neither generated nor returned.
Tokens outstandingOf(const LenderAccount &account);

/// Applies a borrower's report: generated tokens free their capacity, returned and lost tokens can
/// be reserved again.
void applyReport(OwnedShare &share, LenderAccount &account, const LoanReport &report, Instant now);

/// Lends for \a ask, keeping \a withheld for the owner's own requests. Returns the amount: the same
/// again for a duplicate request, zero for one that arrives after a newer one.
Tokens lend(OwnedShare &share, const HostIncarnation &borrower, const ShareAsk &ask,
            Tokens withheld, const ShareSettings &settings, Instant now);

/// Frees the capacity of loans whose tokens can no longer be generated.
void writeOffLoans(OwnedShare &share, Instant now);

/// Reduces the tokens kept for loans of former incarnations to at most \a limit.
void limitFormerLoans(OwnedShare &share, double limit, Instant now);

/// The smallest fraction that any host may still assume for this share.
double effectiveFraction(const OwnedShare &share);

/// Drops the sizes from tickets that every host has superseded.
void pruneSizes(OwnedShare &share, TicketNumber settledEverywhere);

} // namespace azurewell
