#pragma once

#include "azurewell/placement/engine_adapters.h"
#include "azurewell/scheduling/fair_queue.h"

namespace azurewell {

/// The next order that \a queue needs from its engine: a load, an eviction that frees a slot for
/// one, or nothing. The least served customer comes first, and of its adapters the one with the
/// most waiting requests, so that one load starts a whole batch. Adapters with waiting requests are
/// not evicted.
///
/// Load pattern: more work than the engine can do, for more adapters than it can hold. A customer
/// with a runnable request needs no load: it gets the next batch slot once it is the least served.
/// Its loads would take slots and weight store capacity from customers that can run nothing.
PlacementStep nextOrder(const EngineAdapters &adapters, const FairQueue &queue, Instant now);

} // namespace azurewell
