#include "azurewell/gateway/upstreams.h"

#include <algorithm>
#include <cmath>

namespace azurewell::gateway {

namespace {

/// Weight of the newest request in the moving average of failures: about the last ten count.
constexpr double failureWeight = 0.12;

/// Time for which an upstream is avoided after a failure, doubled with each failure in a row. A
/// crashed server returns within seconds.
constexpr Span initialAvoidance = std::chrono::milliseconds(150);
constexpr std::uint32_t maxDoublings = 4;

/// Keeps the tracked state of a load across reports, and adds it to the new report.
void trackLoad(Upstream &upstream, LoadingAdapter &adapter, Instant now)
{
    const bool hasOrderTime = adapter.since.micros != 0;
    const auto [entry, isNew] = upstream.loads.try_emplace(adapter.name);
    LoadInProgress &load = entry->second;
    if (isNew || hasOrderTime)
        load.since = hasOrderTime ? adapter.since : now;
    load.isInHostMemory = load.isInHostMemory || adapter.isInHostMemory;
    adapter.since = load.since;
    adapter.isInHostMemory = load.isInHostMemory;
}

/// Whether \a after is what remains of \a before. An upstream that is cold again is a change.
bool isWarmupContinued(Span before, Span after)
{
    return after <= before && (after > Span{}) == (before > Span{});
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

double valueAt(const DecayedSum &sum, Span decayTime, Instant now)
{
    return sum.value * std::exp(-toSeconds(now - sum.at) / toSeconds(decayTime));
}

void add(DecayedSum &sum, double value, Span decayTime, Instant now)
{
    sum.value = valueAt(sum, decayTime, now) + value;
    sum.at = now;
}

bool isSameListing(const ListedUpstream &a, const ListedUpstream &b)
{
    return a.id == b.id && a.service == b.service && a.address == b.address && a.zone == b.zone
            && a.slots == b.slots && a.isLeaving == b.isLeaving && a.remaining == b.remaining
            && a.engine.start == b.engine.start && a.softwareVersion == b.softwareVersion
            && isWarmupContinued(a.warmupLeft, b.warmupLeft);
}

void recordLastEngine(LastEngines &lastEngines, const ModelName &adapter, const UpstreamId &engine)
{
    const std::uint64_t serial = lastEngines.nextSerial++;
    LastEngines::Entry &entry = lastEngines.entries[adapter];
    lastEngines.adapters.erase(entry.serial);
    entry = { engine, serial };
    lastEngines.adapters[serial] = adapter;
    if (lastEngines.adapters.size() <= maxLastEngines)
        return;
    const auto oldest = lastEngines.adapters.begin();
    lastEngines.entries.erase(oldest->second);
    lastEngines.adapters.erase(oldest);
}

const UpstreamId *findLastEngine(const LastEngines &lastEngines, const ModelName &adapter)
{
    const auto found = lastEngines.entries.find(adapter);
    return found == lastEngines.entries.end() ? nullptr : &found->second.engine;
}

void beginLoad(Upstream &upstream, const ModelName &adapter, bool isInHostMemory, Instant now)
{
    upstream.loads.erase(adapter);
    upstream.engine.loading.push_back({ adapter, now, isInHostMemory });
    trackLoad(upstream, upstream.engine.loading.back(), now);
}

void setEngine(Upstream &upstream, EngineState state, LastEngines &lastEngines, Instant now)
{
    const bool isRestarted = state.start != upstream.engine.start;
    if (isRestarted) {
        upstream.loads.clear();
        upstream.speed = {};
    }
    for (const LoadedAdapter &adapter : upstream.engine.ready) {
        if (!isRestarted && !state.findReady(adapter.name))
            recordLastEngine(lastEngines, adapter.name, upstream.listed.id);
    }
    upstream.engine = std::move(state);
    std::erase_if(upstream.loads,
                  [&](const auto &entry) { return !upstream.engine.isLoading(entry.first); });
    for (LoadingAdapter &adapter : upstream.engine.loading)
        trackLoad(upstream, adapter, now);
    for (const auto &[name, load] : upstream.loads) {
        if (load.isDone)
            showReady(upstream.engine, { name, load.version });
    }
}

void recordLoadDone(Upstream &upstream, const ModelName &adapter)
{
    const auto load = upstream.loads.find(adapter);
    if (load == upstream.loads.end())
        return;
    load->second.isDone = true;
    showReady(upstream.engine, { adapter, load->second.version });
}

std::int64_t startOf(const Upstream &upstream)
{
    return std::max(upstream.listed.engine.start, upstream.engine.start);
}

bool isVersionKnown(const Upstream &upstream)
{
    const std::int64_t entry = upstream.listed.engine.start;
    // Entries of some deployments state no start.
    return entry == 0 || entry >= std::max(upstream.reportedStart, upstream.engine.start);
}

bool isStatedLeaving(const Upstream &upstream)
{
    return upstream.leavingStart == startOf(upstream);
}

bool isUsable(const Upstream &upstream, Instant now)
{
    return !isStatedLeaving(upstream) && now < upstream.usableUntil && now < upstream.terminatedAt
            && now < upstream.zoneClosesAt && now >= upstream.replacedUntil;
}

bool isRateLimited(const Upstream &upstream, Instant now)
{
    return isInForce(upstream.limit, now) || isCold(upstream, now);
}

bool isCold(const Upstream &upstream, Instant now)
{
    return now < upstream.coldUntil;
}

bool isEvacuated(const Upstream &upstream)
{
    return upstream.zoneClosesAt != never;
}

void recordHealth(Upstream &upstream, HealthSignal signal, Instant now)
{
    const double failed = signal == HealthSignal::Answered ? 0 : 1;
    upstream.failureRate += (failed - upstream.failureRate) * failureWeight;
    if (signal == HealthSignal::Answered) {
        upstream.failuresInARow = 0;
        upstream.avoidedUntil = Instant{};
        return;
    }
    const std::uint32_t doublings = std::min(upstream.failuresInARow, maxDoublings);
    ++upstream.failuresInARow;
    if (signal == HealthSignal::Unreachable || upstream.failuresInARow > 1)
        upstream.avoidedUntil = now + initialAvoidance * (1LL << doublings);
}

} // namespace azurewell::gateway
