#pragma once

#include "azurewell/fleet/membership.h"
#include "azurewell/fleet/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace azurewell {

enum class RequestKind : std::uint8_t {
    Completion,
    ServiceCall,
    CallNumbers, ///< Asks for numbers for calls that must not be repeated.
};

/// A caller's request, head and body read; the shell keeps the body.
struct RequestArrived
{
    RequestId request;
    RequestKind kind = RequestKind::Completion;
    KeyHash key;
    AdapterRef adapter;        ///< Completions.
    ServiceId service;         ///< Service calls.
    bool isSafeMethod = false; ///< GET or HEAD: may be sent twice whatever the service is.
    CallNumber callNumber;     ///< Service calls; empty where the caller gave none.
    std::uint32_t numbers = 0; ///< How many call numbers are asked for.
    Tokens promptTokens;
    Tokens mostGenerated;
    Instant deadline;
};

/// The caller closed its connection before the answer was whole.
struct CallerLeft
{
    RequestId request;
};

/// How far a stream has come.
struct AttemptProgress
{
    RequestId request;
    std::uint32_t attempt = 0;
    Tokens generated; ///< Tokens passed on to the caller so far, all attempts together.
};

/// How an attempt at an upstream ended.
enum class AttemptOutcome : std::uint8_t {
    Done,         ///< The whole answer was passed on.
    NotSent,      ///< No byte of the request can have reached the upstream.
    Refused,      ///< The upstream answered that it did not take the request (503 or 429).
    Failed,       ///< The connection ended, or the answer was not whole.
    Silent,       ///< Nothing came within the idle deadline.
    Mismatch,     ///< The answer belonged to another request and was dropped.
    NotResumable, ///< The upstream would begin a stream again that the caller has a part of.
};

struct AttemptEnded
{
    RequestId request;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Done;
    Tokens generated;            ///< Passed on to the caller, all attempts together.
    bool hasAnswerBegun = false; ///< The caller has seen the head of an answer.
    HeldAnswer answer{};         ///< Of a numbered call, where it is short enough to be held.
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

/// The platform's list of live and leaving hosts, late by seconds.
struct HostListRead
{
    std::vector<ListedHost> hosts;
    std::vector<ListedUpstream> upstreams;
};

/// What an engine says of its load; the keeper asks for it.
struct LoadReported
{
    UpstreamId engine;
    bool isReachable = true;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<AdapterRef> loaded;
    std::uint64_t engineStart = 0; ///< Changes when the engine restarts.
};

/// A load or unload order was carried out or refused.
struct OrderEnded
{
    UpstreamId engine;
    AdapterRef adapter;
    bool isLoad = true;
    bool isDone = false;
};

/// A segment of a snapshot, read from the platform.
struct SnapshotRead
{
    std::string text;
};

/// The configuration service answered, be it that nothing has changed.
struct PlatformHeard
{
};

/// Time passed. The shell sends it every tickInterval.
struct Tick
{
};

/// The operator (or the platform) asks for a planned stop.
struct StopAsked
{
    Span grace{}; ///< How long requests that still arrive are served: balancers notice late.
};

using Event = std::variant<RequestArrived, CallerLeft, AttemptProgress, AttemptEnded,
                           PeerMessageReceived, TicketRead, HostListRead, LoadReported, OrderEnded,
                           PlatformHeard, SnapshotRead, Tick, StopAsked>;

} // namespace azurewell
