#include "azurewell/gateway/choose_upstream.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <compare>

namespace azurewell::gateway {

namespace {

/// A stated load is ignored after this time.
constexpr Span statedLoadValidity = std::chrono::milliseconds(1500);

/// Wait behind each request that an upstream states as waiting, in seconds.
constexpr double waitPerQueuedRequest = 0.08;

/// Delay of a new request by a full batch, in seconds: each step of the batch takes longer.
constexpr double fullBatchDelay = 0.33;

/// Wait for a permit at a cold upstream, in seconds.
constexpr double coldDelay = 0.1;

/// Cost of an upstream in another availability zone, in seconds: higher latency, and paid traffic.
/// Less than the wait behind half a request.
constexpr double otherZonePenalty = 0.033;

/// Cost of an upstream that fails all requests, in seconds.
constexpr double failurePenalty = 2;

/// An engine loads no adapter if its wait exceeds both this and the minimum over the engines by
/// maxWaitAboveMin, even if it recently held the adapter. Loading the adapter at another engine
/// takes about as long. In seconds.
constexpr double maxWaitToLoad = 0.4;
constexpr double maxWaitAboveMin = 0.33;

/// Random range added to costs, in seconds, so that hosts with the same view do not all choose the
/// same upstream.
constexpr double tieBreakRange = 0.025;

/// Rank of an engine as a place for an adapter; the highest is chosen.
struct LoadRank
{
    bool isLastEngine = false;
    bool isInOwnZone = false;
    std::uint64_t weight = 0; ///< Rendezvous weight; equal at all hosts.

    auto operator<=>(const LoadRank &) const = default;
};

double cost(const Upstream &upstream, const UpstreamNeed &need, Instant now)
{
    return expectedWait(upstream, need.prefillTokensPerSecond, now)
            + upstream.failureRate * failurePenalty
            + (upstream.listed.zone == need.zone ? 0 : otherZonePenalty);
}

} // namespace

std::uint64_t declaredVersion(const DeclaredVersions &versions, const ModelName &adapter)
{
    const auto found = versions.find(adapter);
    return found == versions.end() ? 0 : found->second;
}

bool fits(const Upstream &upstream, const UpstreamNeed &need, Instant now)
{
    return upstream.listed.service == need.service && isUsable(upstream, now)
            && now >= upstream.pausedUntil && !need.excluded.contains(upstream.listed.id)
            && !(need.isSentWithoutAdmission && isRateLimited(upstream, now))
            && (!need.softwareVersion
                || (isVersionKnown(upstream)
                    && upstream.listed.softwareVersion == *need.softwareVersion))
            && !need.heldVersions.contains(upstream.listed.softwareVersion)
            && (upstream.terminatedAt == never || now + need.duration < upstream.terminatedAt);
}

double queuedPromptTokens(const Upstream &upstream, Instant now)
{
    double prompts = valueAt(upstream.ownPrompts, promptDecayTime, now);
    for (const auto &[host, tokens] : upstream.otherPrompts)
        prompts += valueAt(tokens, promptDecayTime, now);
    return prompts;
}

double expectedWait(const Upstream &upstream, double prefillTokensPerSecond, Instant now)
{
    const double slots = std::max<double>(upstream.listed.slots, 1);
    const bool isCurrent = now - upstream.loadAt < statedLoadValidity;
    const StatedLoad stated = isCurrent ? upstream.load : StatedLoad{};
    const double runningRequests = std::max<double>(stated.running, upstream.requestsInFlight);
    return queuedPromptTokens(upstream, now) / prefillTokensPerSecond
            + stated.waiting * waitPerQueuedRequest + fullBatchDelay * runningRequests / slots
            + expectedLimitWait(upstream.limit, now) + (isCold(upstream, now) ? coldDelay : 0);
}

bool isReadyFor(const Upstream &upstream, const ModelName &model, const DeclaredVersions &versions)
{
    if (model.model.empty())
        return true;
    if (!upstream.engine.hasModel(model.model))
        return false;
    if (model.isBase())
        return true;
    const LoadedAdapter *loaded = upstream.engine.findReady(model);
    if (!loaded)
        return false;
    const auto declared = versions.find(model);
    return declared == versions.end() || loaded->version >= declared->second;
}

const Upstream *chooseUpstream(const UpstreamMap &upstreams, const UpstreamNeed &need,
                               const DeclaredVersions &versions, double draw, Instant now)
{
    const Upstream *best = nullptr;
    bool isBestAvoided = false;
    double minCost = 0;
    const std::uint64_t salt = static_cast<std::uint64_t>(draw * 1e9);
    for (const auto &[id, upstream] : upstreams) {
        if (!fits(upstream, need, now) || !isReadyFor(upstream, need.model, versions))
            continue;
        const bool isAvoided = now < upstream.avoidedUntil || isEvacuated(upstream);
        const double tieBreak = static_cast<double>(rendezvousMix(salt, stableHash(id.value)) >> 11)
                * 0x1p-53;
        const double ownCost = cost(upstream, need, now) + tieBreak * tieBreakRange;
        const bool isBetter = !best || (isBestAvoided && !isAvoided)
                || (isBestAvoided == isAvoided && ownCost < minCost);
        if (!isBetter)
            continue;
        best = &upstream;
        isBestAvoided = isAvoided;
        minCost = ownCost;
    }
    return best;
}

const Upstream *chooseEngineWithFinishedLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                             const LoadTimes &times, Instant now)
{
    for (const auto &[id, upstream] : upstreams) {
        const auto load = upstream.loads.find(need.model);
        if (load != upstream.loads.end() && isEarlyAttemptDue(times, load->second, now)
            && fits(upstream, need, now) && now >= upstream.avoidedUntil)
            return &upstream;
    }
    return nullptr;
}

const Upstream *chooseEngineToLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                   const LastEngines &lastEngines, std::uint32_t maxLoadedAdapters,
                                   Instant now)
{
    std::vector<std::pair<const Upstream *, double>> candidates; ///< With the wait in seconds.
    double minWait = 0;
    for (const auto &[id, upstream] : upstreams) {
        const bool isCandidate = fits(upstream, need, now) && now >= upstream.avoidedUntil
                && !isEvacuated(upstream) && upstream.engine.hasModel(need.model.model)
                && upstream.engine.loading.size() < maxLoadedAdapters;
        if (!isCandidate)
            continue;
        const double wait = expectedWait(upstream, need.prefillTokensPerSecond, now);
        minWait = candidates.empty() ? wait : std::min(minWait, wait);
        candidates.emplace_back(&upstream, wait);
    }
    const std::string name = need.model.model + "/" + need.model.adapter;
    const UpstreamId *lastEngine = findLastEngine(lastEngines, need.model);
    const Upstream *best = nullptr;
    LoadRank highest;
    for (const auto &[upstream, wait] : candidates) {
        if (wait > std::max(minWait + maxWaitAboveMin, maxWaitToLoad))
            continue;
        const UpstreamId &id = upstream->listed.id;
        const LoadRank rank{ lastEngine && *lastEngine == id, upstream->listed.zone == need.zone,
                             rendezvousWeight(name, id.value) };
        if (best && rank <= highest)
            continue;
        best = upstream;
        highest = rank;
    }
    return best;
}

} // namespace azurewell::gateway
