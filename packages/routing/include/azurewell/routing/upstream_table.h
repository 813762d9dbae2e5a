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

/// What an engine's keeper reports of it; late by up to a heartbeat.
struct EngineReport
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t openSlots = 0; ///< Adapter slots that a load could use: empty or evictable.
    std::vector<AdapterRef> loaded;
    std::vector<AdapterRef> wanted; ///< Being loaded, or waited for.
    bool keepsLoaded = false;       ///< `loaded` is as in the report before, and left out.
};

/// An adapter that this host expects on an engine because it has just sent a request for it there.
struct ExpectedAdapter
{
    AdapterRef adapter;
    Instant until;
};

/// One engine or back end as this host sees it.
struct UpstreamEntry
{
    UpstreamId id;
    std::uint64_t hash = 0;
    std::uint32_t group = 0;
    UpstreamKind kind = UpstreamKind::Engine;
    UpstreamState state = UpstreamState::Unknown;
    bool isOwnZone = false;
    bool isLeaving = false; ///< By ticket, or no longer in the tickets.
    double batchSlots = 1;
    double adapterSlots = 1;
    EngineReport report;
    std::vector<ExpectedAdapter> expected;
    std::int32_t sentSince = 0;   ///< Own requests since the report, less those that ended.
    std::int32_t missesSince = 0; ///< Of those sent, the ones whose adapter was not there.
    std::uint32_t inFlight = 0;   ///< Own requests, sent and not ended.
    double pace = 0;              ///< Seconds for each token, as this host saw it; 0 is unknown.
    std::uint32_t slowProbes = 0; ///< Looks at a slow upstream that found it slow still.
    Instant probeAfter;           ///< A slow upstream gets one request at a time from then on.
};

/// Upstreams that can take each other's work: the engines of one base model, or the back ends of
/// one service. The rings hold each upstream at several points in order of their hash; the ones
/// that follow an adapter's hash are its homes, found in logarithmic time.
struct UpstreamGroup
{
    std::vector<std::uint32_t> own; ///< In this host's zone.
    std::vector<std::uint32_t> all;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ownRing;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ring;
    double pace = 0; ///< Of its members, on average.
    double holdSeconds
            = 5; ///< Mean time of a request on a slot; a guess until the first has ended.
};

/// All upstreams, indexed for routing.
///
/// Load pattern: thousands of engines and requests. Looking at each engine for each request costs a
/// host of the largest fleet more than it has; looking at too few sends requests to engines that
/// must first load the adapter. Only engines that hold the adapter, its homes and a few drawn by
/// the request's hash are looked at.
struct UpstreamTable
{
    std::vector<UpstreamEntry> entries;
    std::unordered_map<UpstreamId, std::uint32_t> byId;
    std::vector<UpstreamGroup> groups;
    std::unordered_map<std::string, std::uint32_t> engineGroups;  ///< By base model.
    std::unordered_map<std::string, std::uint32_t> serviceGroups; ///< By service.
    std::unordered_map<AdapterRef, std::vector<std::uint32_t>> holders;
};

/// Takes over the upstreams in force. What was learned of those that stay is kept.
void setUpstreams(UpstreamTable &table, const std::unordered_map<UpstreamId, Upstream> &inForce,
                  const ZoneId &ownZone);

void setState(UpstreamTable &table, const UpstreamId &id, UpstreamState state);

/// Takes over a keeper's report at \a now.
void noteReport(UpstreamTable &table, const UpstreamId &id, EngineReport report, Instant now);

/// Counts a request of this host that was sent to \a id, or asked for a slot there.
void noteSent(UpstreamTable &table, const UpstreamId &id, const AdapterRef &adapter, Instant now);

/// Counts its end, however it ended.
void noteEnded(UpstreamTable &table, const UpstreamId &id);

/// Learns how fast \a id is from \a tokens that took \a took; \a held, where it is known, is how
/// long the whole request had its slot.
void notePace(UpstreamTable &table, const UpstreamId &id, Tokens tokens, Span took,
              std::optional<Span> held, Instant now);

/// What the choice for one request depends on.
struct RouteAsk
{
    const std::string &group;  ///< Name of the base model or of the service.
    const AdapterRef &adapter; ///< Empty for a service call.
    std::uint64_t salt = 0;    ///< Hash of the request's id; draws the sampled candidates.
    std::span<const UpstreamId> excluded; ///< Failed for this request already.
};

/// The upstream with the least expected wait, or none where no one may take work.
std::optional<UpstreamId> chooseUpstream(const UpstreamTable &table, const RouteAsk &ask,
                                         Instant now);

/// Expected seconds until \a entry begins a request for \a adapter, and what taking it there costs
/// others.
double routeCost(const UpstreamGroup &group, const UpstreamEntry &entry, const AdapterRef &adapter);

/// Whether \a entry may get new work at all.
bool mayTakeWork(const UpstreamEntry &entry);

/// Whether \a entry makes tokens so much more slowly than its group that it is avoided.
///
/// Load pattern: one engine of many is ten times slower and reports a normal load. Routed by load
/// alone it keeps its part of the requests, and none of their callers gets an answer in time.
bool isSlow(const UpstreamGroup &group, const UpstreamEntry &entry);

} // namespace azurewell
