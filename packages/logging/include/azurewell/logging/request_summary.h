#pragma once

#include "azurewell/logging/log_line.h"

#include <cstdint>
#include <map>
#include <string>

namespace azurewell {

/// Latency targets in milliseconds: an answer within both is in time.
struct LatencyTargets
{
    long firstEventMillis = 1000; ///< From arrival to the first event of an answer.
    long maxPauseMillis = 500;    ///< Between two events of an answer.
};

/// Counts requests by outcome, from the log lines of all hosts.
struct RequestSummary
{
    using Counts = std::map<std::string, std::uint64_t>;

    std::map<std::string, Counts> byPath; ///< Outcomes by first path segment, see outcomeOf().
    Counts failuresByUpstream; ///< Late or refused requests by the upstream they were sent to.
    Counts failuresByAdapter;  ///< Late or refused requests by adapter.
    std::uint64_t leftBeforeBegin = 0; ///< Callers that left before their requests were begun.
    std::uint64_t unparsedLines = 0;   ///< Lines that could not be parsed.
};

/// The outcome of the request that \a line ends; empty if it ends none:
/// - `in_time`: both targets were met.
/// - `late_sent`: the first event was late, and the request was sent to an upstream only after half
///   of the target.
/// - `late_read`: the first event was late although the request was sent earlier.
/// - `late_pause`: a pause between two events was too long.
/// - `refused_CODE_early`: refused within an eighth of the target for the first event.
/// - `refused_CODE_waited`: refused later.
/// - `left_STAGE`: the caller left, where its request stood.
std::string outcomeOf(const LogLine &line, const LatencyTargets &expected);

/// Counts one log line.
void addLine(RequestSummary &summary, std::string_view text, const LatencyTargets &expected);

} // namespace azurewell
