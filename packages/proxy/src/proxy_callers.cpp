#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/logging/log.h"
#include "content_digest.h"
#include "text.h"

#include <algorithm>

namespace azurewell {

using namespace gateway;

namespace {

/// Bytes that a forwarded request's head may be longer than that of the caller.
constexpr std::uint32_t maxInternalHeaderBytes = 4096;

/// Callers' timeouts are whole seconds.
constexpr Span timeoutsInterval = std::chrono::milliseconds(250);

/// What is left of the time that a caller \a allowed, if it stated any, after it has waited.
Span withoutWait(Span allowed, Span waited)
{
    constexpr Span least = std::chrono::milliseconds(1);
    return allowed > Span{} ? std::max(allowed - waited, least) : allowed;
}

} // namespace

Proxy::SessionId Proxy::openSession(UniqueFd descriptor, bool isOfPeer)
{
    const SessionId id = this->nextSession++;
    if (isOfPeer)
        this->peerSessions.insert(id);
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, id] {
        this->handleRequest(id);
    };
    handlers.onBadRequest = [this, id](const Error &error) {
        this->refuseMalformed(id, error);
    };
    handlers.onDisconnected = [this, id] {
        this->handleCallerDisconnect(id);
    };
    handlers.onDrained = [this, id] {
        this->handleCallerDrained(id);
    };
    handlers.onMuchBehind = [this, id](bool isMuch) {
        if (isMuch)
            this->muchBehind.insert(id);
        else
            this->muchBehind.erase(id);
    };
    handlers.onMemoryShort = [this] {
        this->relieveMemory();
    };
    std::unique_ptr<CallerConnection> &session = this->sessions[id];
    session = std::make_unique<CallerConnection>(std::move(descriptor), this->limitsOf(id),
                                                 std::move(handlers), monotonicNow());
    session->countIn(this->callerMemory);
    return id;
}

/// Limits of requests on the connection \a id. A host that forwards a request adds a header.
RequestLimits Proxy::limitsOf(SessionId id) const
{
    const CallerLimits &limits = this->core.configuration.limits;
    const std::uint32_t added = this->peerSessions.contains(id) ? maxInternalHeaderBytes : 0;
    return { limits.headBytes + added, limits.bodyBytes };
}

/// Brings the limits of a new configuration into force on the connections that are open.
void Proxy::applyLimits()
{
    if (std::exchange(this->limitsVersion, this->core.configuration.version)
        == this->core.configuration.version)
        return;
    for (const auto &[id, session] : this->sessions)
        session->setLimits(this->limitsOf(id));
    this->callerMemory.limit = callerMemoryLimit(this->settings.machineBytes,
                                                 this->core.configuration.limits.bodyBytes);
}

void Proxy::handleRequest(SessionId id)
{
    const Instant now = monotonicNow();
    CallerConnection &session = *this->sessions.at(id);
    if (!mayBegin(this->callerMemory, session.heldBytes())) {
        this->refuseForMemory(id);
        return;
    }
    Result<RequestArrived> facts = this->readArrival(id);
    if (!facts) {
        this->refuseMalformed(id, facts.error());
        return;
    }
    const RequestNumber number{ this->nextRequest++ };
    facts.value().request = number;
    facts.value().allowed = withoutWait(facts.value().allowed, this->unreadWait);
    facts.value().content = contentDigest(session.request().target, session.body());
    this->requestOf[id] = number;
    OpenRequest &request = this->open[number];
    request.session = id;
    request.callerId = facts.value().callerId;
    request.path = facts.value().path;
    request.model = facts.value().model;
    request.promptTokens = facts.value().promptTokens;
    request.arrivedAt = now;
    request.unreadWait = this->unreadWait;
    if (isStopping(this->core))
        session.close(false);
    Actions actions;
    handle(this->core, facts.value(), now, actions);
    this->learnFrom(number, now);
    this->run(actions);
}

