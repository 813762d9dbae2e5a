#pragma once

#include "azurewell/limits/share_layout.h"

namespace azurewell {

/// Deliberate faults. Tests switch them on to show that the check of the bound can fail.
struct ShareFaults
{
    bool newPartIsFull = false;        ///< A fresh host starts with its whole part of the burst.
    bool lendsWithoutHold = false;     ///< A grant leaves no mark in the lender's bucket.
    bool acceptsDuplicates = false;    ///< A grant that arrives twice counts twice.
    bool forgetsFormerLoans = false;   ///< A fresh lender ignores what its predecessor lent.
    bool trustsItselfOnWaking = false; ///< A paused host goes on as if no time had passed.
    bool movesPartsAtOnce = false; ///< A part grows before the seat that gives it up has shrunk.
};

/// Times and sizes of lending. The defaults are those of the product; tests shorten them.
struct ShareSettings
{
    LayoutSettings layout;
    /// A borrower may reserve lent tokens for this long.
    Span lease = fromSeconds(5);
    /// A request may run for this long on lent tokens. Its lender keeps their room until then if it
    /// hears nothing, so that a cut-off borrower's stream cannot come on top of a refilled part.
    Span longestRun = fromSeconds(300);
    /// Clocks of two hosts differ in rate by less than this share.
    double clockDrift = 0.02;
    /// What one borrower may hold of a part at a time. A fresh lender blocks as much for each seat
    /// that it has not heard, so this is also what an unheard seat costs it. With all traffic at
    /// one host a customer at five times its rate gets 0.82 of it at 0.5, 0.87 at 0.75 and 0.88 at
    /// 1 (benchmark rate_shares, vigia-7).
    double mostPerBorrower = 0.75;
    /// An ask that is not answered by then is given up; its late grant is dropped.
    Span askTimeout = fromSeconds(0.3);
    /// A lender that gave too little is asked again after this.
    Span askPause = fromSeconds(0.1);
    /// A lender that gave nothing is asked again after this.
    Span emptyPause = fromSeconds(0.3);
    /// With more borrowers than this the pause grows in proportion, up to longestPause.
    double smallCrowd = 8;
    Span longestPause = fromSeconds(2);
    /// Demand of this long is borrowed ahead, so that one grant serves several requests.
    Span prefetch = fromSeconds(0.25);
    /// How fast the estimate of demand follows.
    Span demandMemory = fromSeconds(1);
    /// Spent tokens are reported and surplus is returned this often.
    Span reportInterval = fromSeconds(0.25);
    /// A seat that is silent for this long is not asked.
    Span silence = fromSeconds(2);
    /// A host whose clock jumped by more than this between two ticks was paused: a successor may
    /// have taken its seat.
    Span wakeLimit = fromSeconds(0.5);
    /// A fresh host's part earns only after this; longer than wakeLimit, so that a predecessor that
    /// was paused for less has stopped or has been ended.
    Span takeoverWait = fromSeconds(0.6);
    /// A woken host takes the word of hosts that doubt their own seats only after this: two hosts
    /// that were paused together and replaced would confirm each other before they hear of their
    /// successors. Without it a fleet that was paused as a whole would never serve again.
    Span mutualDoubt = fromSeconds(10);
    /// Parts earn this share less than the ticket says. Clocks that run fast, at most 200 parts in
    /// a million for quartz, would earn more than the rate.
    double earningMargin = 0.0005;
    /// How often missing statements are asked for.
    Span queryInterval = fromSeconds(0.5);
    /// The operator's choice for a host that was paused and reaches no other: true serves on the
    /// part it holds at the risk that a successor does the same; false refuses.
    bool resumesUnconfirmed = false;
    ShareFaults faults;
};

} // namespace azurewell
