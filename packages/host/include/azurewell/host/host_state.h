#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/fleet/membership.h"
#include "azurewell/host/call_state.h"
#include "azurewell/host/coordination_state.h"
#include "azurewell/host/counters.h"
#include "azurewell/host/events.h"
#include "azurewell/host/heartbeat_state.h"
#include "azurewell/host/ticket_state.h"
#include "azurewell/limits/rate_shares.h"
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

/// Identity of this host, from the settings file.
struct HostIdentity
{
    HostId id;
    ZoneId zone;
    SeatNumber seat; ///< Host ordinal in the zone; determines this host's share of every rate.
    std::string peerAddress;
    Incarnation incarnation; ///< Must be above every earlier incarnation of the same host.
    std::uint64_t randomSeed = 0;
    /// Whether a host that was suspended and reaches no other host continues to use its share of
    /// every rate, at the risk that a successor uses the same share.
    bool resumesUnconfirmed = false;
};

enum class RequestPhase : std::uint8_t { WaitingForTokens, WaitingForSlot, Running };

/// A caller's request while this host processes it.
struct RequestRecord
{
    RequestArrived arrival;
    CustomerId customer;
    RequestPhase phase = RequestPhase::WaitingForTokens;
    /// The request is refused if the customer's rate has not admitted it by then.
    Instant tokenDeadline;
    Tokens generated;       ///< Tokens forwarded to the caller.
    UpstreamId upstream;    ///< Upstream at which the request waits or runs.
    HostId coordinator;     ///< Coordinator from which the slot was requested.
    Instant leaseExpiresAt; ///< End of the slot's lease.
    /// Number of attempts to obtain a slot; grants of earlier rounds are ignored.
    std::uint32_t round = 0;
    std::uint64_t renewalSerial = 0; ///< Serial of the newest renewal that listed the request.
    std::uint32_t requestsSent = 0;  ///< Slot requests sent in this round.
    /// When the slot request is sent again: a message may be lost or the coordinator may be gone.
    Instant nextRequestAt;
    /// The slot was lost while the request ran; the end of the attempt is awaited.
    bool isCancelled = false;
    std::uint32_t attempt = 0;
    /// Upstreams that are not tried again for this request.
    std::vector<UpstreamId> excludedUpstreams;
    /// Number of coordinators that could not serve the request in time.
    std::uint32_t slotRefusals = 0;
    bool isRouted = false; ///< Whether the routing table counts the request as sent to `upstream`.
    Instant dispatchedAt;
    Tokens resumedFrom;                ///< Tokens generated before the current attempt.
    bool isStreamRateRecorded = false; ///< Whether the current attempt's token rate was recorded.
    bool isIdempotent = true;
    /// The caller disconnected from a call with a number, which continues so that its outcome is
    /// recorded.
    bool hasCallerDisconnected = false;
    /// An earlier attempt may have run, so "not run" must not be reported.
    bool mayHaveRun = false;
};

/// A slot that this host granted as the engine's coordinator.
struct GrantedSlot
{
    HostId requester;
    CustomerId customer;
    AdapterRef adapter;
    Tokens charged;
    double weight = 1.0;
    Instant leaseExpiresAt;
    Instant grantedAt; ///< When the slot was granted; 0 for a slot that a previous coordinator
                       ///< granted.
    std::uint32_t round = 0;
    /// Set when the lease has ended: cancellation is requested from the engine until then, and the
    /// adapter stays pinned.
    Instant unpinAt;
    /// When cancellation is next requested from the engine; `never` while the lease is valid.
    Instant nextCancelAt;
};

/// An engine that this host coordinates.
struct CoordinatedEngine
{
    FairQueue queue;
    EngineAdapters adapters;
    ServiceRate rate;
    std::map<RequestId, GrantedSlot> granted;
    Instant nextLoadReport;
    std::uint64_t engineStart = 0;
    /// Newest serial received from each requester; basis of its leases.
    std::map<HostId, std::pair<Incarnation, std::uint64_t>> newestSerial;
    std::unordered_map<RequestId, std::uint32_t> rounds; ///< Rounds of the requests in the queue.

    Instant createdAt;
    /// When every lease that a previous coordinator can have granted has expired; `never` while not
    /// known.
    Instant evictionAllowedFrom = never;
    /// Whether a report requested after evictionAllowedFrom showed no more running requests than
    /// slots granted here.
    bool hasNoUnknownRequests = false;
    Instant newestReportRequestedAt; ///< When the newest processed load report was requested.
    /// Orders in progress. An order that ends without an entry here was made obsolete by a restart
    /// of the engine.
    std::unordered_map<AdapterRef, FencingNumber> orders;
    /// When the newest order for each adapter ended. A load report that was requested earlier is
    /// outdated for that adapter.
    std::unordered_map<AdapterRef, Instant> orderEndedAt;
    /// Abandoned unloads: until then the order can still reach the engine and be carried out.
    std::unordered_map<AdapterRef, Instant> abandonedUnloads;
};

/// Health of an upstream; UpstreamTable has the data for choosing among upstreams.
struct UpstreamHealth
{
    UpstreamState state = UpstreamState::Unknown;
    Instant ejectedUntil;
    std::uint32_t consecutiveFailures = 0;
};

/// The complete state of one host. It is lost when the process ends; no guarantee depends on its
/// being kept.
struct HostState
{
    HostIdentity self;
    KnownCharts charts;
    std::mt19937_64 random;

    ProcessState process = ProcessState::Starting;
    Instant servesUntil; ///< While draining: requests that arrive after this time are refused.
    StateInForce inForce;
    TicketState tickets;
    Membership membership;
    Instant nextHeartbeat;
    HeartbeatState heartbeats;
    FencingNumber fencing; ///< Highest fencing number used or received.
    CoordinationState coordination;

    std::unordered_map<RequestId, RequestRecord> requests;
    RateShares shares; ///< This host's shares of every customer's rate and burst.
    std::deque<RequestId> waitingForTokens; ///< Oldest first.
    std::unordered_map<UpstreamId, UpstreamHealth> upstreams;
    UpstreamTable routing;
    LoadPacer loadPacer;
    std::map<UpstreamId, CoordinatedEngine> coordinatedEngines;
    RetryBudget retryBudget;

    CallState calls;

    std::uint64_t nextSerial = 1;
    /// When each heartbeat, slot request or renewal of the last 60 s was sent, by serial.
    std::map<std::uint64_t, Instant> serialSentAt;
    std::deque<PeerMessage> loopback; ///< Messages from this host to itself.

    Counters counters;
};

} // namespace azurewell
