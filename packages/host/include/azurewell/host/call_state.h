#pragma once

#include "azurewell/calls/call_ledger.h"

#include <array>
#include <deque>
#include <map>

namespace azurewell {

/// A permit that this host has requested, or holds, for one of its requests.
struct PendingPermit
{
    HostId issuer;
    PermitAsk ask;
    /// The permit's duration is counted from here, however late its grant arrives.
    Instant firstSentAt;
    Instant nextSendAt;
    Instant replyDeadline;
    Instant sendDeadline; ///< Set when granted: the call must not be sent from then on.
    bool isGranted = false;
};

/// The outcome of a request that had requested a permit. Sent to the issuer until it is
/// acknowledged, and kept for `outcomeReportTimeout` to answer grants that arrive late.
struct FinishedCall
{
    HostId issuer;
    OutcomeReport report;
    Instant nextSendAt;
    Instant retainedUntil;
    bool isAcknowledged = false;
};

/// State for calls that must not be repeated.
struct CallState
{
    CallLedger ledger; ///< Records of the call numbers that this incarnation issued.
    std::map<RequestId, PendingPermit> pendingPermits;
    std::map<RequestId, FinishedCall> finishedCalls;
    std::deque<RequestId> finishedOrder; ///< Keys of `finishedCalls`, oldest first.
    Instant nextUpdate;
    /// Permit replies received, by verdict.
    std::array<std::uint64_t, permitVerdictCount> receivedVerdicts{};
    std::uint64_t callNumbersIssued = 0;
    std::uint64_t unreachableIssuers
            = 0;                      ///< Permit requests that the issuer did not answer in time.
    bool isIgnoringPermitEnd = false; ///< Fault injection: ignores the end of permits.
    bool isAssumingNotRun = false; ///< Fault injection: refusals report "not run" without checking.
};

} // namespace azurewell
