#include "azurewell/placement/engine_adapters.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

namespace {

constexpr Span initialBackOff = fromSeconds(0.5);
constexpr Span maxBackOff = fromSeconds(30);
constexpr std::uint32_t maxDoublings = 6;

bool takesSlot(const AdapterOnEngine &adapter)
{
    return adapter.state == AdapterState::Loading || adapter.state == AdapterState::Loaded
            || adapter.state == AdapterState::Unloading;
}

bool isEvictable(const AdapterOnEngine &adapter)
{
    return adapter.state == AdapterState::Loaded && adapter.pins == 0;
}

} // namespace

bool isLoaded(const EngineAdapters &engine, const AdapterRef &ref)
{
    const auto found = engine.adapters.find(ref);
    return found != engine.adapters.end() && found->second.state == AdapterState::Loaded;
}

std::uint32_t usedSlots(const EngineAdapters &engine)
{
    const auto count = std::count_if(engine.adapters.begin(), engine.adapters.end(),
                                     [](const auto &entry) { return takesSlot(entry.second); });
    return static_cast<std::uint32_t>(count);
}

std::uint32_t loadsInFlight(const EngineAdapters &engine)
{
    const auto count = std::count_if(
            engine.adapters.begin(), engine.adapters.end(),
            [](const auto &entry) { return entry.second.state == AdapterState::Loading; });
    return static_cast<std::uint32_t>(count);
}

std::uint32_t openSlots(const EngineAdapters &engine)
{
    std::uint32_t closed = 0;
    for (const auto &[ref, adapter] : engine.adapters)
        closed += takesSlot(adapter) && !isEvictable(adapter) ? 1 : 0;
    return closed >= engine.slots ? 0 : engine.slots - closed;
}

bool isOrderable(const EngineAdapters &engine, const AdapterRef &ref, Instant now)
{
    const auto found = engine.adapters.find(ref);
    if (found == engine.adapters.end())
        return true;
    return found->second.state == AdapterState::Absent && found->second.retryAfter <= now;
}

PlacementStep nextStep(const EngineAdapters &engine, const AdapterRef &wanted, Instant now,
                       const std::function<bool(const AdapterRef &)> &isProtected)
{
    if (!isOrderable(engine, wanted, now))
        return {};
    PlacementStep step = makeRoom(engine, now, isProtected);
    if (step.kind == PlacementStep::Kind::Load)
        step.adapter = wanted;
    return step;
}

PlacementStep makeRoom(const EngineAdapters &engine, Instant now,
                       const std::function<bool(const AdapterRef &)> &isProtected)
{
    if (usedSlots(engine) < engine.slots)
        return PlacementStep{ PlacementStep::Kind::Load, {} };
    if (now < engine.noEvictionBefore)
        return {};

    const std::pair<const AdapterRef, AdapterOnEngine> *victim = nullptr;
    double least = 0;
    for (const auto &entry : engine.adapters) {
        if (entry.second.state == AdapterState::Unloading)
            return {}; // a slot is being freed
        if (!isEvictable(entry.second) || (isProtected && isProtected(entry.first)))
            continue;
        const double popularity = popularityAt(entry.second, engine.popularityHalfLife, now);
        const bool isLess = !victim || popularity < least
                || (popularity == least && entry.second.lastUsed < victim->second.lastUsed);
        if (!isLess)
            continue;
        victim = &entry;
        least = popularity;
    }
    if (!victim)
        return {};
    return PlacementStep{ PlacementStep::Kind::Evict, victim->first };
}

double popularityAt(const AdapterOnEngine &adapter, Span halfLife, Instant now)
{
    const double halves = toSeconds(now - adapter.popularityUpdatedAt) / toSeconds(halfLife);
    return adapter.popularity * std::exp2(-halves);
}

void applyEvent(EngineAdapters &engine, const Chart &chart, const AdapterRef &ref,
                AdapterEvent event, Instant now)
{
    AdapterOnEngine &adapter = engine.adapters[ref];
    adapter.state = advance(chart, adapter.state, event);
    if (event == AdapterEvent::LoadOrdered)
        adapter.orderedAt = now;
    if (event == AdapterEvent::LoadDone) {
        adapter.failures = 0;
        adapter.lastUsed = now;
    }
    if (adapter.state == AdapterState::Absent && adapter.pins == 0 && adapter.failures == 0)
        engine.adapters.erase(ref);
}

void backOff(EngineAdapters &engine, const AdapterRef &ref, double jitter, Instant now)
{
    AdapterOnEngine &adapter = engine.adapters[ref];
    const std::uint32_t doublings = std::min(adapter.failures, maxDoublings);
    ++adapter.failures;
    const Span pause = std::min<Span>(initialBackOff * (1LL << doublings), maxBackOff);
    adapter.retryAfter = now + pause / 2 + fromSeconds(toSeconds(pause) * jitter / 2);
}

void endBackOffs(EngineAdapters &engine, const Chart &chart, Instant now)
{
    for (auto &[ref, adapter] : engine.adapters) {
        if (adapter.state == AdapterState::BackingOff && adapter.retryAfter <= now)
            adapter.state = advance(chart, adapter.state, AdapterEvent::BackoffOver);
    }
}

void recordUses(EngineAdapters &engine, const AdapterRef &ref, double count, Instant now)
{
    AdapterOnEngine &adapter = engine.adapters[ref];
    adapter.popularity = popularityAt(adapter, engine.popularityHalfLife, now) + count;
    adapter.popularityUpdatedAt = now;
    adapter.lastUsed = now;
}

void pin(EngineAdapters &engine, const AdapterRef &ref, Instant now)
{
    recordUses(engine, ref, 1, now);
    ++engine.adapters[ref].pins;
}

void unpin(EngineAdapters &engine, const AdapterRef &ref)
{
    const auto found = engine.adapters.find(ref);
    if (found != engine.adapters.end() && found->second.pins > 0)
        --found->second.pins;
}

} // namespace azurewell
