#pragma once

#include "azurewell/fleet/membership.h"
#include "azurewell/fleet/messages.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azurewell {

enum class RequestKind : std::uint8_t {
    Completion,
    ServiceCall,
    CallNumbers, ///< Requests numbers for calls that must not be repeated.
};

/// A caller's request whose head and body have been read; the shell keeps the body.
struct RequestArrived
{
    RequestId request;
    RequestKind kind = RequestKind::Completion;
    KeyHash key;
    AdapterRef adapter;                ///< Set for completions.
    ServiceId service;                 ///< Set for service calls.
    bool isSafeMethod = false;         ///< GET or HEAD: may be sent twice for any service.
    CallNumber callNumber;             ///< For service calls; empty if the caller gave none.
    std::uint32_t callNumberCount = 0; ///< Number of call numbers requested.
    Tokens promptTokens;
    Tokens maxGenerated;
    Instant deadline;
};

/// The caller closed its connection before the answer was complete.
struct CallerDisconnected
{
    RequestId request;
};

/// Progress of a stream.
struct AttemptProgress
{
    RequestId request;
    std::uint32_t attempt = 0;
    Tokens generated; ///< Tokens forwarded to the caller so far by all attempts together.
};

/// How an attempt at an upstream ended.
enum class AttemptOutcome : std::uint8_t {
    Done,         ///< The complete answer was forwarded.
    NotSent,      ///< No byte of the request can have reached the upstream.
    Refused,      ///< The upstream rejected the request without running it (503 or 429).
    Failed,       ///< The connection was closed, or the answer was incomplete.
    Silent,       ///< No data arrived within the idle timeout.
    Mismatch,     ///< The answer belonged to another request and was discarded.
    NotResumable, ///< The upstream would restart a stream of which the caller already has a part.
    Cancelled,    ///< Ended by CancelAttempt.
};

std::string_view nameOf(AttemptOutcome outcome);

struct AttemptEnded
{
    RequestId request;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Done;
    Tokens generated;              ///< Tokens forwarded to the caller by all attempts together.
    bool hasAnswerStarted = false; ///< Whether the head of an answer was forwarded to the caller.
    /// Whether the caller has the complete answer. Also true if only its end was lost: the last
    /// token was forwarded before the attempt ended in another way than Done.
    bool isAnswerComplete = false;
    HeldAnswer answer{}; ///< Answer of a call with a number, if it is short enough to be stored.
};

struct PeerMessageReceived
{
    PeerMessage message;
};

/// A ticket read from the platform.
struct TicketRead
{
    std::string text;
};

/// An upstream in the platform's list.
struct ListedUpstream
{
    UpstreamId id;
    bool isLeaving = false;
};

/// The platform's list of live and leaving hosts and upstreams; it lags by seconds.
struct HostListRead
{
    std::vector<ListedHost> hosts;
    std::vector<ListedUpstream> upstreams;
};

/// An engine's load report, requested by its coordinator.
struct LoadReported
{
    UpstreamId engine;
    bool isReachable = true;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<AdapterRef> loaded;
    std::uint64_t engineStart = 0; ///< Changes when the engine restarts.
    Instant queriedAt;             ///< When the answered QueryLoadReport was issued.
};

/// An order to load or unload an adapter was carried out or failed.
struct OrderEnded
{
    UpstreamId engine;
    AdapterRef adapter;
    bool isLoad = true;
    bool isDone = false;
    FencingNumber fencing; ///< Fencing number of the order.
    /// The engine's own highest fencing number if it rejected the order for a lower one, else 0.
    FencingNumber engineFencing;
};

/// A segment of a snapshot, read from the platform.
struct SnapshotRead
{
    std::string text;
};

/// The configuration service responded, even if nothing has changed.
struct PlatformResponded
{
};

/// Sent by the shell every tickInterval.
struct Tick
{
};

/// The operator or the platform requests a planned stop.
struct StopAsked
{
    /// How long new requests are still served, since load balancers notice the stop late.
    Span grace{};
};

using Event = std::variant<RequestArrived, CallerDisconnected, AttemptProgress, AttemptEnded,
                           PeerMessageReceived, TicketRead, HostListRead, LoadReported, OrderEnded,
                           PlatformResponded, SnapshotRead, Tick, StopAsked>;

} // namespace azurewell
