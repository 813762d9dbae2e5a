#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Hosts that are tried for one request: each that fails costs the caller time.
constexpr std::size_t maxPeers = 3;

/// When a path is lost, requests under way are given up for a try at another host only if the
/// service has at least this many upstreams: one or two that are silent may still answer.
constexpr std::size_t minUpstreamsToRepeat = 3;

void refuseUnreachable(GatewayState &state, RequestRecord &record, Actions &actions)
{
    refuseAndForget(state, record, ResultCode::UpstreamsUnreachable, shortRetryAfter, actions);
}

void logForward(const RequestRecord &record, Actions &actions)
{
    actions.logEvents.push_back({ "request_forwarded",
                                  { { "request", record.arrivedRequest.callerId },
                                    { "digest", inHex(record.digest) },
                                    { "service", record.service.value },
                                    { "host", record.peer.value },
                                    { "attempt", std::to_string(record.attempt) } } });
}

/// Whether the request of \a record may be sent again after its current attempt, which has no
/// answer yet and may run, is given up.
bool mayRepeatElsewhere(const GatewayState &state, const RequestRecord &record)
{
    return record.phase == RequestPhase::AtUpstream && !record.hasAnswerStarted
            && !record.arrivedRequest.forwarded && mayRunAgain(record, record.possibleRuns + 1)
            && !isSuspected(state.quarantine, record.digest);
}

/// Requests of \a service that wait for an answer from an upstream and may be repeated.
std::vector<RequestNumber> repeatableRequests(const GatewayState &state, const ServiceId &service)
{
    std::vector<RequestNumber> requests;
    for (const auto &[number, record] : state.requests) {
        if (record.service == service && mayRepeatElsewhere(state, record))
            requests.push_back(number);
    }
    std::sort(requests.begin(), requests.end());
    return requests;
}

void repeatAtPeers(GatewayState &state, const ServiceId &service, Instant now, Actions &actions)
{
    for (const RequestNumber &number : repeatableRequests(state, service)) {
        if (!takeRetry(retryBudgetOf(state, service)))
            return;
        RequestRecord &record = state.requests.at(number);
        ++record.possibleRuns;
        ++state.counters.retries[ResultCode::UpstreamsUnreachable];
        record.isEarlyAttempt = false;
        actions.cancels.push_back({ number });
        detachFromUpstream(state, record);
        place(state, record, now, actions);
    }
}

void closeIdleConnections(const GatewayState &state, const ServiceId &service, Actions &actions)
{
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.service == service)
            actions.closeIdle.push_back(upstream.listed.address);
    }
}

/// The failures of a lost path say nothing about the upstreams.
void forgetFailures(GatewayState &state, const ServiceId &service)
{
    for (auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.service != service)
            continue;
        upstream.failuresInARow = 0;
        upstream.failureRate = 0;
        upstream.avoidedUntil = Instant{};
    }
}

std::size_t countUsable(const GatewayState &state, const ServiceId &service, Instant now)
{
    return static_cast<std::size_t>(
            std::count_if(state.upstreams.begin(), state.upstreams.end(), [&](const auto &entry) {
                return entry.second.listed.service == service && isUsable(entry.second, now);
            }));
}

/// Sends heartbeats to all hosts at once, so that they stop or resume choosing this host as a peer
/// or coordinator.
void announceReach(GatewayState &state, Instant now)
{
    ++state.members.generation;
    for (auto &[id, member] : state.members.others)
        setHeartbeat(state.members, member, now);
}

/// This host has seen no orders of others while its path was lost, and the host that has ordered
/// meanwhile may not know yet that the path has changed.
void restartOrderRights(GatewayState &state, const ServiceId &service, Instant now)
{
    for (auto &[id, engine] : state.engines) {
        const auto upstream = state.upstreams.find(id);
        if (upstream == state.upstreams.end() || upstream->second.listed.service != service)
            continue;
        endOrdering(engine.rights, OrderingEnd::PathChanged);
        engine.rights.unchangedSince = now;
    }
}

