#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/tickets/records.h"
#include "azurewell/units/time.h"

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// An engine's state as reported by its coordinator; up to one heartbeat interval old.
struct EngineReport
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t openSlots = 0; ///< Adapter slots that a load could use: empty or evictable.
    std::vector<AdapterRef> loaded;
    std::vector<AdapterRef> wanted; ///< Being loaded, or required by waiting requests.
    bool keepsLoaded = false; ///< `loaded` is empty here and unchanged since the previous report.
};

/// An adapter that this host expects on an engine because it has sent a request for it there.
struct ExpectedAdapter
{
    AdapterRef adapter;
    Instant until;
};

/// One engine or service back end, with this host's own observations.
struct UpstreamEntry
{
    UpstreamId id;
    std::uint64_t hash = 0;
    std::uint32_t group = 0;
    UpstreamKind kind = UpstreamKind::Engine;
    UpstreamState state = UpstreamState::Unknown;
    bool isOwnZone = false;
    bool isLeaving = false; ///< Marked as leaving by a ticket, or removed from the tickets.
    double batchSlots = 1;
    double adapterSlots = 1;
    EngineReport report;
    std::vector<ExpectedAdapter> expected;
    std::int32_t sentSinceReport
            = 0; ///< Own requests sent since the report minus those that ended.
    std::int32_t missesSinceReport
            = 0;                    ///< Of the requests sent, those whose adapter was not loaded.
    std::uint32_t inFlight = 0;     ///< Own requests that were sent and have not ended.
    double pace = 0;                ///< Mean seconds per token of own requests; 0 if unknown.
    std::uint32_t failedProbes = 0; ///< Consecutive probes that found the upstream still slow.
    Instant probeAfter;             ///< A slow upstream may get one request at a time after this.
};

/// Interchangeable upstreams: the engines of one base model, or the back ends of one service. The
/// consistent-hashing rings hold each upstream at several points ordered by hash; the points that
/// follow an adapter's hash are its home upstreams, found in logarithmic time.
struct UpstreamGroup
{
    std::vector<std::uint32_t> own; ///< Upstreams in this host's zone.
    std::vector<std::uint32_t> all;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ownRing;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ring;
    double pace = 0;        ///< Mean seconds per token of the members; 0 if unknown.
    double holdSeconds = 5; ///< Mean slot time of a request; the initial value is an estimate.
};

/// All upstreams, indexed for routing.
///
/// Load pattern: thousands of engines and requests. Evaluating every engine for every request would
/// exceed a host's CPU capacity in the largest fleet; evaluating too few sends requests to engines
/// that must first load the adapter. Only engines that hold the adapter, its home engines and a few
/// sampled by the request's hash are evaluated.
struct UpstreamTable
{
    std::vector<UpstreamEntry> entries;
    std::unordered_map<UpstreamId, std::uint32_t> byId;
    std::vector<UpstreamGroup> groups;
    std::unordered_map<std::string, std::uint32_t> engineGroups;  ///< By base model.
    std::unordered_map<std::string, std::uint32_t> serviceGroups; ///< By service.
    std::unordered_map<AdapterRef, std::vector<std::uint32_t>> adapterHolders;
};

/// Replaces the upstreams by those in \a inForce. Observations of those that remain are kept.
void setUpstreams(UpstreamTable &table, const std::unordered_map<UpstreamId, Upstream> &inForce,
                  const ZoneId &ownZone);

void setState(UpstreamTable &table, const UpstreamId &id, UpstreamState state);

/// Applies a coordinator's report.
void recordReport(UpstreamTable &table, const UpstreamId &id, EngineReport report, Instant now);

/// Records a request of this host that was sent to \a id or that requested a slot there.
void recordSent(UpstreamTable &table, const UpstreamId &id, const AdapterRef &adapter, Instant now);

/// Records the end of a request recorded by recordSent(), whatever its outcome.
void recordEnded(UpstreamTable &table, const UpstreamId &id);

/// Updates the pace of \a id and its group with a request whose \a tokens took \a took; \a held is
/// the request's whole slot time, if known.
void recordPace(UpstreamTable &table, const UpstreamId &id, Tokens tokens, Span took,
                std::optional<Span> held, Instant now);

/// The parameters of the choice for one request.
struct RouteRequest
{
    const std::string &group;             ///< Name of the base model or of the service.
    const AdapterRef &adapter;            ///< Empty for a service call.
    std::uint64_t salt = 0;               ///< Hash of the request's id; seeds the sampling.
    std::span<const UpstreamId> excluded; ///< Upstreams that failed for this request.
};

/// The available upstream with the lowest routeCost(), or none.
std::optional<UpstreamId> chooseUpstream(const UpstreamTable &table, const RouteRequest &request,
                                         Instant now);

/// Expected seconds until \a entry starts a request for \a adapter, plus penalties for its cost to
/// other requests.
double routeCost(const UpstreamGroup &group, const UpstreamEntry &entry, const AdapterRef &adapter);

/// Whether \a entry may be sent new requests.
bool mayTakeWork(const UpstreamEntry &entry);

/// Whether \a entry is avoided because it generates tokens much more slowly than its group.
///
/// Load pattern: one engine of many is ten times slower and reports a normal load. Routing by load
/// alone would keep sending it its share of the requests, none of which is answered in time.
bool isSlow(const UpstreamGroup &group, const UpstreamEntry &entry);

} // namespace azurewell
