#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace azurewell {

/// The outcomes of requests, tickets and start-up. The numbers are stable: callers and operators
/// look them up in docs/RESULT-CODES.md, which a test compares with resultCodeTable().
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 1xx: the request itself is invalid.
    MalformedRequest = 100,
    MalformedBody = 101,
    BodyTooLarge = 102,
    HeadTooLarge = 103,
    SenderTooSlow = 104,
    PipelinedRequest = 105,
    UnknownPath = 106,
    ModelMissing = 107,
    LengthRequired = 108,
    TooManyConnections = 109,

    // 2xx: authentication and authorization.
    KeyMissing = 200,
    KeyUnknown = 201,
    KeyWithdrawn = 202,
    KeyInWrongPlace = 203,
    AdapterUnknown = 204,
    ServiceUnknown = 205,
    ServiceNotAllowed = 206,

    // 3xx: limits and load.
    RateExceeded = 300,
    ExceedsBurst = 301,
    QueueFull = 302,
    DeadlineUnreachable = 303,
    WaitedTooLong = 304,
    NoShare = 305,

    // 4xx: upstreams.
    NoUpstream = 400,
    AdapterLoadFailed = 401,
    UpstreamRefused = 402,
    UpstreamFailed = 403,
    UpstreamSilent = 404,
    AnswerMismatch = 405,
    RetryBudgetSpent = 406,
    SlotLost = 407,
    RequestQuarantined = 408,
    UpstreamLimited = 409,
    UpstreamsUnreachable = 410,
    UpstreamsPaused = 411,
    StreamOriginUnknown = 412,
    StreamVersionGone = 413,
    AnswerOversized = 414,

    // 5xx: calls that must not run twice.
    OutcomeUnknown = 500,
    CallInProgress = 501,
    CallAlreadyDone = 502,
    CallNumberInvalid = 503,
    CallNumberExpired = 504,

    // 6xx: this host.
    HostStarting = 600,
    HostDraining = 601,
    CallerGone = 602,
    InternalError = 603,
    HostWithoutNews = 604,
    HostOverloaded = 605,

    // 7xx: settings and tickets.
    SettingsInvalid = 700,
    TicketInvalid = 701,
    TicketOutOfOrder = 702,
    ChartInvalid = 703,
    FileUnreadable = 704,
    MessageInvalid = 705,
};

/// Whether a refused request may have run at an upstream.
enum class RunState : std::uint8_t {
    NotRun,  ///< It did not run, so that a retry is safe.
    Unknown, ///< It may have run.
    Ran,     ///< It ran.
};

/// An entry of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;    ///< In snake_case, for metric labels and the body's `error.type`.
    int httpStatus;           ///< Status of the response to the caller.
    std::string_view message; ///< One sentence for a caller.
};

/// All codes in ascending order.
std::span<const ResultCodeInfo> resultCodeTable();

/// The entry of \a code; that of InternalError for an unknown code.
const ResultCodeInfo &infoOf(ResultCode code);

/// `not_run`, `outcome_unknown` or `ran`, as in the body of a refusal.
std::string_view nameOf(RunState state);

} // namespace azurewell
