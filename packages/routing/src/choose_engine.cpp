#include "azurewell/routing/choose_engine.h"

#include <tuple>

namespace azurewell {

namespace {

/// Above this many requests per slot a loaded engine is passed over: the wait in its queue is by
/// then longer than a load elsewhere (a quarter second against a mean service time of several
/// seconds).
constexpr double overload = 2.0;

using Rank = std::tuple<int, int, double>;

Rank engineRank(const UpstreamView &view)
{
    const bool isWarm = view.hasAdapter && view.load < overload;
    const int zoneRank = view.isOwnZone ? 0 : 1;
    if (isWarm)
        return { 0, zoneRank, view.load };
    const bool isOverloaded = view.load >= overload;
    const double homeOrder = -static_cast<double>(view.affinity);
    return { isOverloaded ? 2 : 1, zoneRank, isOverloaded ? view.load : homeOrder };
}

Rank backEndRank(const UpstreamView &view)
{
    return { view.load >= overload ? 1 : 0, view.isOwnZone ? 0 : 1, view.load };
}

template <typename RankOf>
std::optional<UpstreamId> chooseLeast(std::span<const UpstreamView> views, RankOf rankOf)
{
    const UpstreamView *best = nullptr;
    for (const UpstreamView &view : views) {
        if (mayTakeWork(view) && (!best || rankOf(view) < rankOf(*best)))
            best = &view;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

} // namespace

bool mayTakeWork(const UpstreamView &view)
{
    return !view.isLeaving && view.state != UpstreamState::Leaving
            && view.state != UpstreamState::Ejected;
}

std::optional<UpstreamId> chooseEngine(std::span<const UpstreamView> views)
{
    return chooseLeast(views, engineRank);
}

std::optional<UpstreamId> chooseBackEnd(std::span<const UpstreamView> views)
{
    return chooseLeast(views, backEndRank);
}

} // namespace azurewell
