#pragma once

#include "azurewell/scheduling/fair_queue.h"

namespace azurewell {

/// Service speed of one engine, estimated from released slots.
struct ServiceRate
{
    double secondsPerToken = 0; ///< Slot time per charged token; zero until the first sample.
    double holdSeconds = 0;     ///< Mean slot time of a request.
};

/// Adds a sample: a request charged \a charged tokens held its slot for \a held. The charge is the
/// caller's allowance, not the number generated: only the allowance is known when a request
/// arrives, and the estimate includes the ratio of the two.
void recordSlotTime(ServiceRate &rate, Tokens charged, Span held);

/// The expected slot time of a request of \a cost; zero before the first sample.
Span expectedHold(const ServiceRate &rate, Tokens cost);

/// The expected wait of a new request of \a customer for one of \a batchSlots slots, of which \a
/// freeSlots are free.
Span expectedWait(const FairQueue &queue, const ServiceRate &rate, const CustomerId &customer,
                  double weight, std::uint32_t batchSlots, std::uint32_t freeSlots);

/// The latest time at which a request of \a cost can start and still be complete by \a deadline.
///
/// Load pattern: work arrives at several times the capacity. Without this limit every request waits
/// until just before its deadline, is started, and its caller disconnects before the end: the
/// engines are full and no caller is served. A request that cannot be answered in time is refused
/// on arrival, when its caller can still retry elsewhere.
Instant latestStart(const ServiceRate &rate, Tokens cost, Instant deadline);

} // namespace azurewell
