#include "azurewell/limits/loan_wallet.h"

#include <algorithm>

namespace azurewell {

namespace {

bool isTold(const LoanWallet &wallet)
{
    const LoanReport &now = wallet.report;
    const LoanReport &told = wallet.told;
    return now.closed == told.closed && now.spent == told.spent && now.returned == told.returned;
}

/// How long an empty lender is left alone. With hundreds of hosts before one owner, asks at a fixed
/// pace would be most of its messages.
Span emptyPauseOf(const ShareGrant &grant, const ShareSettings &settings)
{
    const double crowd = std::max(1.0, grant.borrowers / settings.smallCrowd);
    const double seconds = toSeconds(settings.emptyPause) * crowd;
    return fromSeconds(std::min(seconds, toSeconds(settings.longestPause)));
}

} // namespace

ShareAsk openAsk(LoanWallet &wallet, const CustomerId &customer, Tokens wanted,
                 const ShareSettings &settings, Instant now)
{
    ++wallet.askSerial;
    wallet.asked = wanted;
    wallet.askSentAt = now;
    wallet.askGivenUpAt = now + settings.askTimeout;
    wallet.told = wallet.report;
    wallet.nextReport = now + settings.reportInterval;
    return ShareAsk{ customer, wallet.askSerial, wanted, wallet.lender.incarnation, wallet.report };
}

void giveUpLateAsk(LoanWallet &wallet, Instant now)
{
    if (wallet.asked.count == 0 || now < wallet.askGivenUpAt)
        return;
    wallet.asked = Tokens{};
    wallet.report.closed = wallet.askSerial;
    wallet.nextAsk = now;
}

bool acceptGrant(LoanWallet &wallet, const ShareGrant &grant, const ShareSettings &settings,
                 Instant now)
{
    giveUpLateAsk(wallet, now);
    const bool isOpen = wallet.asked.count > 0 && grant.serial == wallet.askSerial;
    if (!isOpen && !settings.faults.acceptsDuplicates)
        return false;
    const Tokens wanted = wallet.asked;
    wallet.asked = Tokens{};
    wallet.left = grant.left;
    wallet.leftAt = now;
    // An empty lender earns little meanwhile; asking it at once again would cost messages only.
    const Span pause = grant.amount.count == 0 ? emptyPauseOf(grant, settings) : settings.askPause;
    wallet.nextAsk = grant.amount < wanted ? now + pause : now;
    wallet.report.closed = wallet.askSerial;
    wallet.report.accepted += grant.amount;
    wallet.available += grant.amount;
    // Counted from the sending of the ask: the lender granted later than that.
    const Span margin = fromSeconds(toSeconds(grant.lease) * settings.clockDrift);
    if (grant.amount.count > 0)
        wallet.usableUntil = std::max(wallet.usableUntil, wallet.askSentAt + grant.lease - margin);
    voidUnusable(wallet, now);
    return true;
}

void voidUnusable(LoanWallet &wallet, Instant now)
{
    if (wallet.usableUntil <= now)
        returnSurplus(wallet, wallet.available);
}

void returnSurplus(LoanWallet &wallet, Tokens amount)
{
    wallet.available -= amount;
    wallet.report.returned += amount;
}

std::optional<ShareAsk> takeReport(LoanWallet &wallet, const CustomerId &customer,
                                   const ShareSettings &settings, Instant now)
{
    if (now < wallet.nextReport || isTold(wallet))
        return std::nullopt;
    wallet.told = wallet.report;
    wallet.nextReport = now + settings.reportInterval;
    return ShareAsk{ customer, 0, Tokens{}, wallet.lender.incarnation, wallet.report };
}

} // namespace azurewell
