#pragma once

#include "azurewell/http/accept_queue.h"
#include "azurewell/units/time.h"

#include <string>

namespace azurewell {

/// The response to callers that are turned away before their requests are read.
///
/// Load pattern: a load balancer sends a host several times what it can read. It then rejects more
/// callers than it reads, and formatting the response costs about as much as sending it.
struct BusyAnswer
{
    std::string bytes;
    Instant validUntil;
};

/// After how long a caller that is refused at \a now, as its host is short of time or memory, is
/// asked to come back.
Span retryAfter(const AcceptQueue &queue, Instant now);

/// The response for a caller that is turned away from \a queue at \a now. It is formatted again at
/// most once a slice, so the Retry-After may be older by that.
const std::string &currentBytes(BusyAnswer &answer, const AcceptQueue &queue, Instant now);

} // namespace azurewell
