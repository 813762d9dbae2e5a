#pragma once

#include "azurewell/gateway/stated_limit.h"
#include "azurewell/routing/upstream_speed.h"
#include "azurewell/units/endpoint.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// An adapter of a base model, or the base model itself if `adapter` is empty.
struct ModelName
{
    std::string model;
    std::string adapter;

    auto operator<=>(const ModelName &) const = default;
    bool isBase() const
    {
        return this->adapter.empty();
    }
};

/// An adapter that is loaded on an engine.
struct LoadedAdapter
{
    ModelName name;
    std::uint64_t version = 0;

    auto operator<=>(const LoadedAdapter &) const = default;
};

/// An adapter that an engine is loading.
struct LoadingAdapter
{
    ModelName name;
    Instant since;               ///< When the load was ordered; zero: unknown.
    bool isInHostMemory = false; ///< The engine has the adapter in its host memory.
};

/// State of an engine, from its own report or from an update of its coordinator.
struct EngineState
{
    Instant seenAt;                ///< Latest time at which the state was valid; zero: never seen.
    std::int64_t start = 0;        ///< Changes with each start of the engine.
    std::uint64_t ordersTaken = 0; ///< Orders accepted since the engine started.
    bool isOrderUnderWay = false;
    std::vector<std::string> models;
    std::vector<LoadedAdapter> ready;
    std::vector<LoadingAdapter> loading;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    bool isSeen() const
    {
        return this->seenAt.micros != 0;
    }
    bool hasModel(const std::string &model) const;
    /// The adapter if it is ready, null otherwise.
    const LoadedAdapter *findReady(const ModelName &name) const;
    bool isLoading(const ModelName &name) const;
};

/// An upstream as listed by the platform.
struct ListedUpstream
{
    UpstreamId id;
    ServiceId service;
    Endpoint address;
    ZoneId zone;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    Span remaining{};  ///< Time until the upstream is terminated, if it leaves at short notice; 0:
                       ///< not stated.
    Span warmupLeft{}; ///< Time for which the upstream stays cold; 0: it is warm.
    std::uint64_t serial = 0; ///< Increases with each entry of one process of the upstream.
    EngineState engine;       ///< State in the last entry; `seenAt` is set by the reader.
    SoftwareVersion softwareVersion{};
};

/// Whether two entries of an upstream are equal apart from their serial and the engine's state,
/// which its coordinator sends sooner.
bool isSameListing(const ListedUpstream &a, const ListedUpstream &b);

/// Load that an upstream states in its answers.
struct StatedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowdown = 0; ///< How long work takes now, relative to the usual; 0: not stated.
};

/// A load in progress, as tracked by this host.
struct LoadInProgress
{
    Instant since; ///< When the load was ordered or first seen.
    bool isInHostMemory = false;
    std::uint32_t earlyAttempts = 0; ///< Requests sent before a report shows it as done.
    Instant earlyAttemptAt; ///< When the last of them was sent; zero: the engine rejected it.
    Instant nextEarlyAttemptAt;
    bool isDone = false; ///< The engine accepted such a request.
    std::uint64_t version = 0;
};

/// A sum whose samples decay exponentially.
struct DecayedSum
{
    double value = 0;
    Instant at;
};

/// Decay time (to 1/e) of the prompt tokens sent to an engine: about the time for which recent
/// prompts delay the next step of its batch.
inline constexpr Span promptDecayTime = std::chrono::milliseconds(400);

/// The value of \a sum at \a now; it decays to 1/e within \a decayTime.
double valueAt(const DecayedSum &sum, Span decayTime, Instant now);

void add(DecayedSum &sum, double value, Span decayTime, Instant now);

inline constexpr Instant never{ std::numeric_limits<std::int64_t>::max() };

/// An upstream and what this host knows about it.
struct Upstream
{
    ListedUpstream listed;
    Instant usableUntil;  ///< If removed or leaving, no new requests are sent after this time;
                          ///< otherwise `never`.
    Instant terminatedAt; ///< When the upstream is terminated, whatever still runs; otherwise
                          ///< `never`.
    /// Start of the process that has stated in an answer that it leaves. That precedes the
    /// platform's list, and holds for that process only.
    std::optional<std::int64_t> leavingStart;
    Instant pausedUntil;          ///< Until then it wants no request from this host.
    Instant zoneClosesAt = never; ///< When its zone gets no more requests; see zone_evacuation.h.
    Instant coldUntil;            ///< Until then it bears few requests; see warmup.h.
    EngineState engine;
    std::map<ModelName, LoadInProgress> loads;
    HostId updatedBy; ///< Sender of the last update on the engine, presumably its coordinator.
    Instant updatedAt;

