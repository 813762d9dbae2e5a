#pragma once

#include "azurewell/calls/call_ledger.h"

#include <array>
#include <deque>
#include <map>

namespace azurewell {

/// A permit that this host asks for, or holds, for one of its requests.
struct PermitSought
{
    HostId issuer;
    PermitAsk ask;
    Instant firstAskedAt; ///< A permit is counted from here, however late its grant arrives.
    Instant nextAskAt;
    Instant giveUpAt;
    Instant sendBefore; ///< Once granted: nothing is sent from then on.
    bool isGranted = false;
};

/// What became of a request that had asked for a permit; sent to the issuer until it is
/// acknowledged, and kept a while for grants that arrive late.
struct SettledCall
{
    HostId issuer;
    OutcomeReport report;
    Instant nextSendAt;
    Instant keptUntil;
    bool isAcknowledged = false;
};

/// All that a host holds for calls that must not be repeated.
struct CallState
{
    CallLedger ledger; ///< Of the numbers that this instance issued.
    std::map<RequestId, PermitSought> sought;
    std::map<RequestId, SettledCall> settled;
    std::deque<RequestId> settledOrder; ///< Oldest first.
    Instant nextTend;
    std::array<std::uint64_t, permitVerdictCount> verdicts{}; ///< Received, by kind.
    std::uint64_t numbersIssued = 0;
    std::uint64_t unreachable = 0; ///< Issuers that did not answer in time.
    bool isSendingLate = false;    ///< Deliberate fault: the permit's end is not looked at.
    bool isClaimingNotRun = false; ///< Deliberate fault: refusals say "not run" without knowing.
};

} // namespace azurewell
