#pragma once

#include "azurewell/placement/engine_adapters.h"
#include "azurewell/scheduling/fair_queue.h"

namespace azurewell {

/// The next order that \a queue needs from its engine: a load, an eviction that makes room for one,
/// or nothing. The least served customer's adapters come first; of one customer's, the one that
/// most requests wait for: one load then starts a whole batch. An adapter that requests wait for is
/// not evicted.
///
/// Load pattern: more work than the engine can do, for more adapters than it can hold. Loads are
/// scarce then, and a customer that has requests ready to run needs none: the next batch slot is
/// its own as soon as it is the least served. Its loads would take the slots and the weight store's
/// time from customers that can run nothing at all.
PlacementStep nextOrder(const EngineAdapters &adapters, const FairQueue &queue, Instant now);

} // namespace azurewell
