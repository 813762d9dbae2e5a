#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <functional>
#include <unordered_map>

namespace azurewell {

/// One adapter on one engine.
struct AdapterOnEngine
{
    AdapterState state = AdapterState::Absent;
    std::uint32_t pins = 0;     ///< Requests that run on it or hold a slot for it.
    std::uint32_t failures = 0; ///< Loads that failed in a row.
    Instant lastUsed;
    Instant orderedAt;     ///< When its last load was ordered.
    Instant retryAfter;    ///< No load is ordered before this.
    double popularity = 0; ///< Requests begun, each counted half for every half-life since.
    Instant countedAt;     ///< When `popularity` was last brought up to date.
};

/// The adapters of one engine as its keeper knows them.
struct EngineAdapters
{
    std::uint32_t slots = 1; ///< Adapters the engine holds at once.
    std::unordered_map<AdapterRef, AdapterOnEngine> adapters;
    Instant noEvictionBefore; ///< Until then a former keeper's slot leases can still be running.
    Span popularityHalfLife = std::chrono::seconds(60); ///< Popularity halves in this time.
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

/// Adapters that are being loaded.
std::uint32_t loadsUnderWay(const EngineAdapters &engine);

/// Slots that a load could use now: empty ones, and those of loaded adapters that nothing pins.
std::uint32_t openSlots(const EngineAdapters &engine);

/// The next step towards having \a wanted loaded: a load where a slot is free; otherwise the
/// eviction of the least popular adapter that nothing pins and \a isKept does not name; nothing
/// while everything is pinned, while a load backs off, or while a former keeper's leases may still
/// run.
///
/// Load pattern: thousands of adapters of which a few are popular. By least recent use alone, a run
/// of requests for rare adapters pushes out a popular one, which is loaded again a moment later.
PlacementStep nextStep(const EngineAdapters &engine, const AdapterRef &wanted, Instant now,
                       const std::function<bool(const AdapterRef &)> &isKept = {});

/// Whether a load of \a ref makes sense: it is neither there nor on its way, nor backing off.
bool isOrderable(const EngineAdapters &engine, const AdapterRef &ref, Instant now);

/// nextStep() without its adapter: a load where a slot is free, else an eviction, else nothing.
PlacementStep makeRoom(const EngineAdapters &engine, Instant now,
                       const std::function<bool(const AdapterRef &)> &isKept = {});

/// The popularity of \a adapter at \a now.
double popularityAt(const AdapterOnEngine &adapter, Span halfLife, Instant now);

/// Moves \a ref by the chart.
void applyEvent(EngineAdapters &engine, const Chart &chart, const AdapterRef &ref,
                AdapterEvent event, Instant now);

/// Counts a failed load of \a ref and stores when the next may be tried: exponential with a cap,
/// and \a jitter in [0, 1) spreads the engines that failed together.
void backOff(EngineAdapters &engine, const AdapterRef &ref, double jitter, Instant now);

/// Returns adapters whose back-off is over to absent.
void endBackOffs(EngineAdapters &engine, const Chart &chart, Instant now);

/// Counts \a count requests that began to use \a ref.
void noteUses(EngineAdapters &engine, const AdapterRef &ref, double count, Instant now);

void pin(EngineAdapters &engine, const AdapterRef &ref, Instant now);
void unpin(EngineAdapters &engine, const AdapterRef &ref);

} // namespace azurewell
