#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"
#include "text.h"

#include <algorithm>
#include <cstdint>

namespace azurewell {

using namespace gateway;

namespace {

/// A connection that could free less isn't ended to make room.
constexpr std::size_t leastFreedBytes = 8ULL * 1024;

/// What ending or refusing \a session would free.
std::size_t freeableBytes(const CallerConnection &session)
{
    if (session.isReadingRequest())
        return session.heldBytes();
    return std::max(session.unsentBytes(), session.bytesBehind());
}

} // namespace

/// Refuses the request of \a id, whole or not, which has not begun, and closes the connection.
void Proxy::refuseForMemory(SessionId id)
{
    CallerConnection &session = *this->sessions.at(id);
    ++this->metrics.refusedForMemory;
    ++this->core.counters.refusals[ResultCode::HostOverloaded];
    this->logForMemory(session, "request_refused_for_memory");
    const Instant now = monotonicNow();
    const ForwardRefusal refusal{ ResultCode::HostOverloaded, true, retryAfter(this->unread, now) };
    const int status = infoOf(refusal.code).httpStatus;
    session.answerAndClose(status, reasonPhrase(status), this->refusalHeaders(id, refusal),
                           refusalBody(refusal.code, true), now);
}

/// Resets the connection of \a id, whose caller doesn't read its answer.
void Proxy::endUnreadAnswer(SessionId id)
{
    ++this->metrics.unreadAnswersEnded;
    this->logForMemory(*this->sessions.at(id), "unread_answer_ended");
    this->handleCallerDisconnect(id);
    this->sessions.at(id)->abort();
}

void Proxy::logForMemory(const CallerConnection &session, std::string_view event) const
{
    std::string callerId;
    if (session.isHeadRead()) {
        const Result<RequestArrived> facts = this->format.readRequest(session.request());
        callerId = facts ? facts.value().callerId : std::string();
    }
    writeLog(LogLevel::Warning, std::string(event),
             { { "request", callerId },
               { "bytes", std::to_string(session.heldBytes()) },
               { "held", std::to_string(this->callerMemory.held) },
               { "begun", std::to_string(this->callerMemory.begun) },
               { "limit", std::to_string(this->callerMemory.limit) } });
}

/// Frees the memory of those that hold most without being served, until no more is held for all
/// callers than may be.
void Proxy::relieveMemory()
{
    std::size_t before = SIZE_MAX;
    // A connection that is reading just now drops what is behind its request only afterwards.
    while (this->callerMemory.held > this->callerMemory.limit && this->callerMemory.held < before) {
        before = this->callerMemory.held;
        if (!this->freeLargest())
            return;
    }
}

/// Whether a connection was found that is worth ending, and has been ended or refused.
bool Proxy::freeLargest()
{
    const auto isSmaller = [](const auto &a, const auto &b) {
        return freeableBytes(*a.second) < freeableBytes(*b.second);
    };
    const auto largest = std::max_element(this->sessions.begin(), this->sessions.end(), isSmaller);
    if (largest == this->sessions.end() || freeableBytes(*largest->second) < leastFreedBytes)
        return false;
    CallerConnection &session = *largest->second;
    if (session.isReadingRequest()) {
        this->refuseForMemory(largest->first);
    } else if (session.unsentBytes() >= session.bytesBehind()) {
        this->endUnreadAnswer(largest->first);
    } else {
        ++this->metrics.pipelinedDropped;
        session.dropBehind();
    }
    return true;
}

} // namespace azurewell
