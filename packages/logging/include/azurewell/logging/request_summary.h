#pragma once

#include "azurewell/logging/log_line.h"

#include <cstdint>
#include <map>
#include <string>

namespace azurewell {

/// What callers take for in time.
struct Expectation
{
    long firstMillis = 1000; ///< Until the first event of an answer.
    long pauseMillis = 500;  ///< Between two events.
};

/// Requests by what became of them, from the log lines of all hosts.
struct RequestSummary
{
    using Counts = std::map<std::string, std::uint64_t>;

    std::map<std::string, Counts>
            byPath;        ///< Outcomes by the first part of the path, see outcomeOf().
    Counts lostAtUpstream; ///< Late or refused after it was sent there.
    Counts lostOfAdapter;
    std::uint64_t linesUnread = 0; ///< Lines that are no line of the log.
};

/// What became of a request by its last line: `in_time`; `late_sent`, its first event was late and
/// half of the time had passed before it left; `late_read`, late otherwise; `late_pause`; or
/// `refused_CODE`, with `_early` where it was refused within an eighth of the time and `_waited`
/// otherwise. Empty where \a line does not end a request.
std::string outcomeOf(const LogLine &line, const Expectation &expected);

/// Adds one line of a log.
void addLine(RequestSummary &summary, std::string_view text, const Expectation &expected);

} // namespace azurewell
