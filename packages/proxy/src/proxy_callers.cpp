#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/logging/log.h"
#include "content_digest.h"
#include "text.h"

#include <algorithm>

namespace azurewell {

using namespace gateway;

/// Whether the connection is kept. Beyond what this host has processor time for, it is closed with
/// its request unread, so that the caller can send the request to another host.
bool Proxy::accept(UniqueFd descriptor)
{
    if (isLimited(this->acceptLimit) && hasPeerLeft(descriptor)) {
        this->countLeftBeforeBegin();
        return false;
    }
    if (!takeAccept(this->acceptLimit)) {
        ++this->metrics.connectionsRejected;
        ++this->rejectedSinceLogged;
        return false;
    }
    ++this->metrics.callersAccepted;
    const CallerLimits &limits = this->core.configuration.limits;
    this->openSession(std::move(descriptor), { limits.headBytes, limits.bodyBytes });
    return true;
}

Proxy::SessionId Proxy::openSession(UniqueFd descriptor, const RequestLimits &limits)
{
    const SessionId id = this->nextSession++;
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
    this->sessions[id] = std::make_unique<CallerConnection>(std::move(descriptor), limits,
                                                            std::move(handlers), monotonicNow());
    return id;
}

void Proxy::handleRequest(SessionId id)
{
    const Instant now = monotonicNow();
    CallerConnection &session = *this->sessions.at(id);
    Result<RequestArrived> facts = this->readArrival(id);
    if (!facts) {
        this->refuseMalformed(id, facts.error());
        return;
    }
    const RequestNumber number{ this->nextRequest++ };
    facts.value().request = number;
    facts.value().content = contentDigest(session.request().target, session.body());
    this->requestOf[id] = number;
    OpenRequest &request = this->open[number];
    request.session = id;
    request.callerId = facts.value().callerId;
    request.path = facts.value().path;
    request.model = facts.value().model;
    request.promptTokens = facts.value().promptTokens;
    request.arrivedAt = now;
    if (isStopping(this->core))
        session.close(false);
    Actions actions;
    handle(this->core, facts.value(), now, actions);
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
    const auto request = this->requestOf.find(id);
    if (request == this->requestOf.end()) {
        if (this->sessions.at(id)->isReadingRequest())
            this->countLeftBeforeBegin();
        return;
    }
    const RequestNumber number = request->second;
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
    for (const auto &[id, session] : this->sessions) {
        held += std::max(session->bytesBehind(), maxPipelinedBytes) - maxPipelinedBytes;
        if (session->isReadingPaused())
            paused.push_back(session.get());
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
    std::vector<UpstreamConnections::Exchange> paused;
    for (const auto &[number, request] : this->open) {
        if (request.isPaused)
            paused.push_back(request.exchange);
    }
    for (const UpstreamConnections::Exchange exchange : paused)
        this->connections.readOnIfReset(exchange);
}

void Proxy::countLeftBeforeBegin()
{
    ++this->core.counters.callersLeft[CallerStage::NotBegun];
    ++this->leftSinceLogged;
}

/// One line for all of a tick, since a host that reads late has many of them.
void Proxy::logUnservedCallers()
{
    const std::uint64_t left = std::exchange(this->leftSinceLogged, 0);
    if (left > 0)
        writeLog(LogLevel::Info, "callers_left_not_begun", { { "count", std::to_string(left) } });
    const std::uint64_t rejected = std::exchange(this->rejectedSinceLogged, 0);
    if (rejected > 0)
        writeLog(LogLevel::Warning, "connections_closed_unread",
                 { { "count", std::to_string(rejected) },
                   { "max_in_pass", std::to_string(this->acceptLimit.maxInPass) } });
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

void Proxy::closeTimedOutCallers(Instant now)
{
    const CallerLimits &limits = this->core.configuration.limits;
    const CallerTimeouts timeouts{ limits.headTimeout, limits.idleTimeout };
    std::erase_if(this->sessions, [&](const auto &entry) {
        const bool isOver = entry.second->isFinished(now)
                || entry.second->isTimedOut(timeouts, now);
        if (isOver)
            this->peerSessions.erase(entry.first);
        return isOver;
    });
    std::erase_if(this->monitoringSessions, [&](const auto &entry) {
        return entry.second->isFinished(now) || entry.second->isTimedOut(timeouts, now);
    });
}

} // namespace azurewell
