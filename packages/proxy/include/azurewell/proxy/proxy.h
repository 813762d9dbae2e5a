#pragma once

#include "azurewell/gateway/gateway.h"
#include "azurewell/http/accept_queue.h"
#include "azurewell/http/caller_connection.h"
#include "azurewell/http/held_body.h"
#include "azurewell/http/http_call.h"
#include "azurewell/proxy/busy_answer.h"
#include "azurewell/proxy/connect_probes.h"
#include "azurewell/proxy/connection_limits.h"
#include "azurewell/proxy/gossip_socket.h"
#include "azurewell/proxy/proxy_metrics.h"
#include "azurewell/proxy/wire_format.h"

#include <QtCore/QTimer>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace azurewell {

/// The identity of a host and the addresses on which it listens.
struct ProxySettings
{
    gateway::Identity self;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;
    std::string chartsDirectory;
    std::uint64_t machineBytes = 0;   ///< Memory of the machine; 0: not known.
    std::uint32_t maxDescriptors = 0; ///< Of the process; 0: not stated.
};

/// The sockets of one host, which connect the gateway core to callers, upstreams and other hosts.
class Proxy
{
public:
    Proxy(ProxySettings settings, const WireFormat &format);

    /// Opens the sockets. Errors: SettingsInvalid, FileUnreadable, ChartInvalid.
    Result<void> start();

    /// Starts a graceful stop: accepts connections until the load balancer has stopped sending
    /// them, waits for open requests within the grace period, then quits the event loop.
    void stop();

    gateway::GatewayState &state()
    {
        return this->core;
    }
    HttpCalls &calls()
    {
        return this->httpCalls;
    }

    /// \a handler is called at each tick before the core, so that one timer serves both.
    void setTickHandler(std::function<void()> handler)
    {
        this->onTick = std::move(handler);
    }

    /// Executes the actions that the core has returned.
    void run(gateway::Actions &actions);

private:
    using SessionId = std::uint64_t;

    /// A request from its arrival until its final answer.
    struct OpenRequest
    {
        SessionId session = 0;
        std::string callerId; ///< The caller's request id, for the log.
        std::string path;
        gateway::ModelName model;
        Tokens promptTokens;
        std::uint32_t attempt = 0;
        std::set<Endpoint> sentTo; ///< Upstreams and hosts, in any attempt.
        UpstreamConnections::Exchange exchange = 0;
        bool isAtUpstream = false;                      ///< Or at another host.
        bool isAtPeer = false;                          ///< Forwarded to another host.
        std::optional<gateway::ForwardRefusal> refusal; ///< Of the other host.
        bool isHeldBack = false; ///< The answer is buffered, so that a retry can replace it.
        bool isHeadSent = false; ///< The head of the answer has been sent to the caller.
        bool isPaused = false;   ///< Reading from the upstream is paused, as the caller is slow.
        ReplyFacts facts;
        ResponseHead head;
        HeldBody body; ///< The buffered body while isHeldBack.
        UpstreamId upstream;
        Instant arrivedAt;
        Instant deadline;  ///< Of the answer.
        Span unreadWait{}; ///< From its connection to its reading, if the connection was queued.
        Instant sentAt;
        Instant firstByteAt; ///< First body bytes of a stream sent to the caller.
        Instant lastChunkAt; ///< Most recent body bytes of a stream received.
        Span longestPause{}; ///< Longest time between two chunks of a stream.
    };

    bool accept(UniqueFd descriptor);
    SessionId openCaller(UniqueFd descriptor);
    bool closeIdleCaller();
    void serveUnread();
    void readUnread(UnreadCaller caller, Instant now);
    void turnAway(UniqueFd connection, Instant now);
    void learnFrom(gateway::RequestNumber number, Instant now);
    void learnFromAnswer(const OpenRequest &request, Instant now);
    void learnFromLeaving(const OpenRequest &request);
    void learnUnreadWait(Span waited, bool hasLeft);
    void countLeftBeforeBegin();
    void logUnservedCallers(Instant now);
    void acceptPeer(UniqueFd descriptor);
    SessionId openSession(UniqueFd descriptor, bool isOfPeer);
    Result<gateway::RequestArrived> readArrival(SessionId id);
    void handleRequest(SessionId id);
    void refuseMalformed(SessionId id, const Error &error);
    void handleCallerDisconnect(SessionId id);
    void refuseForMemory(SessionId id);
    void endUnreadAnswer(SessionId id);
    void logForMemory(const CallerConnection &session, std::string_view event) const;
    void relieveMemory();
    bool freeLargest();
    void watchPausedCallers();
    void watchPausedUpstreams();
    void handleCallerDrained(SessionId id);

