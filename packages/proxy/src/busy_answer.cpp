#include "azurewell/proxy/busy_answer.h"

#include "azurewell/http/message.h"
#include "text.h"

#include <algorithm>

namespace azurewell {

namespace {

constexpr Span shortestRetryAfter = std::chrono::seconds(1);
constexpr Span longestRetryAfter = std::chrono::seconds(4);

/// The longest slice, in which the expected wait changes little compared to shortestRetryAfter.
constexpr Span validity = std::chrono::milliseconds(100);

std::string format(Span retryAfter)
{
    const std::string body = refusalBody(ResultCode::HostOverloaded, true);
    const int status = infoOf(ResultCode::HostOverloaded).httpStatus;
    const std::vector<HttpHeader> headers{ { "Content-Type", "application/json" },
                                           { "Retry-After", inSeconds(retryAfter) } };
    return responseHeadBytes(status, reasonPhrase(status), headers, BodyFraming::Length,
                             body.size(), false)
            + body;
}

} // namespace

Span retryAfter(const AcceptQueue &queue, Instant now)
{
    return std::clamp(expectedWait(queue, now), shortestRetryAfter, longestRetryAfter);
}

const std::string &currentBytes(BusyAnswer &answer, const AcceptQueue &queue, Instant now)
{
    if (now < answer.validUntil)
        return answer.bytes;
    answer.bytes = format(retryAfter(queue, now));
    answer.validUntil = now + validity;
    return answer.bytes;
}

} // namespace azurewell
