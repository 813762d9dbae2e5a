#pragma once

#include "azurewell/gateway/upstreams.h"

#include <cstdint>
#include <map>
#include <vector>

namespace azurewell::gateway {

/// Requests for an adapter that an engine does not have, since the adapter was last used there.
struct UnservedDemand
{
    Instant since;         ///< First load request.
    Instant lastRequestAt; ///< Hosts repeat a load request while a caller's request waits for it.
    std::uint64_t loadRequests = 0;
    bool isQueued = false;
};

/// Loads that wait for a slot at one engine.
///
/// Load pattern: callers request more adapters at once than the engines have slots. If the slots go
/// to whoever asks when one is free, an adapter that is requested every few seconds is refused each
/// time, through the whole day; and slots that are kept for callers that have left load adapters
/// for nobody. Therefore the next slot goes to the demand with the largest product of age and
/// load requests: popular adapters get theirs soon, and a rare one overtakes them in the end. A
/// load that no host requests any more loses its place in the queue, but not its age.
struct LoadQueue
{
    std::map<ModelName, UnservedDemand> demand;
};

/// Records a load request.
void recordLoadRequest(LoadQueue &queue, const ModelName &adapter, Instant now);

/// Queues the requested load of \a adapter. If the queue has \a maxLength loads, the one with the
/// smallest claim yields. False if that is \a adapter itself.
bool enqueue(LoadQueue &queue, const ModelName &adapter, std::size_t maxLength, Instant now);

/// Removes loads from the queue; their demand keeps its age.
void dequeue(LoadQueue &queue, const ModelName &adapter);
void clearQueue(LoadQueue &queue);
std::size_t countQueued(const LoadQueue &queue);

/// The queued loads, the one with the largest claim first.
std::vector<ModelName> queuedLoads(const LoadQueue &queue, Instant now);

/// Records that a request uses \a adapter: its demand is served.
void recordServed(LoadQueue &queue, const ModelName &adapter);

/// Removes queued loads that no host requests any more, and demand that has ended.
void removeAbandoned(LoadQueue &queue, Instant now);

} // namespace azurewell::gateway
