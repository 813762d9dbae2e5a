#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"
#include "text.h"

#include <utility>

namespace azurewell {

using namespace gateway;

namespace {

/// New connections that are opened in a pass of the event loop without waiting in the queue.
constexpr std::uint32_t maxOpenedInPass = 8;

/// Of a pass, for callers that wait. What is open already gets the rest.
constexpr Span sliceLength = std::chrono::milliseconds(100);
constexpr std::uint32_t maxTakenInSlice = 32;

/// Time after the last caller was turned away for which other hosts are told not to forward here.
constexpr Span overloadMemory = std::chrono::seconds(1);

constexpr Span countsLogInterval = std::chrono::seconds(1);

} // namespace

/// Whether the connection has been opened at once, which costs more than to let it wait.
bool Proxy::accept(UniqueFd descriptor)
{
    const Instant now = monotonicNow();
    const std::size_t connected = this->sessions.size() + this->unread.waiting.size();
    if (connected >= this->maxConnections.callers && !this->closeIdleCaller()) {
        this->turnAway(std::move(descriptor), now);
        return false;
    }
    if (this->unread.waiting.empty() && this->openedInPass < maxOpenedInPass) {
        ++this->openedInPass;
        this->openCaller(std::move(descriptor));
        return true;
    }
    if (!hasRoom(this->unread, now)) {
        this->turnAway(std::move(descriptor), now);
        return false;
    }
    this->unread.waiting.push_back({ std::move(descriptor), now });
    if (!this->sliceTimer.isActive())
        this->sliceTimer.start(0);
    return false;
}

/// Closes the connection of a caller that waits for no answer: of those that have never had one,
/// else of all, the one that has been so for longest. False if there is none.
bool Proxy::closeIdleCaller()
{
    const auto rank = [](const CallerConnection &session) {
        return std::make_pair(session.hasAnswered(), session.waitingSince());
    };
    auto first = this->sessions.end();
    for (auto entry = this->sessions.begin(); entry != this->sessions.end(); ++entry) {
        if (entry->second->isAnswering() || entry->second->unsentBytes() > 0
            || this->peerSessions.contains(entry->first))
            continue;
        if (first == this->sessions.end() || rank(*entry->second) < rank(*first->second))
            first = entry;
    }
    if (first == this->sessions.end())
        return false;
    ++this->metrics.idleCallersClosed;
    this->endSession(first->first);
    return true;
}

Proxy::SessionId Proxy::openCaller(UniqueFd descriptor)
{
    ++this->metrics.callersAccepted;
    return this->openSession(std::move(descriptor), false);
}

/// Reads requests of callers that wait, the oldest first, for one slice of time.
void Proxy::serveUnread()
{
    const Instant until = monotonicNow() + sliceLength;
    const std::uint64_t begunBefore = this->nextRequest;
    std::uint32_t taken = 0;
    Instant now = until - sliceLength;
    while (!this->unread.waiting.empty() && taken < maxTakenInSlice && now < until) {
        UnreadCaller caller = std::move(this->unread.waiting.front());
        this->unread.waiting.pop_front();
        ++taken;
        if (isOverdue(this->unread, caller, now))
            this->turnAway(std::move(caller.connection), now);
        else
            this->readUnread(std::move(caller), now);
        now = monotonicNow();
    }
    endSlice(this->unread, static_cast<std::uint32_t>(this->nextRequest - begunBefore), now);
    for (std::size_t excess = countExcess(this->unread, now); excess > 0; --excess) {
        UnreadCaller newest = std::move(this->unread.waiting.back());
        this->unread.waiting.pop_back();
        this->turnAway(std::move(newest.connection), now);
    }
    if (this->unread.waiting.empty())
        this->sliceTimer.stop();
}

void Proxy::readUnread(UnreadCaller caller, Instant now)
{
    this->unreadWait = now - caller.acceptedAt;
    this->sessions.at(this->openCaller(std::move(caller.connection)))->readNow();
    this->unreadWait = {};
}

/// Ends a connection without beginning its request, so that the caller can send it to another host.
void Proxy::turnAway(UniqueFd connection, Instant now)
{
    this->overloadedUntil = now + overloadMemory;
    ++this->turnedAwaySinceLogged;
    if (takeTelling(this->unread)
        && answerUnread(connection, currentBytes(this->busyAnswer, this->unread, now)))
        ++this->core.counters.refusals[ResultCode::HostOverloaded];
    else
        ++this->metrics.connectionsRejected;
}

/// Learns how long callers wait from a request that has just begun.
void Proxy::learnFrom(RequestNumber number, Instant now)
{
    const auto record = this->core.requests.find(number);
    if (record == this->core.requests.end() || record->second.arrivedRequest.forwarded)
        return;
    this->open.at(number).deadline = record->second.deadline;
    learnDeadline(this->unread, record->second.wantedBy - now,
                  record->second.deadline - now + this->unreadWait);
    this->learnUnreadWait(this->unreadWait, false);
}

/// Learns from a caller whose answer begins.
void Proxy::learnFromAnswer(const OpenRequest &request, Instant now)
{
    if (request.deadline.micros != 0)
        learnSpare(this->unread, request.deadline - now + request.unreadWait);
}

/// Learns from a caller that has left before its request was answered, if that was due to its wait
/// in the queue rather than to the answer.
void Proxy::learnFromLeaving(const OpenRequest &request)
{
    const Span sinceRead = monotonicNow() - request.arrivedAt;
    if (request.unreadWait > sinceRead)
        learnSpare(this->unread, request.unreadWait * 3 / 4);
}

/// Learns from a caller whose request has been read, or that has left before it was.
void Proxy::learnUnreadWait(Span waited, bool hasLeft)
{
    if (waited > Span{})
        learnWait(this->unread, waited, hasLeft, monotonicNow());
}

void Proxy::countLeftBeforeBegin()
{
    ++this->core.counters.callersLeft[CallerStage::NotBegun];
    ++this->leftSinceLogged;
    this->learnUnreadWait(this->unreadWait, true);
}

/// One line for all of a second, since a host that reads late has many of them.
void Proxy::logUnservedCallers(Instant now)
{
    if (now < this->nextCountsLogAt)
        return;
    this->nextCountsLogAt = now + countsLogInterval;
    const std::uint64_t left = std::exchange(this->leftSinceLogged, 0);
    if (left > 0)
        writeLog(LogLevel::Info, "callers_left_not_begun", { { "count", std::to_string(left) } });
    const std::uint64_t turnedAway = std::exchange(this->turnedAwaySinceLogged, 0);
    if (turnedAway > 0)
        writeLog(LogLevel::Warning, "callers_turned_away",
                 { { "count", std::to_string(turnedAway) },
                   { "waiting", std::to_string(this->unread.waiting.size()) },
                   { "expected_wait_ms", inMillis(expectedWait(this->unread, now)) },
                   { "usual_wait_ms", inMillis(this->unread.usualWait) } });
}

} // namespace azurewell
