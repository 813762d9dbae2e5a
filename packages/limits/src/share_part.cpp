#include "azurewell/limits/share_part.h"

#include <algorithm>

namespace azurewell {

namespace {

Tokens clampTokens(Tokens amount, Tokens most)
{
    return Tokens{ std::clamp<std::int64_t>(amount.count, 0,
                                            std::max<std::int64_t>(0, most.count)) };
}

/// The account of \a borrower. A first report is the base line: what it says was lent earlier has
/// been written off.
LoanAccount &accountOf(SharePart &part, const HostLife &borrower, const LoanReport &report)
{
    const auto [found, isNew] = part.loans.try_emplace(borrower);
    if (isNew)
        found->second.report = report;
    return found->second;
}

Tokens lendable(SharePart &part, const LoanAccount &account, Tokens keepBack,
                const ShareSettings &settings, Instant now)
{
    refill(part.bucket, now);
    const double most = part.bucket.burst * settings.mostPerBorrower;
    const double byBorrower = most - static_cast<double>(outstandingOf(account).count);
    const double byLevel = part.bucket.level - static_cast<double>(keepBack.count);
    return Tokens{ static_cast<std::int64_t>(std::max(0.0, std::min(byBorrower, byLevel))) };
}

} // namespace

Tokens outstandingOf(const LoanAccount &account)
{
    return account.held + account.pending;
}

void noteReport(SharePart &part, LoanAccount &account, const LoanReport &report, Instant now)
{
    LoanReport &known = account.report;
    if (report.closed >= account.pendingSerial && account.pending.count > 0) {
        const Tokens accepted = clampTokens(report.accepted - known.accepted, account.pending);
        giveBack(part.bucket, account.pending - accepted, now);
        account.held += accepted;
        account.pending = Tokens{};
    }
    // The totals are taken over whole, also where the account was written off in between: a
    // difference that is left over would count as made what is lent later.
    const Tokens spent = clampTokens(report.spent - known.spent, account.held);
    account.held -= spent;
    settle(part.bucket, spent, now);
    const Tokens returned = clampTokens(report.returned - known.returned, account.held);
    account.held -= returned;
    giveBack(part.bucket, returned, now);
    known.closed = std::max(known.closed, report.closed);
    known.accepted = std::max(known.accepted, report.accepted);
    known.spent = std::max(known.spent, report.spent);
    known.returned = std::max(known.returned, report.returned);
}

Tokens lend(SharePart &part, const HostLife &borrower, const ShareAsk &ask, Tokens keepBack,
            const ShareSettings &settings, Instant now)
{
    LoanAccount &account = accountOf(part, borrower, ask.report);
    noteReport(part, account, ask.report, now);
    if (ask.serial == account.pendingSerial)
        return account.pending;
    if (ask.serial < account.pendingSerial || ask.serial <= account.report.closed)
        return Tokens{};
    // The asker sends one ask at a time, and the report in this one has closed the one before.
    const Tokens amount = std::min(ask.wanted, lendable(part, account, keepBack, settings, now));
    account.pendingSerial = ask.serial;
    account.pending = amount;
    if (!settings.faults.lendsWithoutHold)
        tryReserve(part.bucket, amount, now);
    if (amount.count > 0) {
        const Span hold = settings.lease + settings.longestRun;
        account.endsAt = now + hold + fromSeconds(toSeconds(hold) * settings.clockDrift);
    }
    return amount;
}

void writeOffLoans(SharePart &part, Instant now)
{
    for (auto loan = part.loans.begin(); loan != part.loans.end();) {
        LoanAccount &account = loan->second;
        const bool isOver = account.endsAt <= now;
        if (isOver)
            settle(part.bucket, outstandingOf(account), now);
        loan = isOver ? part.loans.erase(loan) : std::next(loan);
    }
    if (part.formerLoans > 0 && part.formerLoansEnd <= now)
        cutFormerLoans(part, 0, now);
}

void cutFormerLoans(SharePart &part, double most, Instant now)
{
    const double freed = part.formerLoans - std::max(0.0, most);
    if (freed <= 0)
        return;
    refill(part.bucket, now);
    part.bucket.reserved = std::max(0.0, part.bucket.reserved - freed);
    part.formerLoans -= freed;
}

double fractionInForce(const SharePart &part)
{
    double smallest = part.steps.empty() ? 0.0 : part.steps.back().fraction;
    for (const PartStep &step : part.steps)
        smallest = std::min(smallest, step.fraction);
    return smallest;
}

void pruneSteps(SharePart &part, TicketNumber settledEverywhere)
{
    while (part.steps.size() > 1 && part.steps[1].ticket <= settledEverywhere)
        part.steps.erase(part.steps.begin());
}

} // namespace azurewell
