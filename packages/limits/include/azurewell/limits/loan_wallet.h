#pragma once

#include "azurewell/limits/share_settings.h"

#include <optional>

namespace azurewell {

/// What this host has borrowed for one customer from one life of a seat.
struct LoanWallet
{
    SeatId seat;
    HostLife lender;
    Tokens available;    ///< Not reserved by any request.
    Tokens reserved;     ///< Reserved by admitted requests and not made.
    Instant usableUntil; ///< `available` must not be reserved after this.
    LoanReport report;   ///< To be told to the lender.
    LoanReport told;     ///< What was told last.
    Instant nextReport;  ///< Not before this, so that reports go in batches.
    std::uint64_t askSerial = 0;
    Tokens asked; ///< By the open ask; zero where none is open.
    Instant askSentAt;
    Instant askGivenUpAt;
    Instant nextAsk;            ///< A lender that gave too little is left alone until then.
    std::optional<Tokens> left; ///< What the lender could still lend at `leftAt`.
    Instant leftAt;
};

/// Opens an ask for \a wanted. One is open at a time for each lender.
ShareAsk openAsk(LoanWallet &wallet, const CustomerId &customer, Tokens wanted,
                 const ShareSettings &settings, Instant now);

/// Gives an unanswered ask up; what it brings later is not accepted.
void giveUpLateAsk(LoanWallet &wallet, Instant now);

/// Takes a grant over. False where it does not answer the open ask: a late or doubled one, whose
/// tokens the lender takes back when it is told the totals.
bool acceptGrant(LoanWallet &wallet, const ShareGrant &grant, const ShareSettings &settings,
                 Instant now);

/// Gives back what was not reserved in time.
void voidUnusable(LoanWallet &wallet, Instant now);

/// Marks \a amount of the available tokens as not needed.
void returnSurplus(LoanWallet &wallet, Tokens amount);

/// A report, if one is due and there is something to tell.
std::optional<ShareAsk> takeReport(LoanWallet &wallet, const CustomerId &customer,
                                   const ShareSettings &settings, Instant now);

} // namespace azurewell