    bool hasCallerLeft(const OpenRequest &request, Instant now);
    void beginAttempt(OpenRequest &request, std::uint32_t attempt, bool isBuffered, Instant now);
    void send(gateway::RequestNumber number, OpenRequest &request, const Endpoint &to,
              const std::vector<HttpHeader> &headers, Instant now);
    ExchangeHandlers handlersFor(gateway::RequestNumber number, const OpenRequest &request);
    void dispatch(const gateway::Dispatch &dispatch);
    void forward(const gateway::Forward &toSend);
    void handleForwardHead(OpenRequest &request, const ResponseHead &head);
    void completeForward(gateway::RequestNumber number);
    void failForward(gateway::RequestNumber number, ExchangeFailure failure);
    void endForward(gateway::RequestNumber number, gateway::ForwardOutcome outcome);
    std::vector<HttpHeader> answerHeaders(const OpenRequest &request) const;
    std::vector<HttpHeader> refusalHeaders(SessionId session,
                                           const gateway::ForwardRefusal &refusal) const;
    void handleHead(gateway::RequestNumber request, const ResponseHead &head);
    void applyStatements(const UpstreamId &upstream, const gateway::UpstreamStatements &statements);
    void applyAnswerFacts(const OpenRequest &request);
    void handleBody(gateway::RequestNumber request, const std::string &body);
    void holdBody(gateway::RequestNumber request, const std::string &body);
    void endOversized(gateway::RequestNumber request);
    bool mayBeginAnswer(gateway::RequestNumber number, Instant now);
    void complete(gateway::RequestNumber request);
    void fail(gateway::RequestNumber request, ExchangeFailure failure);
    void endAttempt(gateway::RequestNumber request, gateway::AttemptOutcome outcome,
                    bool isCutOff = false);
    void deliver(gateway::RequestNumber number);
    void recordFirstByte(const OpenRequest &request, Instant now);
    void answerBuffered(OpenRequest &open);
    void recordAnswer(const OpenRequest &request);

    void refuse(const gateway::Refuse &refusal);
    void order(const gateway::OrderEngine &order);
    void requestReport(const gateway::QueryReport &ask);
    void probe(const gateway::ProbeUpstream &toProbe);
    void tick();
    void closeTimedOutCallers(Instant now);
    void endSession(SessionId id);
    void continueStop(Instant now);
    bool isAnyAnswerUnsent() const;
    void applyLimits();
    RequestLimits limitsOf(SessionId id) const;
    void acceptMonitoring(UniqueFd descriptor);
    void answerMonitoring(SessionId id);

    ProxySettings settings;
    const WireFormat &format;
    gateway::GatewayState core;
    UpstreamConnections connections;
    HttpCalls httpCalls;
    ConnectProbes probes;
    ProxyMetrics metrics;
    ConnectionLimits maxConnections;
    CallerMemory callerMemory; ///< Before the sessions, which are counted in it.
    std::unique_ptr<GossipSocket> gossip;
    std::unique_ptr<TcpAcceptor> callers;
    std::unique_ptr<TcpAcceptor> peers;
    std::unique_ptr<TcpAcceptor> readiness;
    std::unique_ptr<TcpAcceptor> metricsListener;
    std::map<SessionId, std::unique_ptr<CallerConnection>> sessions;
    std::set<SessionId> peerSessions; ///< Those of other hosts that forward requests.
    std::map<SessionId, std::unique_ptr<CallerConnection>> monitoringSessions;
    std::map<SessionId, gateway::RequestNumber> requestOf;
    std::unordered_map<gateway::RequestNumber, OpenRequest> open;
    std::set<SessionId> muchBehind;      ///< Those with much behind their open requests.
    std::vector<SessionId> leftSessions; ///< Whose callers have left.
    std::set<gateway::RequestNumber> pausedUpstreams; ///< Their answers aren't read from upstreams.
    AcceptQueue unread;                               ///< Callers' connections.
    BusyAnswer busyAnswer;                            ///< To callers that are turned away.
    std::uint32_t openedInPass = 0; ///< New connections that didn't wait in the queue.
    Span unreadWait{};              ///< Of the caller whose request is being read.
    Instant overloadedUntil;
    Instant nextCountsLogAt;
    Instant nextTimeoutsAt;
    std::uint64_t limitsVersion = 0;         ///< Configuration whose limits open connections have.
    std::uint64_t turnedAwaySinceLogged = 0; ///< Callers whose requests were not read.
    std::uint64_t leftSinceLogged = 0; ///< Callers that left before their requests were begun.
    std::size_t heldSinceSum = 0;      ///< Allocated for bodies since all held ones were added up.
    std::function<void()> onTick;
    QTimer ticker;
    QTimer sliceTimer; ///< Runs while callers wait unread.
    SessionId nextSession = 1;
    std::uint64_t nextRequest = 1;
};

} // namespace azurewell
