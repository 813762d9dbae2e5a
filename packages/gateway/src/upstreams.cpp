#include "azurewell/gateway/upstreams.h"

#include <algorithm>
#include <cmath>

namespace azurewell::gateway {

namespace {

/// Weight of the newest request in the average of failures: the last ten or so count.
constexpr double failureWeight = 0.12;

/// An upstream that failed is avoided for this long, doubled with each failure in a row. A crashed
/// server comes back within seconds.
constexpr Span firstAvoidance = std::chrono::milliseconds(150);
constexpr std::uint32_t mostDoublings = 4;

/// Keeps what is known of a load over the next view of its engine, and adds it to that view.
void followLoad(Upstream &upstream, LoadingAdapter &adapter, Instant now)
{
    const bool isSinceKnown = adapter.since.micros != 0;
    const auto [entry, isNew] = upstream.loads.try_emplace(adapter.name);
    LoadUnderWay &load = entry->second;
    if (isNew || isSinceKnown)
        load.since = isSinceKnown ? adapter.since : now;
    load.isHeldLately = load.isHeldLately || adapter.isHeldLately;
    adapter.since = load.since;
    adapter.isHeldLately = load.isHeldLately;
}

void showReady(EngineState &engine, const LoadedAdapter &adapter)
{
    std::erase_if(engine.loading,
                  [&](const LoadingAdapter &loading) { return loading.name == adapter.name; });
    if (engine.findReady(adapter.name))
        return;
    engine.ready.push_back(adapter);
    std::sort(engine.ready.begin(), engine.ready.end());
}

} // namespace

bool EngineState::hasModel(const std::string &model) const
{
    return std::find(this->models.begin(), this->models.end(), model) != this->models.end();
}

const LoadedAdapter *EngineState::findReady(const ModelName &name) const
{
    for (const LoadedAdapter &loaded : this->ready) {
        if (loaded.name == name)
            return &loaded;
    }
    return nullptr;
}

bool EngineState::isLoading(const ModelName &name) const
{
    return std::any_of(this->loading.begin(), this->loading.end(),
                       [&](const LoadingAdapter &adapter) { return adapter.name == name; });
}

double valueAt(const DecayedSum &sum, Span life, Instant now)
{
    return sum.value * std::exp(-toSeconds(now - sum.at) / toSeconds(life));
}

void add(DecayedSum &sum, double value, Span life, Instant now)
{
    sum.value = valueAt(sum, life, now) + value;
    sum.at = now;
}

bool saysTheSame(const ListedUpstream &a, const ListedUpstream &b)
{
    return a.id == b.id && a.service == b.service && a.address == b.address && a.zone == b.zone
            && a.slots == b.slots && a.isLeaving == b.isLeaving && a.remaining == b.remaining
            && a.engine.start == b.engine.start;
}

void noteHolder(LastHolders &lastHolders, const ModelName &adapter, const UpstreamId &engine)
{
    const std::uint64_t serial = lastHolders.nextSerial++;
    LastHolders::Holder &holder = lastHolders.holders[adapter];
    lastHolders.adapters.erase(holder.serial);
    holder = { engine, serial };
    lastHolders.adapters[serial] = adapter;
    if (lastHolders.adapters.size() <= mostLastHolders)
        return;
    const auto oldest = lastHolders.adapters.begin();
    lastHolders.holders.erase(oldest->second);
    lastHolders.adapters.erase(oldest);
}

const UpstreamId *findHolder(const LastHolders &lastHolders, const ModelName &adapter)
{
    const auto found = lastHolders.holders.find(adapter);
    return found == lastHolders.holders.end() ? nullptr : &found->second.engine;
}

void beginLoad(Upstream &upstream, const ModelName &adapter, bool isHeldLately, Instant now)
{
    upstream.loads.erase(adapter);
    upstream.engine.loading.push_back({ adapter, now, isHeldLately });
    followLoad(upstream, upstream.engine.loading.back(), now);
}

void setEngine(Upstream &upstream, EngineState state, LastHolders &lastHolders, Instant now)
{
    const bool isRestarted = state.start != upstream.engine.start;
    if (isRestarted)
        upstream.loads.clear();
    for (const LoadedAdapter &adapter : upstream.engine.ready) {
        if (!isRestarted && !state.findReady(adapter.name))
            noteHolder(lastHolders, adapter.name, upstream.listed.id);
    }
    upstream.engine = std::move(state);
    std::erase_if(upstream.loads,
                  [&](const auto &entry) { return !upstream.engine.isLoading(entry.first); });
    for (LoadingAdapter &adapter : upstream.engine.loading)
        followLoad(upstream, adapter, now);
    for (const auto &[name, load] : upstream.loads) {
        if (load.isDone)
            showReady(upstream.engine, { name, load.version });
    }
}

void noteLoadDone(Upstream &upstream, const ModelName &adapter)
{
    const auto load = upstream.loads.find(adapter);
    if (load == upstream.loads.end())
        return;
    load->second.isDone = true;
    showReady(upstream.engine, { adapter, load->second.version });
}

bool isUsable(const Upstream &upstream, Instant now)
{
    return now < upstream.usableUntil && now < upstream.killedAt;
}

void noteSign(Upstream &upstream, UpstreamSign sign, Instant now)
{
    const double failed = sign == UpstreamSign::Answered ? 0 : 1;
    upstream.failureShare += (failed - upstream.failureShare) * failureWeight;
    if (sign == UpstreamSign::Answered) {
        upstream.failuresInARow = 0;
        upstream.avoidedUntil = Instant{};
        return;
    }
    const std::uint32_t doublings = std::min(upstream.failuresInARow, mostDoublings);
    ++upstream.failuresInARow;
    if (sign == UpstreamSign::Unreachable || upstream.failuresInARow > 1)
        upstream.avoidedUntil = now + firstAvoidance * (1LL << doublings);
}

} // namespace azurewell::gateway
