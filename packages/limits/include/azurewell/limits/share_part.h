#pragma once

#include "azurewell/limits/share_settings.h"
#include "azurewell/limits/token_bucket.h"

#include <map>
#include <vector>

namespace azurewell {

/// What one life of a host has borrowed of a part.
struct LoanAccount
{
    LoanReport report;               ///< The newest of each field.
    std::uint64_t pendingSerial = 0; ///< The newest ask that was answered.
    Tokens pending;                  ///< Granted for it, and not known to be accepted or lost.
    Tokens held;                     ///< Accepted, and neither made nor returned.
    Instant endsAt;                  ///< Nothing lent so far can be made after this.
};

/// A size that a ticket gave to a part.
struct PartStep
{
    TicketNumber ticket;
    double fraction = 0;
};

/// A customer's part at the seat that owns it, with the loans made from it.
///
/// Load pattern: the balancer sends most of a customer's traffic to one host, then to another.
/// Without loans that host refuses requests inside the rate while the other parts lie full. Lent
/// tokens stay in `bucket.reserved` until they are known to be made or returned: the bucket would
/// refill over them otherwise, and the customer would receive them and a full burst at once.
struct SharePart
{
    TokenBucket bucket;
    std::map<HostLife, LoanAccount> loans;
    double formerLoans = 0; ///< Room kept for what former lives of this seat may have lent.
    Instant formerLoansEnd;
    std::vector<PartStep> steps; ///< The newest last; the smallest one is in force.
};

/// Granted and neither made nor returned.
Tokens outstandingOf(const LoanAccount &account);

/// Takes over a borrower's report: made tokens free their room, returned and lost ones are level
/// again.
void noteReport(SharePart &part, LoanAccount &account, const LoanReport &report, Instant now);

/// Lends for \a ask, keeping \a keepBack for the owner's own requests; the same amount again for an
/// ask that arrives twice, and zero for one that was overtaken.
Tokens lend(SharePart &part, const HostLife &borrower, const ShareAsk &ask, Tokens keepBack,
            const ShareSettings &settings, Instant now);

/// Frees the room of loans that cannot be made any more.
void writeOffLoans(SharePart &part, Instant now);

/// Cuts the room kept for loans of former lives to \a most.
void cutFormerLoans(SharePart &part, double most, Instant now);

/// The smallest fraction that any seat may still count on this part having.
double fractionInForce(const SharePart &part);

/// Forgets the steps that every seat has left behind.
void pruneSteps(SharePart &part, TicketNumber settledEverywhere);

} // namespace azurewell
