#include "azurewell/units/result_code.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace azurewell {

namespace {

using enum ResultCode;

constexpr std::array table{
    ResultCodeInfo{ Ok, "ok", 200, "Done." },
    ResultCodeInfo{ MalformedRequest, "malformed_request", 400,
                    "The request line or a header is not valid HTTP." },
    ResultCodeInfo{ MalformedBody, "malformed_body", 400,
                    "The body is not valid JSON, or a field has a wrong type." },
    ResultCodeInfo{ BodyTooLarge, "body_too_large", 413,
                    "The body is larger than this host accepts." },
    ResultCodeInfo{ HeadTooLarge, "head_too_large", 431,
                    "The request line and headers are larger than this host accepts." },
    ResultCodeInfo{ SenderTooSlow, "sender_too_slow", 408,
                    "The request did not arrive within the time allowed." },
    ResultCodeInfo{ PipelinedRequest, "pipelined_request", 400,
                    "A second request was sent before the first was answered." },
    ResultCodeInfo{ UnknownPath, "unknown_path", 404, "There is nothing at this path." },
    ResultCodeInfo{ ModelMissing, "model_missing", 400,
                    "The body names no model; write it as adapter@version." },
    ResultCodeInfo{ LengthRequired, "length_required", 411, "The request needs a Content-Length." },
    ResultCodeInfo{ TooManyConnections, "too_many_connections", 503,
                    "This host has no room for another connection." },
    ResultCodeInfo{ KeyMissing, "key_missing", 401, "No key came with the request." },
    ResultCodeInfo{ KeyUnknown, "key_unknown", 401, "The key is not known." },
    ResultCodeInfo{ KeyWithdrawn, "key_withdrawn", 401, "The key has been withdrawn." },
    ResultCodeInfo{ KeyInWrongPlace, "key_in_wrong_place", 400,
                    "A key belongs in one Authorization header and nowhere else." },
    ResultCodeInfo{ AdapterUnknown, "adapter_unknown", 404,
                    "This customer has no such adapter and version." },
    ResultCodeInfo{ ServiceUnknown, "service_unknown", 404, "There is no such service." },
    ResultCodeInfo{ ServiceNotAllowed, "service_not_allowed", 403,
                    "This customer may not use the service." },
    ResultCodeInfo{ RateExceeded, "rate_exceeded", 429, "The customer's token rate is used up." },
    ResultCodeInfo{ ExceedsBurst, "exceeds_burst", 413,
                    "The request is larger than the customer's burst and can never be admitted." },
    ResultCodeInfo{ QueueFull, "queue_full", 503, "Too many requests wait already." },
    ResultCodeInfo{ DeadlineUnreachable, "deadline_unreachable", 503,
                    "The request cannot be served before its deadline." },
    ResultCodeInfo{ WaitedTooLong, "waited_too_long", 504,
                    "The request's deadline passed while it waited." },
    ResultCodeInfo{ NoShare, "no_share", 503,
                    "This host holds no share of the customer's rate at present." },
    ResultCodeInfo{ NoUpstream, "no_upstream", 503,
                    "No back end can take the request at present." },
    ResultCodeInfo{ AdapterLoadFailed, "adapter_load_failed", 503,
                    "The adapter could not be loaded." },
    ResultCodeInfo{ UpstreamRefused, "upstream_refused", 502, "The back end refused the request." },
    ResultCodeInfo{ UpstreamFailed, "upstream_failed", 502,
                    "The back end failed while it answered." },
    ResultCodeInfo{ UpstreamSilent, "upstream_silent", 504, "The back end stopped answering." },
    ResultCodeInfo{ AnswerMismatch, "answer_mismatch", 502,
                    "The back end answered another request; its answer was dropped." },
    ResultCodeInfo{ RetryBudgetSpent, "retry_budget_spent", 503,
                    "The request failed, and retries are used up for now." },
    ResultCodeInfo{ SlotLost, "slot_lost", 503,
                    "The slot for this request ended before it could be used." },
    ResultCodeInfo{ RequestQuarantined, "request_quarantined", 503,
                    "Back ends ended while they ran this request, or requests with a part of "
                    "its prompt; it is sent to no other one." },
    ResultCodeInfo{ UpstreamLimited, "upstream_limited", 503,
                    "The back ends that could take the request have stated a limit." },
    ResultCodeInfo{ UpstreamsUnreachable, "upstreams_unreachable", 503,
                    "This host reaches no back end, and no other host could serve the request." },
    ResultCodeInfo{ UpstreamsPaused, "upstreams_paused", 503,
                    "The back ends that could take the request have asked for a pause." },
    ResultCodeInfo{ StreamOriginUnknown, "stream_origin_unknown", 503,
                    "It is not known which software version began the stream." },
    ResultCodeInfo{ StreamVersionGone, "stream_version_gone", 503,
                    "No back end of the software version that began the stream can go on." },
    ResultCodeInfo{ AnswerOversized, "answer_oversized", 502,
                    "The back end sent more than this host accepts of a part of an answer." },
    ResultCodeInfo{ OutcomeUnknown, "outcome_unknown", 502,
                    "The call may have run; it was not sent again." },
    ResultCodeInfo{ CallInProgress, "call_in_progress", 409,
                    "A call with this number is still running." },
    ResultCodeInfo{ CallAlreadyDone, "call_already_done", 409,
                    "A call with this number has run; its answer is no longer held." },
    ResultCodeInfo{ CallNumberInvalid, "call_number_invalid", 400,
                    "The call number was not issued by this system." },
    ResultCodeInfo{ CallNumberExpired, "call_number_expired", 409,
                    "The call number is too old to tell whether it ran." },
    ResultCodeInfo{ HostStarting, "host_starting", 503,
                    "This host does not know yet what is in force." },
    ResultCodeInfo{ HostDraining, "host_draining", 503,
                    "This host is stopping; another one will answer." },
    ResultCodeInfo{ CallerGone, "caller_gone", 499, "The caller went away." },
    ResultCodeInfo{ InternalError, "internal_error", 500, "This host failed." },
    ResultCodeInfo{ HostWithoutNews, "host_without_news", 503,
                    "This host is cut off and cannot tell whether the key is still valid." },
    ResultCodeInfo{ HostOverloaded, "host_overloaded", 503,
                    "This host has more callers than it can serve; another host may serve you." },
    ResultCodeInfo{ SettingsInvalid, "settings_invalid", 500, "The settings file is not valid." },
    ResultCodeInfo{ TicketInvalid, "ticket_invalid", 500, "The ticket is not valid." },
    ResultCodeInfo{ TicketOutOfOrder, "ticket_out_of_order", 500,
                    "The ticket's number does not follow the last one." },
    ResultCodeInfo{ ChartInvalid, "chart_invalid", 500, "The state chart is not valid." },
    ResultCodeInfo{ FileUnreadable, "file_unreadable", 500, "The file cannot be read." },
    ResultCodeInfo{ MessageInvalid, "message_invalid", 500, "The message cannot be decoded." },
};

constexpr bool isAscending()
{
    return std::is_sorted(
            table.begin(), table.end(),
            [](const ResultCodeInfo &a, const ResultCodeInfo &b) { return a.code < b.code; });
}
static_assert(isAscending(), "infoOf() requires ascending codes for its binary search");

} // namespace

std::span<const ResultCodeInfo> resultCodeTable()
{
    return table;
}

const ResultCodeInfo &infoOf(ResultCode code)
{
    const auto row = std::lower_bound(
            table.begin(), table.end(), code,
            [](const ResultCodeInfo &info, ResultCode wanted) { return info.code < wanted; });
    const bool isFound = row != table.end() && row->code == code;
    return isFound ? *row : infoOf(InternalError);
}

std::string_view nameOf(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Unknown:
        return "outcome_unknown";
    case RunState::Ran:
        return "ran";
    }
    return "outcome_unknown";
}

} // namespace azurewell
