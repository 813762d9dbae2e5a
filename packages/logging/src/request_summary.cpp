#include "azurewell/logging/request_summary.h"

#include <algorithm>

namespace azurewell {

namespace {

std::string outcomeOfAnswer(const LogLine &line, const LatencyTargets &expected)
{
    if (numberOf(line, "first_ms") > expected.firstEventMillis) {
        const bool wasSentLate = numberOf(line, "sent_ms") > expected.firstEventMillis / 2;
        return wasSentLate ? "late_sent" : "late_read";
    }
    return numberOf(line, "pause_ms") > expected.maxPauseMillis ? "late_pause" : "in_time";
}

std::string outcomeOfRefusal(const LogLine &line, const LatencyTargets &expected)
{
    constexpr long earlyDivisor = 8;
    const bool isEarly = numberOf(line, "after_ms") <= expected.firstEventMillis / earlyDivisor;
    return "refused_" + std::string(fieldOf(line, "code")) + (isEarly ? "_early" : "_waited");
}

/// The first segment of a path, which identifies the route; the caller chooses the rest.
std::string firstSegment(std::string_view path)
{
    const std::size_t end = path.find('/', 1);
    return std::string(path.substr(0, end == std::string_view::npos ? path.size() : end + 1));
}

void countFailure(RequestSummary::Counts &counts, std::string_view name)
{
    if (!name.empty())
        ++counts[std::string(name)];
}

} // namespace

std::string outcomeOf(const LogLine &line, const LatencyTargets &expected)
{
    if (line.event == "request_answered")
        return outcomeOfAnswer(line, expected);
    if (line.event == "request_refused")
        return outcomeOfRefusal(line, expected);
    if (line.event == "caller_left")
        return "left_" + std::string(fieldOf(line, "stage"));
    return {};
}

void addLine(RequestSummary &summary, std::string_view text, const LatencyTargets &expected)
{
    const std::optional<LogLine> line = readLogLine(text);
    if (!line) {
        ++summary.unparsedLines;
        return;
    }
    if (line->event == "callers_left_not_begun") {
        const long count = std::max(numberOf(*line, "count"), 0L);
        summary.leftBeforeBegin += static_cast<std::uint64_t>(count);
        return;
    }
    const std::string outcome = outcomeOf(*line, expected);
    if (outcome.empty())
        return;
    ++summary.byPath[firstSegment(fieldOf(*line, "path"))][outcome];
    if (outcome == "in_time")
        return;
    countFailure(summary.failuresByUpstream, fieldOf(*line, "upstream"));
    countFailure(summary.failuresByAdapter, fieldOf(*line, "adapter"));
}

} // namespace azurewell
