#pragma once

#include "azurewell/calls/call_number.h"
#include "azurewell/units/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace azurewell {

/// Records of the calls whose numbers one host incarnation issued. Callers repeat a call after a
/// broken connection, at whichever host the balancer picks. Without these records, two hosts that
/// each receive the call once would both send it, and it would run twice.

/// The answer of an upstream, stored for repeats of the call.
struct HeldAnswer
{
    int status = 0; ///< HTTP status; 0 means that no answer is stored.
    std::string contentType;
    std::string body;
};

/// The outcome of a call, as reported by the host that held its permit.
enum class CallOutcome : std::uint8_t {
    Done,    ///< The upstream answered.
    NotRun,  ///< No byte was sent, and none will be.
    Unknown, ///< The call was sent and no complete answer arrived.
};

/// The issuer's decision on a permit request.
enum class PermitVerdict : std::uint8_t {
    Granted,    ///< The requester may run the call until the permit expires.
    InProgress, ///< Another request holds the permit.
    Done,       ///< The call ran; the answer is included if it is still stored.
    Unknown,    ///< The call may have run.
    Expired,    ///< The record was evicted; whether the call ran is not known.
    Invalid,    ///< This incarnation issued no such number to the customer.
    Withdrawn,  ///< The requester returned this permit before; the request is a late duplicate.
};
inline constexpr std::size_t permitVerdictCount = 7;

struct PermitAnswer
{
    PermitVerdict verdict = PermitVerdict::Unknown;
    /// Set if granted: duration, counted from when the requester sent its first request.
    Span length{};
    HeldAnswer answer;
};

/// Requests the permit of one call.
struct PermitAsk
{
    CallNumber number;
    CustomerId customer;
    RequestId request; ///< The caller's request; retransmissions use the same id.
    Span untilDeadline{};
};

/// Reports the outcome of a call to the issuer of its number.
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
    Instant permitExpiresAt; ///< The holder does not send the call from then on.
    Instant outcomeDeadline; ///< If no report arrives by then, the outcome is unknown.
    Instant retainedUntil; ///< The record may be evicted from then on, which raises the watermark.
    HeldAnswer answer;
};

/// The call numbers of one customer. A number at or below the watermark has no record and gets no
/// permit, so evicting a record is always safe: a call without a record is never run.
struct CustomerCalls
{
    std::uint64_t issued = 0;
    std::uint64_t watermark = 0;
    std::map<std::uint64_t, CallRecord> records;
};

/// Faults injected by tests to show that each check can fail.
enum class CallFault : std::uint8_t {
    None,
    GrantsTwice,     ///< Grants a second permit while the first is valid.
    KeepsWatermark,  ///< Evicts a record without raising the watermark.
    RegrantsUnknown, ///< Treats a missing report as "not run".
};

struct CallLedger
{
    HostId host;
    Incarnation incarnation;
    std::uint64_t secret = 0;
    std::unordered_map<CustomerId, CustomerCalls> customers;
    std::size_t records = 0;
    std::size_t answerBytes = 0;
    /// Calls with a stored answer, oldest first.
    std::deque<std::pair<CustomerId, std::uint64_t>> answeredCalls;
    CallFault fault = CallFault::None;
};

/// Maximum number of records per incarnation. At 390 hosts and 10,000 requests a second a host gets
/// 26 a second; if a tenth of them are not idempotent, this holds 52 minutes of calls.
inline constexpr std::size_t maxCallRecords = 8192;
/// A longer answer body is not stored; a repeat then gets "already done" without it.
inline constexpr std::size_t maxHeldAnswerBytes = 4096;
inline constexpr std::size_t maxTotalAnswerBytes = 1U << 20;
/// How long the record of a finished call is kept if the size limits allow.
inline constexpr Span callRetention = fromSeconds(3600);
/// Maximum time between the permit request and the last moment at which the call may be sent.
inline constexpr Span maxPermitDuration = fromSeconds(5);
/// How long after the request's deadline the issuer waits for the outcome report.
inline constexpr Span outcomeReportGrace = fromSeconds(2);

/// Returns a new number for \a customer. Uses no memory until a permit for it is requested.
CallNumber issueCallNumber(CallLedger &ledger, const CustomerId &customer);

/// Decides on \a ask. A retransmitted request gets the same answer.
PermitAnswer decidePermit(CallLedger &ledger, const PermitAsk &ask, Instant now);

/// Records the outcome reported by the permit holder; ignores reports of other requests.
void recordOutcome(CallLedger &ledger, const OutcomeReport &report, Instant now);

/// Evicts records whose retention time has passed.
void evictExpiredCalls(CallLedger &ledger, Instant now);

/// Whether certainly no request holds or has used a permit for \a number.
bool isCertainlyUnused(const CallLedger &ledger, const CallNumber &number,
                       const CustomerId &customer);

/// Number of calls that hold a permit and whose outcome report is awaited.
std::size_t openCalls(const CallLedger &ledger, Instant now);

} // namespace azurewell