/// Places a request again whose forward has failed at \a peer, which is not asked again.
void placeAfterForward(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    record.excludedPeers.insert(record.peer);
    if (now >= record.deadline) {
        refuseUnreachable(state, record, actions);
        return;
    }
    place(state, record, now, actions);
}

void handleForwardRefusal(GatewayState &state, RequestRecord &record, const ForwardRefusal &refusal,
                          Instant now, Actions &actions)
{
    record.possibleRuns += refusal.isNotRun ? 0 : 1;
    if (refusal.isNotRun && isRefusalOfHost(refusal.code)) {
        ++state.counters.retries[refusal.code];
        placeAfterForward(state, record, now, actions);
        return;
    }
    refuseAndForget(state, record, refusal.code, refusal.retryAfter, actions);
}

void handleForwardFailure(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    ++record.possibleRuns;
    const bool mayRepeat = !record.hasAnswerStarted && now < record.deadline
            && mayRunAgain(record, record.possibleRuns)
            && takeRetry(retryBudgetOf(state, record.service));
    if (!mayRepeat) {
        refuseAndForget(state, record, ResultCode::OutcomeUnknown, shortRetryAfter, actions);
        return;
    }
    ++state.counters.retries[ResultCode::OutcomeUnknown];
    placeAfterForward(state, record, now, actions);
}

} // namespace

void forwardOrRefuse(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const bool isLastHost = record.arrivedRequest.forwarded
            || record.excludedPeers.size() >= maxPeers;
    const Member *peer = isLastHost
            ? nullptr
            : choosePeer(state.members, record.service, record.excludedPeers,
                         record.arrivedRequest.request.value, now);
    if (!peer) {
        refuseUnreachable(state, record, actions);
        return;
    }
    state.waiting.erase(record.arrivedRequest.request);
    record.phase = RequestPhase::AtPeer;
    record.peer = peer->id;
    record.sentAt = now;
    record.hasAnswerStarted = false;
    returnAdmissions(state, record);
    ++record.attempt;
    ++state.counters.forwarded;
    logForward(record, actions);
    const OriginSearch &search = record.originSearch;
    const bool isVersionKnown = search.step == OriginStep::Known;
    actions.forwards.push_back({ record.arrivedRequest.request,
                                 record.attempt,
                                 peer->address,
                                 { state.self.id, record.customer, record.service,
                                   record.deadline - now, record.possibleRuns,
                                   isVersionKnown ? std::optional(search.version) : std::nullopt },
                                 record.repeat != RepeatPolicy::Stream });
}

void handle(GatewayState &state, const ForwardEnded &event, Instant now, Actions &actions)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end() || found->second.attempt != event.attempt)
        return;
    RequestRecord &record = found->second;
    detachFromUpstream(state, record);
    record.hasAnswerStarted = record.hasAnswerStarted || event.hasAnswerStarted;
    switch (event.outcome) {
    case ForwardOutcome::Answered:
        ++state.counters.answered;
        eraseRequest(state, event.request);
        return;
    case ForwardOutcome::NotSent:
        ++state.counters.retries[ResultCode::UpstreamsUnreachable];
        placeAfterForward(state, record, now, actions);
        return;
    case ForwardOutcome::Refused:
        handleForwardRefusal(state, record, event.refusal, now, actions);
        return;
    case ForwardOutcome::Failed:
        handleForwardFailure(state, record, now, actions);
        return;
    }
}

void handlePathChange(GatewayState &state, const ServiceId &service, PathChange change, Instant now,
                      Actions &actions)
{
    const bool isLost = change == PathChange::Lost;
    restartOrderRights(state, service, now);
    actions.logEvents.push_back({ isLost ? "upstreams_unreachable" : "upstreams_reachable_again",
                                  { { "service", service.value } } });
    if (!isLost) {
        state.members.unreachableServices.erase(service);
        forgetFailures(state, service);
        announceReach(state, now);
        return;
    }
    state.members.unreachableServices.insert(service);
    announceReach(state, now);
    closeIdleConnections(state, service, actions);
    if (countUsable(state, service, now) >= minUpstreamsToRepeat)
        repeatAtPeers(state, service, now, actions);
}

} // namespace azurewell::gateway
