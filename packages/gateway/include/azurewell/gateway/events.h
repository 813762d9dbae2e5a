#pragma once

#include "azurewell/gateway/configuration.h"
#include "azurewell/gateway/forwarding.h"
#include "azurewell/gateway/gossip.h"
#include "azurewell/gateway/message_kind.h"
#include "azurewell/gateway/upstreams.h"
#include "azurewell/units/priority.h"
#include "azurewell/units/result_code.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell::gateway {

/// Number of a caller's request on this host, counted from the start of the process.
using RequestNumber = StrongId<struct RequestNumberTag, std::uint64_t>;

/// What a caller states about the stream that it takes up again.
struct StreamResumption
{
    AttemptId begunBy; ///< The attempt that brought the stream's first event; empty: not stated.
    EventId lastEvent; ///< The last event that the caller has; empty: not stated.
};

/// A caller's request has been read completely.
struct RequestArrived
{
    RequestNumber request;
    std::string callerId; ///< The caller's own name for the request; for the log.
    std::string host;
    std::string path;
    ContentDigest content;
    std::optional<KeyHash> key;
    ModelName model; ///< Empty if the request names no model.
    Tokens promptTokens;
    /// Of the prompt, in order, without the last part, which is this request's own.
    std::vector<PromptPartId> promptParts;
    bool arePartsUnreadable = false;   ///< The request states parts in an unknown form.
    std::optional<Tokens> totalTokens; ///< Prompt tokens plus the maximum of generated tokens;
                                       ///< empty if not stated.
    Span allowed{};                    ///< Time that the caller is willing to wait; 0: not stated.
    std::optional<ForwardedRequest> forwarded;    ///< Set if another host sent the request.
    std::optional<StreamResumption> resumption{}; ///< Set if the caller takes up a stream again.
};

/// The caller closed its connection.
struct CallerDisconnected
{
    RequestNumber request;
    bool isSent = true; ///< False: the dispatch or forward that was last returned was not sent.
};

/// Outcome of one attempt at an upstream.
enum class AttemptOutcome : std::uint8_t {
    Done,        ///< The complete answer was forwarded.
    NotSent,     ///< No byte reached the upstream.
    NotRun,      ///< The upstream states that it did not run the request.
    NotThere,    ///< Not run: the model, adapter or version is missing, or another upstream has the
                 ///< address.
    Failed,      ///< The request may have run, and there was no usable answer.
    FaultStated, ///< A complete answer was forwarded that states a fault of the upstream.
};

struct AttemptEnded
{
    RequestNumber request;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Done;
    bool hasAnswerStarted = false; ///< A part of the answer was sent to the caller.
    bool isCutOff = false;         ///< The connection ended before the answer was complete.
    bool isEndShown = true;        ///< The answer showed its end: a cut would have been detected.
};

/// How the forward of a request to another host ended.
enum class ForwardOutcome : std::uint8_t {
    Answered, ///< The complete answer was sent to the caller.
    NotSent,  ///< No byte reached the other host.
    Refused,
    Failed, ///< The request may have run, and there was no usable answer.
};

struct ForwardEnded
{
    RequestNumber request;
    std::uint32_t attempt = 0;
    ForwardOutcome outcome = ForwardOutcome::Answered;
    ForwardRefusal refusal;        ///< Of ForwardOutcome::Refused.
    bool hasAnswerStarted = false; ///< A part of the answer was sent to the caller.
};

/// The first byte of an answer's body was received.
struct AnswerBegan
{
    RequestNumber request;
    std::uint32_t attempt = 0;
};

/// An answer stated the load of its upstream.
struct LoadStated
{
    UpstreamId upstream;
    StatedLoad load;
};

/// An answer of an upstream, with the rate limit that it states or without one.
struct LimitStated
{
    UpstreamId upstream;
    double perSecond = 0; ///< Limit over all hosts together; 0: none stated.
    Instant sentAt;       ///< When the answered call was sent.
    bool isReport = false;
};

/// What an upstream says of itself in an answer, apart from its load.
struct UpstreamStatements
{
    double limitPerSecond = 0; ///< Requests from all hosts together; 0: none stated.
    double maxRejections = 0;  ///< It crashes if it rejects more in a second; 0: not stated.
    bool isLeaving = false;
    Span pause{};             ///< Time for which it wants no request from this host; 0: not stated.
    bool isMalformed = false; ///< A statement could not be read and was ignored.
};

