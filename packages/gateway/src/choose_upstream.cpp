#include "azurewell/gateway/choose_upstream.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <compare>

namespace azurewell::gateway {

namespace {

/// A stated load is believed less and less; after this time it says nothing.
constexpr Span statedLoadLife = std::chrono::milliseconds(1500);

/// Prompt tokens that count as one request's start: 1,800 at 22 tokens a millisecond are read in
/// 80 ms, which is what an average request waits behind another.
constexpr double tokensOfOneStart = 1800;

/// What a full batch slows a new request down, in starts: steps grow from 6.8 ms to 9 ms.
constexpr double fullBatchCost = 4;

/// What an upstream in another availability zone costs more: a longer way, and bytes between zones
/// that are paid for. In starts; under the wait behind half a request.
constexpr double otherZoneCost = 0.4;

/// A share of failures counts as so many waiting requests.
constexpr double failureCost = 25;

/// An engine whose wait is above this many starts, and this many above the least, loads no adapter,
/// even where it held the adapter lately. To bring an adapter to another engine takes about as
/// long.
constexpr double mostWaitToLoad = 5;
constexpr double mostWaitAboveLeast = 4;

/// An engine as a place for an adapter; the highest is chosen.
struct LoadRank
{
    bool isLastHolder = false;
    bool isInOwnZone = false;
    std::uint64_t weight = 0; ///< The same at all hosts, and different for each adapter.

    auto operator<=>(const LoadRank &) const = default;
};

double cost(const Upstream &upstream, const ZoneId &own, Instant now)
{
    return expectedWait(upstream, now) + upstream.failureShare * failureCost
            + (upstream.listed.zone == own ? 0 : otherZoneCost);
}

bool fits(const Upstream &upstream, const UpstreamNeed &need, Instant now)
{
    return upstream.listed.service == need.service && isUsable(upstream, now)
            && !need.excluded.contains(upstream.listed.id)
            && (upstream.killedAt == never || now + need.duration < upstream.killedAt);
}

} // namespace

double expectedWait(const Upstream &upstream, Instant now)
{
    const double slots = std::max<double>(upstream.listed.slots, 1);
    const bool isCurrent = now - upstream.loadAt < statedLoadLife;
    const StatedLoad stated = isCurrent ? upstream.load : StatedLoad{};
    const double known = std::max<double>(stated.running, upstream.underWay);
    double prompts = valueAt(upstream.ownPrompts, promptLife, now);
    for (const auto &[host, told] : upstream.otherPrompts)
        prompts += valueAt(told, promptLife, now);
    return prompts / tokensOfOneStart + stated.waiting + fullBatchCost * known / slots;
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
    double least = 0;
    const std::uint64_t salt = static_cast<std::uint64_t>(draw * 1e9);
    for (const auto &[id, upstream] : upstreams) {
        if (!fits(upstream, need, now) || !isReadyFor(upstream, need.model, versions))
            continue;
        const bool isAvoided = now < upstream.avoidedUntil;
        const double tie = static_cast<double>(rendezvousMix(salt, stableHash(id.value)) >> 11)
                * 0x1p-53;
        const double own = cost(upstream, need.zone, now) + tie * 0.3;
        const bool isBetter = !best || (isBestAvoided && !isAvoided)
                || (isBestAvoided == isAvoided && own < least);
        if (!isBetter)
            continue;
        best = &upstream;
        isBestAvoided = isAvoided;
        least = own;
    }
    return best;
}

const Upstream *chooseFinishedLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                   const LoadTimes &times, Instant now)
{
    for (const auto &[id, upstream] : upstreams) {
        const auto load = upstream.loads.find(need.model);
        if (load != upstream.loads.end() && isTryDue(times, load->second, now)
            && fits(upstream, need, now) && now >= upstream.avoidedUntil)
            return &upstream;
    }
    return nullptr;
}

const Upstream *chooseEngineToLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                   const LastHolders &lastHolders, std::uint32_t adapterPlaces,
                                   Instant now)
{
    std::vector<const Upstream *> able;
    double least = 0;
    for (const auto &[id, upstream] : upstreams) {
        const bool isAble = fits(upstream, need, now) && now >= upstream.avoidedUntil
                && upstream.engine.hasModel(need.model.model)
                && upstream.engine.loading.size() < adapterPlaces;
        if (!isAble)
            continue;
        const double wait = expectedWait(upstream, now);
        least = able.empty() ? wait : std::min(least, wait);
        able.push_back(&upstream);
    }
    const std::string name = need.model.model + "/" + need.model.adapter;
    const auto lastHolder = lastHolders.engines.find(need.model);
    const bool wasHeld = lastHolder != lastHolders.engines.end();
    const Upstream *best = nullptr;
    LoadRank highest;
    for (const Upstream *upstream : able) {
        if (expectedWait(*upstream, now) > std::max(least + mostWaitAboveLeast, mostWaitToLoad))
            continue;
        const UpstreamId &id = upstream->listed.id;
        const LoadRank rank{ wasHeld && lastHolder->second == id,
                             upstream->listed.zone == need.zone, rendezvousWeight(name, id.value) };
        if (best && rank <= highest)
            continue;
        best = upstream;
        highest = rank;
    }
    return best;
}

} // namespace azurewell::gateway
