#include "azurewell/limits/loan_account.h"

#include <algorithm>

namespace azurewell {

namespace {

bool isReported(const BorrowerAccount &account)
{
    const LoanReport &now = account.report;
    const LoanReport &sentReport = account.sentReport;
    return now.closed == sentReport.closed && now.spent == sentReport.spent
            && now.returned == sentReport.returned;
}

/// The delay before the next request to a lender that granted nothing. If hundreds of hosts retried
/// at a fixed interval, their requests would be most of the owner's messages.
Span emptyRetryDelay(const ShareGrant &grant, const ShareSettings &settings)
{
    const double crowdFactor = std::max(1.0, grant.borrowers / settings.crowdThreshold);
    const double seconds = toSeconds(settings.emptyLenderRetryDelay) * crowdFactor;
    return fromSeconds(std::min(seconds, toSeconds(settings.maxRetryDelay)));
}

} // namespace

ShareAsk openRequest(BorrowerAccount &account, const CustomerId &customer, Tokens wanted,
                     const ShareSettings &settings, Instant now)
{
    ++account.requestSerial;
    account.requested = wanted;
    account.requestSentAt = now;
    account.requestDeadline = now + settings.requestTimeout;
    account.sentReport = account.report;
    account.nextReportAt = now + settings.reportInterval;
    return ShareAsk{ customer, account.requestSerial, wanted, account.lender.incarnation,
                     account.report };
}

void abandonTimedOutRequest(BorrowerAccount &account, Instant now)
{
    if (account.requested.count == 0 || now < account.requestDeadline)
        return;
    account.requested = Tokens{};
    account.report.closed = account.requestSerial;
    account.nextRequestAt = now;
}

bool acceptGrant(BorrowerAccount &account, const ShareGrant &grant, const ShareSettings &settings,
                 Instant now)
{
    abandonTimedOutRequest(account, now);
    const bool isOpen = account.requested.count > 0 && grant.serial == account.requestSerial;
    if (!isOpen && !settings.faults.acceptsDuplicates)
        return false;
    const Tokens wanted = account.requested;
    account.requested = Tokens{};
    account.lenderRemaining = grant.left;
    account.lenderRemainingAt = now;
    // An empty lender earns little in the meantime; an immediate retry would only cost messages.
    const Span pause = grant.amount.count == 0 ? emptyRetryDelay(grant, settings)
                                               : settings.retryDelay;
    account.nextRequestAt = grant.amount < wanted ? now + pause : now;
    account.report.closed = account.requestSerial;
    account.report.accepted += grant.amount;
    account.available += grant.amount;
    // Counted from the sending of the request: the lender's lease started later.
    const Span margin = fromSeconds(toSeconds(grant.lease) * settings.clockDrift);
    if (grant.amount.count > 0)
        account.usableUntil = std::max(account.usableUntil,
                                       account.requestSentAt + grant.lease - margin);
    returnExpired(account, now);
    return true;
}

void returnExpired(BorrowerAccount &account, Instant now)
{
    if (account.usableUntil <= now)
        returnSurplus(account, account.available);
}

void returnSurplus(BorrowerAccount &account, Tokens amount)
{
    account.available -= amount;
    account.report.returned += amount;
}

std::optional<ShareAsk> takeReport(BorrowerAccount &account, const CustomerId &customer,
                                   const ShareSettings &settings, Instant now)
{
    if (now < account.nextReportAt || isReported(account))
        return std::nullopt;
    account.sentReport = account.report;
    account.nextReportAt = now + settings.reportInterval;
    return ShareAsk{ customer, 0, Tokens{}, account.lender.incarnation, account.report };
}

} // namespace azurewell