    StatedLoad load;
    Instant loadAt;
    StatedLimit limit;
    std::uint32_t requestsInFlight = 0;        ///< Requests of this host in progress there.
    DecayedSum ownPrompts;                     ///< Prompt tokens sent by this host.
    std::map<HostId, DecayedSum> otherPrompts; ///< Prompt tokens sent by other hosts.
    UpstreamSpeed speed; ///< Of the current process; a restarted upstream starts anew.
    /// `ownPrompts` as the coordinator's figures arrived, which include them.
    DecayedSum ownPromptsReported;
    double sentSlowdown = 0; ///< As this host, the coordinator, last sent it.
    std::uint32_t failuresInARow = 0;
    std::int64_t reportedStart = 0; ///< Process start that the upstream, or a host, last reported.
    Instant reportedAt;             ///< Latest time at which that process was known to run.
    Instant avoidedUntil;           ///< After failures, other upstreams are preferred until then.
    Instant replacedUntil;  ///< Another instance answers at its address; until then no new requests
                            ///< are sent unless its entry changes.
    double failureRate = 0; ///< Moving average of the share of failed requests.
};

using UpstreamMap = std::map<UpstreamId, Upstream>;

/// The engine that last held each adapter. An engine keeps unloaded adapters in its host memory and
/// loads them from there ten times as fast as others, without the weight store.
struct LastEngines
{
    struct Entry
    {
        UpstreamId engine;
        std::uint64_t serial = 0; ///< Key in `adapters`.
    };
    std::map<ModelName, Entry> entries;
    std::map<std::uint64_t, ModelName> adapters; ///< By age, oldest first.
    std::uint64_t nextSerial = 1;
};

/// Maximum number of remembered adapters: some 30 for each engine of a fleet of a hundred.
inline constexpr std::size_t maxLastEngines = 3000;

/// Replaces the state of the engine by \a state. Reports are some 200 ms old and may show an
/// adapter as loading that has accepted requests since; such an adapter stays ready.
void setEngine(Upstream &upstream, EngineState state, LastEngines &lastEngines, Instant now);

/// Records that \a adapter was unloaded from \a engine.
void recordLastEngine(LastEngines &lastEngines, const ModelName &adapter, const UpstreamId &engine);

/// The engine that last held \a adapter; null if unknown.
const UpstreamId *findLastEngine(const LastEngines &lastEngines, const ModelName &adapter);

/// Records that a load of \a adapter was ordered.
void beginLoad(Upstream &upstream, const ModelName &adapter, bool isInHostMemory, Instant now);

/// Records that the engine accepted a request for an adapter that a report still shows as loading.
/// The other requests that wait for the adapter may be sent.
void recordLoadDone(Upstream &upstream, const ModelName &adapter);

/// Whether the entry of \a upstream, and so its software version, is of the process that was last
/// reported. Another start may have brought another version; its entry comes later, or not at all
/// while the platform answers nobody.
bool isVersionKnown(const Upstream &upstream);

/// Start of the current process of \a upstream, as far as this host knows.
std::int64_t startOf(const Upstream &upstream);

/// Whether the current process of \a upstream has stated in an answer that it leaves.
bool isStatedLeaving(const Upstream &upstream);

/// Whether new requests may be sent to \a upstream.
bool isUsable(const Upstream &upstream, Instant now);

/// Whether requests to \a upstream need a permit, as it bears only some a second.
bool isRateLimited(const Upstream &upstream, Instant now);

/// Whether \a upstream is cold, as far as this host knows.
bool isCold(const Upstream &upstream, Instant now);

/// Whether the zone of \a upstream is being evacuated.
bool isEvacuated(const Upstream &upstream);

/// What the outcome of an attempt says about the health of an upstream.
enum class HealthSignal : std::uint8_t {
    Answered, ///< A complete answer that states no fault.
    Failed,   ///< No answer, a broken one, or one that states a fault of the upstream itself.
    Unreachable,
};

void recordHealth(Upstream &upstream, HealthSignal signal, Instant now);

} // namespace azurewell::gateway