/// An answer of an upstream stated that it leaves.
struct LeavingStated
{
    UpstreamId upstream;
};

/// An upstream rejected a call and asked for a pause.
struct PauseStated
{
    UpstreamId upstream;
    Span pause{};
};

/// An engine answered a report query, or the query failed.
struct ReportRead
{
    UpstreamId engine;
    Instant queriedAt;
    std::optional<EngineState> state; ///< Empty: no usable answer.
};

/// How an engine answered an order.
enum class OrderOutcome : std::uint8_t {
    Taken,       ///< Accepted; in progress.
    AlreadyDone, ///< There was nothing to do.
    Conflict,    ///< Not carried out: another order is in progress or was accepted meanwhile.
    OldFencing,  ///< Not carried out: the engine has seen a higher fencing number.
    Refused,     ///< Not carried out for another reason.
    Unknown,     ///< No answer; the order may have been accepted.
};

std::string_view nameOf(OrderOutcome outcome);

/// Whether the engine stated that it does not carry out the order.
bool isRefusal(OrderOutcome outcome);

struct OrderEnded
{
    UpstreamId engine;
    ModelName model;
    bool isLoad = true;
    std::uint64_t version = 0; ///< Version to load; 0: the newest.
    Instant sentAt;
    OrderOutcome outcome = OrderOutcome::Unknown;
};

/// A probe has opened its connection, or has failed to do so within probeTimeout.
struct ProbeEnded
{
    ServiceId service;
    std::uint64_t round = 0;
    UpstreamId upstream;
    bool isOpen = false;
};

/// Send a refusal to a caller.
struct Refuse
{
    RequestNumber request;
    ResultCode code = ResultCode::InternalError;
    bool isNotRun = true; ///< The request has not run and never will.
    Span retryAfter{};    ///< When the caller should retry; 0: not stated.
    RequestDigest digest; ///< Digest of the request; for the log.
};

/// Send a request to an upstream and forward its answer.
struct Dispatch
{
    RequestNumber request;
    std::uint32_t attempt = 0;
    UpstreamId upstream;
    Endpoint address;
    CustomerId customer;              ///< Empty on a public route.
    std::uint64_t adapterVersion = 0; ///< Required version of the adapter; 0: any.
    Span allowed{};
    /// Buffer the whole answer before forwarding it, so that a broken one can be replaced.
    bool isBuffered = false;
    std::optional<Priority> priority{}; ///< Of a request to an engine; empty: none is stated.
};

/// Forward a request to another host, and the answer to the caller.
struct Forward
{
    RequestNumber request;
    std::uint32_t attempt = 0;
    Endpoint address;
    ForwardedRequest forwarded;
    /// Buffer the whole answer before forwarding it, so that a broken one can be replaced.
    bool isBuffered = false;
};

/// Cancel the current attempt of a request.
struct CancelAttempt
{
    RequestNumber request;
};

/// Send a load or unload order to an engine.
struct OrderEngine
{
    UpstreamId engine;
    Endpoint address;
    bool isLoad = true;
    ModelName model;
    std::uint64_t version = 0; ///< 0: the newest.
    /// The engine refuses the order if it has accepted another number of orders; 0 may not be
    /// checked.
    std::uint64_t expectedOrders = 0;
    FencingNumber fencing;
};

/// Query an engine for its report.
struct QueryReport
{
    UpstreamId engine;
    Endpoint address;
};

/// Open a connection to an upstream and close it without sending anything.
struct ProbeUpstream
{
    ServiceId service;
    std::uint64_t round = 0;
    UpstreamId upstream;
    Endpoint address;
};

struct SendGossip
{
    Endpoint to;
    std::shared_ptr<const Gossip> message; ///< Shared by all receivers and encoded only once.
    MessageKind kind = MessageKind::Heartbeat;
    bool isToOtherZone = false;
};

/// A log line that lets an operator reconstruct a decision.
struct LogEvent
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Actions that the core requests from its shell.
struct Actions
{
    std::vector<Refuse> refusals;
    std::vector<Dispatch> dispatches;
    std::vector<Forward> forwards;
    std::vector<CancelAttempt> cancels;
    std::vector<OrderEngine> orders;
    std::vector<QueryReport> reports;
    std::vector<ProbeUpstream> probes;
    std::vector<Endpoint> closeIdle; ///< Close the idle connections to these upstreams.
    std::vector<SendGossip> gossip;
    std::vector<LogEvent> logEvents;
};

} // namespace azurewell::gateway
