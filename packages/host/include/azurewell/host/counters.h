#pragma once

#include "azurewell/units/result_code.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace azurewell {

/// Why a request was retried.
enum class RetryReason : std::uint8_t {
    NotSent,
    UpstreamRefused,
    UpstreamFailed,
    UpstreamSilent,
    AnswerMismatch,
    SlotLost
};
inline constexpr std::array<std::string_view, 6> retryReasonNames{
    "not_sent",        "upstream_refused", "upstream_failed",
    "upstream_silent", "answer_mismatch",  "slot_lost"
};

/// Counters of a host, published at /metrics.
struct Counters
{
    std::uint64_t requestsArrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t resumed = 0;
    std::uint64_t answerMismatches = 0; ///< Answers that belonged to another request.
    std::uint64_t staleMessages = 0;    ///< Messages from an older incarnation of a peer.
    std::uint64_t unknownMessages = 0;  ///< Messages of a kind that this version does not know.
    std::uint64_t ticketsRefused = 0;
    std::uint64_t loadsOrdered = 0;
    std::uint64_t loadsFailed = 0;
    std::uint64_t evictionsOrdered = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t processSuspensions
            = 0; ///< Times that the process was suspended for a second or more.
    /// Orders that an engine rejected for an outdated fencing number.
    std::uint64_t ordersRefused = 0;
    std::uint64_t leasesExpired = 0; ///< Slots that were not renewed in time.
    std::map<ResultCode, std::uint64_t> refusals;
    std::array<std::uint64_t, retryReasonNames.size()> retries{};
};

void countRefusal(Counters &counters, ResultCode code);
void countRetry(Counters &counters, RetryReason reason);

} // namespace azurewell
