#include "azurewell/limits/owned_share.h"

#include <algorithm>

namespace azurewell {

namespace {

Tokens clampTokens(Tokens amount, Tokens limit)
{
    return Tokens{ std::clamp<std::int64_t>(amount.count, 0,
                                            std::max<std::int64_t>(0, limit.count)) };
}

/// The account of \a borrower. The first report is the baseline: what it lists as lent earlier has
/// been written off.
LenderAccount &accountOf(OwnedShare &share, const HostIncarnation &borrower,
                         const LoanReport &report)
{
    const auto [found, isNew] = share.loans.try_emplace(borrower);
    if (isNew)
        found->second.report = report;
    return found->second;
}

Tokens lendable(OwnedShare &share, const LenderAccount &account, Tokens withheld,
                const ShareSettings &settings, Instant now)
{
    refill(share.bucket, now);
    const double limit = share.bucket.burst * settings.maxFractionPerBorrower;
    const double byBorrower = limit - static_cast<double>(outstandingOf(account).count);
    const double byLevel = share.bucket.level - static_cast<double>(withheld.count);
    return Tokens{ static_cast<std::int64_t>(std::max(0.0, std::min(byBorrower, byLevel))) };
}

} // namespace

Tokens outstandingOf(const LenderAccount &account)
{
    return account.held + account.pending;
}

void applyReport(OwnedShare &share, LenderAccount &account, const LoanReport &report, Instant now)
{
    LoanReport &known = account.report;
    if (report.closed >= account.pendingSerial && account.pending.count > 0) {
        const Tokens accepted = clampTokens(report.accepted - known.accepted, account.pending);
        giveBack(share.bucket, account.pending - accepted, now);
        account.held += accepted;
        account.pending = Tokens{};
    }
    // The totals are applied in full even if the account was written off in the meantime: a
    // remaining difference would count later loans as generated.
    const Tokens spent = clampTokens(report.spent - known.spent, account.held);
    account.held -= spent;
    settle(share.bucket, spent, now);
    const Tokens returned = clampTokens(report.returned - known.returned, account.held);
    account.held -= returned;
    giveBack(share.bucket, returned, now);
    known.closed = std::max(known.closed, report.closed);
    known.accepted = std::max(known.accepted, report.accepted);
    known.spent = std::max(known.spent, report.spent);
    known.returned = std::max(known.returned, report.returned);
}

Tokens lend(OwnedShare &share, const HostIncarnation &borrower, const ShareAsk &ask,
            Tokens withheld, const ShareSettings &settings, Instant now)
{
    LenderAccount &account = accountOf(share, borrower, ask.report);
    applyReport(share, account, ask.report, now);
    if (ask.serial == account.pendingSerial)
        return account.pending;
    if (ask.serial < account.pendingSerial || ask.serial <= account.report.closed)
        return Tokens{};
    // A borrower has one open request at a time, and this report has closed the previous one.
    const Tokens amount = std::min(ask.wanted, lendable(share, account, withheld, settings, now));
    account.pendingSerial = ask.serial;
    account.pending = amount;
    if (!settings.faults.lendsWithoutReserving)
        tryReserve(share.bucket, amount, now);
    if (amount.count > 0) {
        const Span hold = settings.lease + settings.maxLentRunTime;
        account.endsAt = now + hold + fromSeconds(toSeconds(hold) * settings.clockDrift);
    }
    return amount;
}

void writeOffLoans(OwnedShare &share, Instant now)
{
    for (auto loan = share.loans.begin(); loan != share.loans.end();) {
        LenderAccount &account = loan->second;
        const bool isOver = account.endsAt <= now;
        if (isOver)
            settle(share.bucket, outstandingOf(account), now);
        loan = isOver ? share.loans.erase(loan) : std::next(loan);
    }
    if (share.formerLoans > 0 && share.formerLoansEndAt <= now)
        limitFormerLoans(share, 0, now);
}

void limitFormerLoans(OwnedShare &share, double limit, Instant now)
{
    const double freed = share.formerLoans - std::max(0.0, limit);
    if (freed <= 0)
        return;
    refill(share.bucket, now);
    share.bucket.reserved = std::max(0.0, share.bucket.reserved - freed);
    share.formerLoans -= freed;
}

double effectiveFraction(const OwnedShare &share)
{
    double smallest = share.sizes.empty() ? 0.0 : share.sizes.back().fraction;
    for (const ShareSize &size : share.sizes)
        smallest = std::min(smallest, size.fraction);
    return smallest;
}

void pruneSizes(OwnedShare &share, TicketNumber settledEverywhere)
{
    while (share.sizes.size() > 1 && share.sizes[1].ticket <= settledEverywhere)
        share.sizes.erase(share.sizes.begin());
}

} // namespace azurewell
