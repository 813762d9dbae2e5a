#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/fleet/membership.h"
#include "azurewell/host/call_state.h"
#include "azurewell/host/counters.h"
#include "azurewell/host/events.h"
#include "azurewell/host/heartbeat_state.h"
#include "azurewell/host/keeper_state.h"
#include "azurewell/host/ticket_state.h"
#include "azurewell/limits/share_holder.h"
#include "azurewell/placement/engine_adapters.h"
#include "azurewell/placement/load_pacer.h"
#include "azurewell/routing/retry_budget.h"
#include "azurewell/routing/upstream_table.h"
#include "azurewell/scheduling/shedding.h"
#include "azurewell/tickets/state_in_force.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace azurewell {

/// Who this host is; from the settings file.
struct HostIdentity
{
    HostId id;
    ZoneId zone;
    SeatNumber seat; ///< The place in the zone that this host fills; its part of every rate.
    std::string peerAddress;
    Incarnation incarnation; ///< Must be above that of any earlier life of the same host.
    std::uint64_t randomSeed = 0;
    /// Whether a host that was paused and reaches no other goes on with its part of every rate, at
    /// the risk that a successor uses the same part.
    bool resumesUnconfirmed = false;
};

enum class RequestPhase : std::uint8_t { WaitingForTokens, WaitingForSlot, Running };

/// A caller's request on its way through this host.
struct RequestRecord
{
    RequestArrived asked;
    CustomerId customer;
    RequestPhase phase = RequestPhase::WaitingForTokens;
    Instant tokensBy;        ///< Refused if the customer's rate has not admitted it by then.
    Tokens generated;        ///< Passed on to the caller.
    UpstreamId upstream;     ///< Where it waits or runs.
    HostId keeper;           ///< Who was asked for the slot.
    Instant leaseEnds;       ///< The slot is ours until then.
    std::uint32_t round = 0; ///< Times that a slot was sought; grants of earlier rounds are void.
    std::uint64_t renewalSerial = 0; ///< Of the newest renewal that listed it.
    std::uint32_t asks = 0;          ///< Sent in this round.
    Instant askAgainAt;              ///< An ask or a grant may be lost, and a keeper may be gone.
    bool isCancelled = false; ///< Its slot was lost while it ran; the attempt's end is awaited.
    std::uint32_t attempt = 0;
    std::vector<UpstreamId> failedAt; ///< Not tried again for this request.
    std::uint32_t refusedAsks = 0;    ///< Keepers that could not serve it in time.
    bool isRouted = false;            ///< Counted as under way to `upstream` in the table.
    Instant dispatchedAt;
    Tokens resumedFrom;      ///< Generated before the present attempt.
    bool isPaceSeen = false; ///< The present attempt's speed was counted.
    bool isIdempotent = true;
    bool isCallerGone = false; ///< A numbered call that goes on for its outcome.
    bool mayHaveRun = false;   ///< An attempt ended that can have run: "not run" would be untrue.
};

/// A slot that this host, as keeper, has granted.
struct GrantedSlot
{
    HostId asker;
    CustomerId customer;
    AdapterRef adapter;
    Tokens charged;
    double weight = 1.0;
    Instant leaseEnds;
    Instant since; ///< When it was granted; unset for one that a former keeper granted.
    std::uint32_t round = 0;
    Instant unpinAt;    ///< After the lease: the engine is told to cancel until then.
    Instant nextCancel; ///< While the lease runs: never.
};

/// An engine that this host keeps.
struct KeptEngine
{
    FairQueue queue;
    EngineAdapters adapters;
    ServiceRate rate;
    std::map<RequestId, GrantedSlot> granted;
    Instant nextLoadReport;
    std::uint64_t engineStart = 0;
    /// Of each asker; basis of its leases.
    std::map<HostId, std::pair<Incarnation, std::uint64_t>> newestSerial;
    std::unordered_map<RequestId, std::uint32_t> rounds; ///< Of the requests in the queue.

    Instant madeAt;
    Instant evictFrom = never; ///< Every lease that a former keeper can have given is over then.
    bool isQuiet = false; ///< Since evictFrom the engine was seen to run no more than is granted.
    Instant newestReportAsked; ///< When the newest report that was used had been asked for.
    /// Orders under way; one that ends without being here was ended by a restart of the engine.
    std::unordered_map<AdapterRef, FencingNumber> orders;
    /// When orders ended. A report that was asked for earlier says nothing of that adapter.
    std::unordered_map<AdapterRef, Instant> orderEndedAt;
    /// Unloads that were given up: until then the order can still arrive and be carried out.
    std::unordered_map<AdapterRef, Instant> doubtfulUntil;
};

/// Whether an upstream answers; UpstreamTable has what the choice among them needs.
struct KnownUpstream
{
    UpstreamState state = UpstreamState::Unknown;
    Instant ejectedUntil;
    std::uint32_t failuresInARow = 0;
};

/// Everything that one host knows. Lost when the process ends, and safe when lost.
struct HostState
{
    HostIdentity self;
    KnownCharts charts;
    std::mt19937_64 random;

    ProcessState process = ProcessState::Starting;
    Instant servesUntil; ///< While draining: requests that arrive later are refused.
    StateInForce inForce;
    TicketState tickets;
    Membership membership;
    Instant nextHeartbeat;
    HeartbeatState heartbeats;
    FencingNumber fencing; ///< The highest that was used or seen.
    KeeperState keepers;

    std::unordered_map<RequestId, RequestRecord> requests;
    ShareHolder shares;                     ///< Of every customer's rate and burst.
    std::deque<RequestId> waitingForTokens; ///< Oldest first.
    std::unordered_map<UpstreamId, KnownUpstream> upstreams;
    UpstreamTable routing;
    LoadPacer loadPacer;
    std::map<UpstreamId, KeptEngine> kept;
    RetryBudget retryBudget;

    CallState calls;

    std::uint64_t nextSerial = 1;
    std::map<std::uint64_t, Instant> serialSentAt; ///< When each ask or renewal was sent.
    std::deque<PeerMessage> loopback;              ///< Messages of this host to itself.

    Counters counters;
};

} // namespace azurewell
