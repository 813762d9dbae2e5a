#pragma once

#include "azurewell/fleet/messages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurewell {

/// Refuse a caller's request.
struct Refuse
{
    RequestId request;
    ResultCode code = ResultCode::InternalError;
    RunState runState = RunState::NotRun;
    std::optional<Span> retryAfter;
    std::string detail;
};

/// Answer a caller's repeat of a call that has run with the stored answer of the first run.
struct AnswerFromStore
{
    RequestId request;
    HeldAnswer answer;
};

/// Answer a caller with call numbers for its next calls.
struct AnswerCallNumbers
{
    RequestId request;
    std::vector<CallNumber> numbers;
};

/// Send a request to an upstream and forward its answer to the caller.
struct Dispatch
{
    RequestId request;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    std::string address;
    Tokens resumeFrom; ///< Tokens that the caller already has; the upstream continues after them.
    bool mayRunTwice = true; ///< False if no byte may be sent a second time.
    /// End of the slot's lease, the permit or the deadline; the request must not be sent from then
    /// on.
    Instant notAfter;
};

/// Cancel an attempt: close its connection and request cancellation at the upstream.
struct CancelAttempt
{
    RequestId request;
    UpstreamId upstream;
    std::string address;
};

struct SendPeer
{
    HostId to;
    std::string address;
    PeerBody body;
};

/// Order an engine to load or unload an adapter.
struct OrderEngine
{
    UpstreamId engine;
    std::string address;
    bool isLoad = true;
    AdapterRef adapter;
    FencingNumber fencing;
    /// If the order is not carried out by then, it is abandoned and its connection closed.
    Instant notAfter;
};

/// Request a load report from an engine.
struct QueryLoadReport
{
    UpstreamId engine;
    std::string address;
    Instant queriedAt; ///< Returned in the report.
};

/// Log that a ticket was put in force or refused.
struct TicketProcessed
{
    TicketNumber number;
    bool isInForce = false;
    std::string detail;
};

/// The planned stop is complete: exit the process.
struct ExitProcess
{
};

using Action = std::variant<Refuse, Dispatch, CancelAttempt, SendPeer, OrderEngine, QueryLoadReport,
                            TicketProcessed, ExitProcess, AnswerFromStore, AnswerCallNumbers>;

} // namespace azurewell
