#pragma once

#include "azurewell/limits/share_layout.h"

namespace azurewell {

/// Deliberate faults. Tests enable them to show that the check of the bound detects them.
struct ShareFaults
{
    bool newShareIsFull = false;        ///< A new host starts with its whole share of the burst.
    bool lendsWithoutReserving = false; ///< A grant reserves nothing in the lender's bucket.
    bool acceptsDuplicates = false;     ///< A grant that arrives twice counts twice.
    bool forgetsFormerLoans = false;    ///< A new lender ignores what its predecessor lent.
    bool skipsConfirmationAfterPause = false; ///< A paused host continues without confirmation.
    bool growsSharesAtOnce = false; ///< A share grows before the owner that gives it up has shrunk.
};

/// Times and sizes of lending. The defaults are those of production; tests shorten them.
struct ShareSettings
{
    LayoutSettings layout;
    /// A borrower may reserve lent tokens for this long.
    Span lease = fromSeconds(5);
    /// A request may run for this long on lent tokens. A lender that receives no report keeps them
    /// reserved until then, so that the stream of a partitioned borrower is not added to a refilled
    /// share.
    Span maxLentRunTime = fromSeconds(300);
    /// The clock rates of two hosts differ by less than this fraction.
    double clockDrift = 0.02;
    /// The largest fraction of a share that one borrower may hold. A new lender reserves as much
    /// for each ordinal whose statement is missing, so this is also the cost of a missing
    /// statement. With all traffic at one host a customer at five times its rate gets 0.82 of it at
    /// 0.5, 0.87 at 0.75 and 0.88 at 1 (benchmark rate_shares, vigia-7).
    double maxFractionPerBorrower = 0.75;
    /// A request without an answer is abandoned after this; a later grant is dropped.
    Span requestTimeout = fromSeconds(0.3);
    /// Delay before the next request to a lender that granted less than requested.
    Span retryDelay = fromSeconds(0.1);
    /// Delay before the next request to a lender that granted nothing.
    Span emptyLenderRetryDelay = fromSeconds(0.3);
    /// Above this many borrowers the delay grows in proportion, up to maxRetryDelay.
    double crowdThreshold = 8;
    Span maxRetryDelay = fromSeconds(2);
    /// Demand of this period is borrowed in advance, so that one grant serves several requests.
    Span prefetch = fromSeconds(0.25);
    /// Time constant of the demand estimate.
    Span demandTimeConstant = fromSeconds(1);
    /// Minimum interval between the reports to one lender.
    Span reportInterval = fromSeconds(0.25);
    /// A host from which nothing was received for this long counts as unreachable and is sent no
    /// requests.
    Span reachableTimeout = fromSeconds(2);
    /// A gap of more than this between two events means that the process was paused: a successor
    /// may have taken its ordinal.
    Span pauseThreshold = fromSeconds(0.5);
    /// A new host's share starts to earn after this. Longer than pauseThreshold, so that a
    /// predecessor paused for less has stopped or been terminated.
    Span takeoverDelay = fromSeconds(0.6);
    /// After a pause, confirmation by hosts that are unconfirmed themselves counts only after this:
    /// two hosts that were paused together and replaced would confirm each other before they
    /// receive anything of their successors. Without it a fleet that was paused as a whole would
    /// never serve again.
    Span mutualDoubtTimeout = fromSeconds(10);
    /// Shares earn this fraction less than the ticket says. Clocks that run fast, by at most 200
    /// parts in a million for quartz, would otherwise earn more than the rate.
    double earningMargin = 0.0005;
    /// How often missing statements are requested.
    Span queryInterval = fromSeconds(0.5);
    /// Whether a host that was paused and reaches no other one serves from its share: true risks
    /// that a successor does the same; false refuses.
    bool resumesUnconfirmed = false;
    ShareFaults faults;
};

} // namespace azurewell