void Proxy::refuseMalformed(SessionId id, const Error &error)
{
    ++this->metrics.badRequests;
    const int status = infoOf(error.code).httpStatus;
    writeLog(LogLevel::Warning, "request_unreadable",
             { { "reason", std::string(infoOf(error.code).name) }, { "detail", error.detail } });
    CallerConnection &session = *this->sessions.at(id);
    session.close(false);
    session.answer(status, reasonPhrase(status), this->refusalHeaders(id, { error.code, true, {} }),
                   refusalBody(error.code, true), monotonicNow());
}

void Proxy::handleCallerDisconnect(SessionId id)
{
    this->leftSessions.push_back(id);
    const auto request = this->requestOf.find(id);
    if (request == this->requestOf.end()) {
        if (this->sessions.at(id)->isReadingRequest())
            this->countLeftBeforeBegin();
        return;
    }
    const RequestNumber number = request->second;
    const OpenRequest &left = this->open.at(number);
    if (!left.isHeadSent)
        this->learnFromLeaving(left);
    Actions actions;
    handle(this->core, CallerDisconnected{ number, this->open.at(number).isAtUpstream },
           monotonicNow(), actions);
    this->run(actions);
    this->open.erase(number);
    this->requestOf.erase(id);
}

/// Nobody sees the end of a connection that isn't read from. So it is asked for, and more is read:
/// an end behind bytes that the caller's kernel still holds has not arrived here.
void Proxy::watchPausedCallers()
{
    std::size_t held = 0;
    std::vector<CallerConnection *> paused;
    for (const SessionId id : this->muchBehind) {
        CallerConnection &session = *this->sessions.at(id);
        held += std::max(session.bytesBehind(), maxPipelinedBytes) - maxPipelinedBytes;
        if (session.isReadingPaused())
            paused.push_back(&session);
    }
    for (CallerConnection *session : paused) {
        if (session->detectLeaving())
            continue;
        const bool isLong = session->bytesBehind() + pipelinedBytesStep > maxPipelinedBytesExtended;
        if (isLong || held + pipelinedBytesStep > maxPipelinedBytesOfHost) {
            ++this->metrics.pipelinedDropped;
            session->dropBehind();
            continue;
        }
        held += pipelinedBytesStep;
        session->readMoreBehind(pipelinedBytesStep);
    }
}

/// A caller that reads slowly stops the reading from its upstream, too. What is left of an answer
/// that was reset is read, so that the caller sees the break; it may also be whole.
void Proxy::watchPausedUpstreams()
{
    for (const RequestNumber number : std::exchange(this->pausedUpstreams, {})) {
        const auto request = this->open.find(number);
        if (request == this->open.end() || !request->second.isPaused)
            continue;
        this->pausedUpstreams.insert(number);
        this->connections.readOnIfReset(request->second.exchange);
    }
}

void Proxy::handleCallerDrained(SessionId id)
{
    const auto request = this->requestOf.find(id);
    if (request == this->requestOf.end())
        return;
    OpenRequest &waiting = this->open.at(request->second);
    if (std::exchange(waiting.isPaused, false))
        this->connections.pauseReading(waiting.exchange, false);
}

/// Ends sessions whose callers have left, and from time to time those that have timed out.
void Proxy::closeTimedOutCallers(Instant now)
{
    for (const SessionId id : std::exchange(this->leftSessions, {}))
        this->endSession(id);
    if (now < this->nextTimeoutsAt)
        return;
    this->nextTimeoutsAt = now + timeoutsInterval;
    const CallerLimits &limits = this->core.configuration.limits;
    const CallerTimeouts timeouts{ limits.headTimeout, limits.idleTimeout };
    std::vector<SessionId> over;
    for (const auto &[id, session] : this->sessions) {
        if (session->isFinished(now) || session->isTimedOut(timeouts, now))
            over.push_back(id);
    }
    for (const SessionId id : over)
        this->endSession(id);
    std::erase_if(this->monitoringSessions, [&](const auto &entry) {
        return entry.second->isFinished(now) || entry.second->isTimedOut(timeouts, now);
    });
}

void Proxy::endSession(SessionId id)
{
    this->muchBehind.erase(id);
    this->peerSessions.erase(id);
    this->sessions.erase(id);
}

} // namespace azurewell
