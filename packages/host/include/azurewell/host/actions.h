#pragma once

#include "azurewell/fleet/messages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurewell {

/// Answer a caller with a refusal.
struct Refuse
{
    RequestId request;
    ResultCode code = ResultCode::InternalError;
    RunState runState = RunState::NotRun;
    std::optional<Span> retryAfter;
    std::string detail;
};

/// Answer a caller's repeat of a call that has run with the answer that the call got.
struct AnswerHeld
{
    RequestId request;
    HeldAnswer answer;
};

/// Answer a caller with numbers for its next calls.
struct AnswerNumbers
{
    RequestId request;
    std::vector<CallNumber> numbers;
};

/// Send a request to an upstream and pass its answer on.
struct Dispatch
{
    RequestId request;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    std::string address;
    Tokens resumeFrom;       ///< Tokens the caller has already; the upstream goes on after them.
    bool mayRunTwice = true; ///< False: not one byte may be sent a second time.
    Instant notAfter;        ///< The slot's lease: past this it must not be sent any more.
};

/// Stop an attempt: close its connection and tell the upstream to cancel it.
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
};

/// Ask an engine for its load.
struct AskLoad
{
    UpstreamId engine;
    std::string address;
};

/// A ticket was put in force or refused; for the log.
struct TicketNoted
{
    TicketNumber number;
    bool isInForce = false;
    std::string detail;
};

/// The planned stop is complete: leave the process.
struct LeaveProcess
{
};

using Action = std::variant<Refuse, Dispatch, CancelAttempt, SendPeer, OrderEngine, AskLoad,
                            TicketNoted, LeaveProcess, AnswerHeld, AnswerNumbers>;

} // namespace azurewell
