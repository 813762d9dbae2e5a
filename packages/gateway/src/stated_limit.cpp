#include "azurewell/gateway/stated_limit.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

constexpr Span limitExpiry = std::chrono::seconds(30);

/// A limit that was not stated for this time may have ended without an answer that shows it.
constexpr Span limitValidity = std::chrono::seconds(3);

/// Cap in seconds: longer waits do not change the choice of another upstream.
constexpr double maxLimitWait = 2;

/// Requests per allowed rejection. The rest is for requests without a permit, and for permits whose
/// requests arrive closer to each other than they were sent.
constexpr double requestsPerRejection = 0.6;

} // namespace

LimitChange updateLimit(StatedLimit &limit, const LimitObservation &observation)
{
    if (observation.start < limit.start)
        return LimitChange::None;
    if (observation.start > limit.start)
        limit = { 0, observation.start, {}, false, {} };
    if (observation.perSecond <= 0) {
        const bool isNewer = observation.requestSentAt > limit.statedAt
                && (!observation.isReport || limit.isInReports);
        if (limit.perSecond <= 0 || !isNewer)
            return LimitChange::None;
        limit.perSecond = 0;
        limit.endedAt = observation.requestSentAt;
        return LimitChange::Ended;
    }
    if (observation.receivedAt <= limit.statedAt)
        return LimitChange::None;
    const bool isSame = limit.perSecond == observation.perSecond;
    limit.perSecond = observation.perSecond;
    limit.statedAt = observation.receivedAt;
    limit.isInReports = limit.isInReports || observation.isReport;
    return isSame ? LimitChange::Renewed : LimitChange::Begun;
}

double limitFrom(double perSecond, double maxRejections)
{
    if (maxRejections <= 0)
        return perSecond;
    const double bearable = maxRejections * requestsPerRejection;
    return perSecond > 0 ? std::min(perSecond, bearable) : bearable;
}

bool isInForce(const StatedLimit &limit, Instant now)
{
    return limit.perSecond > 0 && now - limit.statedAt < limitExpiry;
}

double expectedLimitWait(const StatedLimit &limit, Instant now)
{
    if (!isInForce(limit, now) || now - limit.statedAt >= limitValidity)
        return 0;
    return std::min(1 / limit.perSecond, maxLimitWait);
}

} // namespace azurewell::gateway
