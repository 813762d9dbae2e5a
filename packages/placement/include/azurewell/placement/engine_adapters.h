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
    std::uint32_t pins = 0;     ///< Requests that run on it or have a slot granted for it.
    std::uint32_t failures = 0; ///< Consecutive failed loads.
    Instant lastUsed;
    Instant orderedAt;           ///< When the last load was ordered.
    Instant retryAfter;          ///< No load is ordered before this.
    double popularity = 0;       ///< Started requests, with exponential decay by half-life.
    Instant popularityUpdatedAt; ///< When `popularity` was last updated.
};

/// The adapters of one engine, as its coordinator knows them.
struct EngineAdapters
{
    std::uint32_t slots = 1; ///< Maximum number of adapters the engine holds.
    std::unordered_map<AdapterRef, AdapterOnEngine> adapters;
    Instant noEvictionBefore; ///< Slot leases of a former coordinator may be valid until this.
    Span popularityHalfLife = std::chrono::seconds(60); ///< Half-life of `popularity`.
};

/// The next order of a coordinator to its engine.
struct PlacementStep
{
    enum class Kind : std::uint8_t { Nothing, Load, Evict };
    Kind kind = Kind::Nothing;
    AdapterRef adapter;
};

/// Whether \a ref is loaded.
bool isLoaded(const EngineAdapters &engine, const AdapterRef &ref);

/// The number of adapters that occupy a slot: loading, loaded or unloading.
std::uint32_t usedSlots(const EngineAdapters &engine);

/// The number of adapters that are being loaded.
std::uint32_t loadsInFlight(const EngineAdapters &engine);

/// The number of slots that a load could use: empty ones, and those of loaded adapters without
/// pins.
std::uint32_t openSlots(const EngineAdapters &engine);

/// The next order needed to load \a wanted: a load if a slot is free; otherwise the eviction of the
/// least popular adapter that has no pins and that \a isProtected does not protect. Nothing while
/// all adapters are pinned, the load is backing off, or a former coordinator's leases may be valid.
///
/// Load pattern: thousands of adapters of which a few are popular. With plain LRU eviction a series
/// of requests for rare adapters evicts a popular one, which must be loaded again at once.
PlacementStep nextStep(const EngineAdapters &engine, const AdapterRef &wanted, Instant now,
                       const std::function<bool(const AdapterRef &)> &isProtected = {});

/// Whether a load of \a ref may be ordered: it is absent, and not backing off.
bool isOrderable(const EngineAdapters &engine, const AdapterRef &ref, Instant now);

/// Like nextStep(), but for any adapter: a load (without adapter), an eviction, or nothing.
PlacementStep makeRoom(const EngineAdapters &engine, Instant now,
                       const std::function<bool(const AdapterRef &)> &isProtected = {});

/// The popularity of \a adapter at \a now.
double popularityAt(const AdapterOnEngine &adapter, Span halfLife, Instant now);

/// Applies \a event to the state of \a ref.
void applyEvent(EngineAdapters &engine, const Chart &chart, const AdapterRef &ref,
                AdapterEvent event, Instant now);

/// Counts a failed load of \a ref and sets the time of the next attempt by capped exponential
/// back-off; \a jitter in [0, 1) spreads the retries of engines that failed together.
void backOff(EngineAdapters &engine, const AdapterRef &ref, double jitter, Instant now);

/// Sets adapters whose back-off is over to absent.
void endBackOffs(EngineAdapters &engine, const Chart &chart, Instant now);

/// Adds \a count started requests to the popularity of \a ref.
void recordUses(EngineAdapters &engine, const AdapterRef &ref, double count, Instant now);

/// Counts a request that uses \a ref, which can't be evicted until unpin().
void pin(EngineAdapters &engine, const AdapterRef &ref, Instant now);
void unpin(EngineAdapters &engine, const AdapterRef &ref);

} // namespace azurewell
