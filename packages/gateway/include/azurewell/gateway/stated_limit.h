#pragma once

#include "azurewell/units/time.h"

#include <cstdint>

namespace azurewell::gateway {

/// The rate limit that one answer of an upstream states, or its absence.
struct LimitObservation
{
    double perSecond = 0;   ///< Requests per second from all hosts together; 0: none stated.
    std::int64_t start = 0; ///< The process start of the upstream that answered.
    Instant requestSentAt;  ///< Lower bound of the answer's time.
    Instant receivedAt;     ///< Upper bound of the answer's time.
    bool isReport = false;  ///< The answer was to a report query rather than to a request.
};

/// The rate limit that an upstream states, in requests per second from all hosts together.
struct StatedLimit
{
    double perSecond = 0; ///< 0: no limit.
    std::int64_t start = 0;
    Instant statedAt;         ///< Newest answer that states the limit.
    bool isInReports = false; ///< Reports state the limit too.
    Instant endedAt; ///< When the limit ended: send time of the call whose answer stated none.
};

/// How an observation changed a limit.
enum class LimitChange : std::uint8_t { None, Renewed, Begun, Ended };

/// Updates \a limit from \a observation. A limit ends with an answer that states none, to a call
/// that was sent after the limit was last stated: the headers of long streams, and answers that
/// others overtook, are older than their time of receipt.
LimitChange updateLimit(StatedLimit &limit, const LimitObservation &observation);

/// Whether \a limit is in force. A limit that was not stated for a long time expires: if nothing is
/// sent to the upstream, no answer can show that the limit has ended.
bool isInForce(const StatedLimit &limit, Instant now);

/// The limit for an upstream that states \a perSecond (0: no limit) and that it crashes if it
/// rejects more than \a maxRejections in a second (0: not stated); 0: none.
///
/// Failure: an upstream has less room than its load shows, each host sends it a request that it
/// rejects, all of them together crash it, and its load brings down the next one. With fewer
/// requests a second from all hosts together than it may reject, it bears even the loss of all
/// room.
double limitFrom(double perSecond, double maxRejections);

/// Expected wait for a permit under \a limit in seconds when other requests compete for it. 0 if no
/// limit is in force, or if a request has to be sent to find out.
double expectedLimitWait(const StatedLimit &limit, Instant now);

} // namespace azurewell::gateway
