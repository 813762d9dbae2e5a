#include "engine_slots.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Number of concurrent loads that the weight store delivers at full speed: one for two engines, at
/// least 8 (8 for 9 and for 18 engines, 48 for 90, as deployments state it). With more, each load
/// slows down in proportion and none would be done in time.
constexpr std::size_t minConcurrentLoads = 8;
constexpr std::size_t enginesPerConcurrentLoad = 2;

/// A load that would start later than this is refused: with the load itself and the prompt after
/// it, the answer would start after a second.
constexpr Span maxLoadQueueTime = std::chrono::milliseconds(350);

/// Learnt time of adapter loads of \a model from the weight store.
Span loadTimeOf(const GatewayState &state, const std::string &model)
{
    const auto found = state.loadTimes.find(model);
    return found == state.loadTimes.end() ? LoadTimes{}.fromStore.expected
                                          : found->second.fromStore.expected;
}

std::size_t maxConcurrentLoads(const GatewayState &state)
{
    std::size_t engines = 0;
    for (const auto &[id, upstream] : state.upstreams)
        engines += upstream.engine.models.empty() ? 0 : 1;
    return std::max(minConcurrentLoads, engines / enginesPerConcurrentLoad);
}

/// Loads in progress from the weight store over all engines, as far as known. Reports show the end
/// of a load some 150 ms late, so a load counts for the currently learnt load time. If loads take
/// longer, fewer are started: with a fixed time, loads on an overloaded weight store counted as
/// done too early, more were started, and none was done in time.
std::size_t countLoadsInProgress(const GatewayState &state, Instant now)
{
    std::size_t loads = 0;
    for (const auto &[id, upstream] : state.upstreams) {
        for (const auto &[adapter, load] : upstream.loads) {
            const bool isFetched = !load.isInHostMemory && !load.isDone;
            loads += isFetched && now - load.since < loadTimeOf(state, adapter.model) ? 1 : 0;
        }
    }
    return loads;
}

/// Maximum number of loads queued at this host so that the last one starts in time: the host's
/// share of what the weight store delivers within that time.
std::size_t maxQueuedLoads(const GatewayState &state, const std::string &model)
{
    const double perSecond = static_cast<double>(maxConcurrentLoads(state))
            / toSeconds(loadTimeOf(state, model));
    const double hosts = static_cast<double>(countKnown(state.members) + 1);
    const double queued = perSecond * toSeconds(maxLoadQueueTime) / hosts;
    return std::max<std::size_t>(1, static_cast<std::size_t>(queued));
}

/// Loads that wait for the weight store at this host.
std::size_t countQueuedLoads(const GatewayState &state)
{
    std::size_t queued = 0;
    for (const auto &[id, engine] : state.engines)
        queued += countQueued(engine.wanted);
    return queued;
}

} // namespace

bool isStoreFull(const GatewayState &state, Instant now)
{
    return countLoadsInProgress(state, now) >= maxConcurrentLoads(state);
}

bool isStoreQueueFull(const GatewayState &state, const std::string &model)
{
    return countQueuedLoads(state) >= maxQueuedLoads(state, model);
}

} // namespace azurewell::gateway
