#include "engine_places.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Loads that the weight store brings at full speed at once: half an engine's worth each, at least
/// 8 (8 for 9 and for 18 engines, 48 for 90, as deployments state it). With more on their way each
/// takes longer in proportion, so that none would come in time.
constexpr std::size_t fewestLoadsAtOnce = 8;
constexpr std::size_t enginesOfOneLoad = 2;

/// A load that would begin later than this is refused: with the load itself and the prompt after it
/// the answer would begin after a second.
constexpr Span longestLoadQueue = std::chrono::milliseconds(350);

/// How long loads of the adapters of \a model take from the weight store, as learnt.
Span loadTimeOf(const GatewayState &state, const std::string &model)
{
    const auto found = state.loadTimes.find(model);
    return found == state.loadTimes.end() ? LoadTimes{}.fromStore.expected
                                          : found->second.fromStore.expected;
}

std::size_t loadsAtOnce(const GatewayState &state)
{
    std::size_t engines = 0;
    for (const auto &[id, upstream] : state.upstreams)
        engines += upstream.engine.models.empty() ? 0 : 1;
    return std::max(fewestLoadsAtOnce, engines / enginesOfOneLoad);
}

/// Loads on their way over all engines, as far as known. Reports tell of a load's end only some 150
/// ms later, so one counts for as long as loads take of late. Where they take longer, fewer begin:
/// with a fixed time, loads that share a crowded weight store were taken for done while they were
/// not, more began, and none came in time.
std::size_t loadsOnTheirWay(const GatewayState &state, Instant now)
{
    std::size_t loads = 0;
    for (const auto &[id, upstream] : state.upstreams) {
        for (const auto &[adapter, load] : upstream.loads) {
            const bool isFetched = !load.isHeldLately && !load.isDone;
            loads += isFetched && now - load.since < loadTimeOf(state, adapter.model) ? 1 : 0;
        }
    }
    return loads;
}

/// Loads that this host may have waiting so that the last of them begins in time: its part of what
/// the weight store brings within that time.
std::size_t mostQueued(const GatewayState &state, const std::string &model)
{
    const double perSecond = static_cast<double>(loadsAtOnce(state))
            / toSeconds(loadTimeOf(state, model));
    const double hosts = static_cast<double>(countKnown(state.members) + 1);
    const double queued = perSecond * toSeconds(longestLoadQueue) / hosts;
    return std::max<std::size_t>(1, static_cast<std::size_t>(queued));
}

/// Loads that wait at this host for the weight store.
std::size_t queuedLoads(const GatewayState &state)
{
    std::size_t queued = 0;
    for (const auto &[id, engine] : state.engines)
        queued += engine.wanted.size();
    return queued;
}

} // namespace

bool isStoreFull(const GatewayState &state, Instant now)
{
    return loadsOnTheirWay(state, now) >= loadsAtOnce(state);
}

bool isStoreQueueFull(const GatewayState &state, const std::string &model)
{
    return queuedLoads(state) >= mostQueued(state, model);
}

} // namespace azurewell::gateway
