#pragma once

#include "azurewell/calls/call_number.h"
#include "azurewell/units/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace azurewell {

/// The memory of one instance for the calls whose numbers it issued. It answers the load pattern of
/// callers that repeat a filing after a broken connection, at whichever host the balancer picks.
/// Without it two hosts that each get the call once send it once each, and it runs twice.

/// The answer of an upstream, held for repeats.
struct HeldAnswer
{
    int status = 0; ///< 0 where no answer is held.
    std::string contentType;
    std::string body;
};

/// What became of a call, by the host that had the permit to run it.
enum class CallOutcome : std::uint8_t {
    Done,    ///< The upstream answered.
    NotRun,  ///< Not one byte was sent, and none will be.
    Unknown, ///< It was sent and no whole answer came.
};

/// What an instance says to a host that asks whether it may run a call.
enum class PermitVerdict : std::uint8_t {
    Granted,    ///< The asker may run it, until the permit's end.
    InProgress, ///< Another host has the permit.
    Done,       ///< It ran; the answer follows if it is still held.
    Unknown,    ///< It may have run.
    Expired,    ///< Too old to tell.
    Invalid,    ///< This instance issued no such number to the customer.
    Withdrawn,  ///< The asker itself has given this permit back; a late copy of its ask.
};
inline constexpr std::size_t permitVerdictCount = 7;

struct PermitAnswer
{
    PermitVerdict verdict = PermitVerdict::Unknown;
    Span length{}; ///< Granted: the asker counts it from when it *sent* its first ask.
    HeldAnswer answer;
};

/// An ask for the permit of one call.
struct PermitAsk
{
    CallNumber number;
    CustomerId customer;
    RequestId request; ///< Of the caller's request; its host asks for it again under the same id.
    Span untilDeadline{};
};

/// What the holder of a permit reports.
struct OutcomeReport
{
    CallNumber number;
    CustomerId customer;
    RequestId request;
    CallOutcome outcome = CallOutcome::Unknown;
    HeldAnswer answer;
};

enum class CallPhase : std::uint8_t { Permitted, Returned, Done, Unknown };

struct CallRecord
{
    CallPhase phase = CallPhase::Permitted;
    RequestId holder;
    Instant permitEnds; ///< The holder sends nothing from then on.
    Instant outcomeDue; ///< Without a report until then the outcome is unknown.
    Instant keptUntil;  ///< Forgotten from then on, and the watermark rises.
    HeldAnswer answer;
};

/// The numbers of one customer. A number at or below the watermark has no record and gets no permit
/// any more: forgetting is always safe, since what was forgotten is never run.
struct CustomerCalls
{
    std::uint64_t issued = 0;
    std::uint64_t watermark = 0;
    std::map<std::uint64_t, CallRecord> records;
};

/// Deliberate faults, each of which a test uses to show that its check can fail.
enum class CallFault : std::uint8_t {
    None,
    GrantsTwice,     ///< Gives a second permit while the first is out.
    KeepsWatermark,  ///< Forgets a record and leaves the watermark where it was.
    RegrantsUnknown, ///< Takes "no report came" for "not run".
};

struct CallLedger
{
    HostId host;
    Incarnation incarnation;
    std::uint64_t secret = 0;
    std::unordered_map<CustomerId, CustomerCalls> customers;
    std::size_t records = 0;
    std::size_t answerBytes = 0;
    std::deque<std::pair<CustomerId, std::uint64_t>> answered; ///< Oldest held answer first.
    CallFault fault = CallFault::None;
};

/// Records of one instance. At 390 hosts and 10,000 requests a second a host gets 26 a second;
/// if every tenth may not be repeated, this holds 52 minutes of them.
inline constexpr std::size_t mostCallRecords = 8192;
/// A longer answer is not held; a repeat then hears "already done" without it.
inline constexpr std::size_t longestHeldAnswer = 4096;
inline constexpr std::size_t mostHeldAnswerBytes = 1U << 20;
/// How long a settled call is remembered where the bounds allow.
inline constexpr Span callHorizon = fromSeconds(3600);
/// The longest time from the ask to the last moment at which the call may be sent.
inline constexpr Span longestPermit = fromSeconds(5);
/// How long after the request's deadline a report is waited for.
inline constexpr Span reportGrace = fromSeconds(2);

/// A new number for \a customer. Takes no memory for it until it is used.
CallNumber issueCallNumber(CallLedger &ledger, const CustomerId &customer);

/// Decides on \a ask. The same ask again (its answer was lost) gets the same answer.
PermitAnswer askPermit(CallLedger &ledger, const PermitAsk &ask, Instant now);

/// Notes what the holder reports; a report of any other request changes nothing.
void noteOutcome(CallLedger &ledger, const OutcomeReport &report, Instant now);

/// Forgets what is past its horizon.
void forgetOldCalls(CallLedger &ledger, Instant now);

/// Whether a call with \a number has certainly not been permitted to anybody.
bool isCertainlyUnused(const CallLedger &ledger, const CallNumber &number,
                       const CustomerId &customer);

/// Calls that were permitted and whose report is still awaited.
std::size_t openCalls(const CallLedger &ledger, Instant now);

} // namespace azurewell
