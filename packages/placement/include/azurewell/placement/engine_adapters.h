#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <optional>
#include <unordered_map>

namespace azurewell {

/// One adapter on one engine.
struct AdapterOnEngine
{
    AdapterState state = AdapterState::Absent;
    std::uint32_t pins = 0;     ///< Requests that run on it or hold a slot for it.
    std::uint32_t failures = 0; ///< Loads that failed in a row.
    Instant lastUsed;
    Instant retryAfter; ///< No load is ordered before this.
};

/// The adapters of one engine as its keeper knows them.
struct EngineAdapters
{
    std::uint32_t slots = 1; ///< Adapters the engine holds at once.
    std::unordered_map<AdapterRef, AdapterOnEngine> adapters;
    Instant noEvictionBefore; ///< Until then a former keeper's slot leases can still be running.
};

/// What the keeper has to order so that \a wanted gets onto the engine.
struct PlacementStep
{
    enum class Kind : std::uint8_t { Nothing, Load, Evict };
    Kind kind = Kind::Nothing;
    AdapterRef adapter;
};

/// Whether \a ref can serve now.
bool isLoaded(const EngineAdapters &engine, const AdapterRef &ref);

/// Adapters that occupy a slot: loading, loaded or unloading.
std::uint32_t usedSlots(const EngineAdapters &engine);

/// The next step towards having \a wanted loaded: a load where a slot is free; otherwise the
/// eviction of the least recently used adapter that nothing pins; nothing while everything is
/// pinned, while a load backs off, or while a former keeper's leases may still run.
PlacementStep nextStep(const EngineAdapters &engine, const AdapterRef &wanted, Instant now);

/// Moves \a ref by the chart.
void applyEvent(EngineAdapters &engine, const Chart &chart, const AdapterRef &ref,
                AdapterEvent event, Instant now);

/// Counts a failed load of \a ref and stores when the next may be tried: exponential with a cap,
/// and \a jitter in [0, 1) spreads the engines that failed together.
void backOff(EngineAdapters &engine, const AdapterRef &ref, double jitter, Instant now);

/// Returns adapters whose back-off is over to absent.
void endBackOffs(EngineAdapters &engine, const Chart &chart, Instant now);

void pin(EngineAdapters &engine, const AdapterRef &ref, Instant now);
void unpin(EngineAdapters &engine, const AdapterRef &ref);

} // namespace azurewell
