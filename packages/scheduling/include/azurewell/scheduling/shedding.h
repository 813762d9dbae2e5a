#pragma once

#include "azurewell/scheduling/fair_queue.h"

namespace azurewell {

/// How fast one engine serves, learned from the slots that were given back.
struct ServiceRate
{
    double secondsPerToken = 0; ///< Slot time over charged tokens; zero until the first is known.
    double holdSeconds = 0;     ///< Mean time that a request holds its slot.
};

/// Counts a slot that was held for \a held by a request charged \a charged tokens. The charge is
/// the caller's allowance, not what was generated: only the allowance is known when a request
/// arrives, and the ratio of the two is part of what is learned.
void noteService(ServiceRate &rate, Tokens charged, Span held);

/// How long a request of \a cost holds a slot; zero while nothing is known.
Span expectedHold(const ServiceRate &rate, Tokens cost);

/// How long a new request of \a customer waits for one of \a batchSlots slots, of which \a
/// freeSlots are free now.
Span expectedWait(const FairQueue &queue, const ServiceRate &rate, const CustomerId &customer,
                  double weight, std::uint32_t batchSlots, std::uint32_t freeSlots);

/// The last moment at which a request of \a cost can begin so that its answer is whole by
/// \a deadline.
///
/// Load pattern: work arrives at several times the capacity. Without this every request waits until
/// just before its deadline, is begun, and its caller leaves before the end: the engines are full
/// and nobody is served. A request that cannot be answered in time is refused when it arrives,
/// while its caller can still go elsewhere.
Instant latestStart(const ServiceRate &rate, Tokens cost, Instant deadline);

} // namespace azurewell
