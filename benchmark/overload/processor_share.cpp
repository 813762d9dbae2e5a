#include "processor_share.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace azurewell {

namespace {

/// Beyond this difference the load of a point is another multiple of what the host can read.
constexpr double maxDeviation = 0.2;

constexpr std::int64_t nanosPerMicro = 1000;

} // namespace

std::optional<ScheduledTime> parseScheduledTime(std::string_view text)
{
    std::istringstream fields{ std::string(text) };
    std::int64_t usedNanos = 0;
    std::int64_t waitedNanos = 0;
    if (!(fields >> usedNanos >> waitedNanos))
        return std::nullopt;
    return ScheduledTime{ Span(usedNanos / nanosPerMicro), Span(waitedNanos / nanosPerMicro) };
}

std::optional<ScheduledTime> scheduledTimeOf(std::int64_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
    std::string text;
    std::getline(file, text);
    return parseScheduledTime(text);
}

std::optional<double> usableShare(const TurnsGot &turns)
{
    if (!turns.scheduled || turns.elapsed <= Span{})
        return std::nullopt;
    // A process that waits for a processor is stopped only once it gets one, so that it may have
    // waited longer than it was continued.
    const Span usable = std::max(turns.continued - turns.scheduled->waited, turns.scheduled->used);
    return toSeconds(usable) / toSeconds(turns.elapsed);
}

bool isShareKept(std::optional<double> share, double intended)
{
    return share && std::abs(*share - intended) <= maxDeviation * intended;
}

} // namespace azurewell
