#include "internal.h"

#include "azurewell/gateway/crash_quarantine.h"
#include "azurewell/gateway/request_digest.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Minimum Retry-After, in which another copy of the request is likely to end at its upstream.
constexpr Span minRetryAfter = std::chrono::seconds(1);

/// Refuses all copies of a quarantined request, other than \a except, whose answer has not begun.
/// Copies at an upstream are cancelled there.
void refuseCopies(GatewayState &state, const RequestDigest &digest, RequestNumber except,
                  Instant now, Actions &actions)
{
    std::vector<RequestNumber> copies;
    for (const auto &[number, record] : state.requests) {
        if (record.digest == digest && number != except && !record.hasAnswerStarted)
            copies.push_back(number);
    }
    for (const RequestNumber number : copies) {
        RequestRecord &record = state.requests.at(number);
        if (record.phase != RequestPhase::Waiting) {
            actions.cancels.push_back({ number });
            ++record.possibleRuns;
        }
        refuseQuarantined(state, record, now, actions);
    }
}

void handleSuspicion(GatewayState &state, const CrashSuspicion &suspicion, RequestNumber except,
                     Instant now, Actions &actions)
{
    if (!recordSuspicion(state.quarantine, suspicion, now))
        return;
    actions.logEvents.push_back({ "request_quarantined",
                                  { { "digest", inHex(suspicion.digest) },
                                    { "last_upstream", suspicion.incarnation.upstream.value } } });
    refuseCopies(state, suspicion.digest, except, now, actions);
}

/// Whether this host knows that the upstream was still running after \a suspicion.
bool isRefuted(const GatewayState &state, const CrashSuspicion &suspicion)
{
    const auto found = state.upstreams.find(suspicion.incarnation.upstream);
    return found != state.upstreams.end()
            && found->second.reportedStart == suspicion.incarnation.start
            && found->second.reportedAt > suspicion.at;
}

} // namespace

void recordConnectionLost(GatewayState &state, const RequestRecord &record, Instant now,
                          Actions &actions)
{
    const auto found = state.upstreams.find(record.upstream);
    // An upstream that is being removed is expected to close its connections.
    if (found == state.upstreams.end() || found->second.usableUntil != never
        || found->second.terminatedAt != never || isStatedLeaving(found->second))
        return;
    const CrashSuspicion suspicion{ record.digest, incarnationOf(found->second), now };
    handleSuspicion(state, suspicion, record.arrivedRequest.request, now, actions);
    queueSuspicion(state.quarantine, suspicion, now);
}

void handleSuspicions(GatewayState &state, const std::vector<CrashSuspicion> &suspicions,
                      Instant now, Actions &actions)
{
    for (const CrashSuspicion &suspicion : suspicions) {
        if (!isRefuted(state, suspicion))
            handleSuspicion(state, suspicion, {}, now, actions);
    }
}

void recordStart(GatewayState &state, Upstream &upstream, std::int64_t start, Instant sentAt)
{
    if (start < upstream.reportedStart
        || (start == upstream.reportedStart && sentAt <= upstream.reportedAt))
        return;
    const std::int64_t known = std::max(upstream.reportedStart, upstream.listed.engine.start);
    if (known != 0 && start > known)
        markColdFromNow(state, upstream, sentAt);
    upstream.reportedStart = start;
    upstream.reportedAt = sentAt;
    recordReported(state.quarantine, { upstream.listed.id, start }, sentAt);
}

bool isDispatchBlocked(const GatewayState &state, const RequestRecord &record)
{
    if (!isSuspected(state.quarantine, record.digest))
        return false;
    if (isQuarantined(state.quarantine, record.digest))
        return true;
    return std::any_of(state.requests.begin(), state.requests.end(), [&](const auto &entry) {
        const RequestRecord &other = entry.second;
        return other.digest == record.digest && other.phase != RequestPhase::Waiting
                && other.arrivedRequest.request != record.arrivedRequest.request;
    });
}

void refuseQuarantined(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const Span left = remainingQuarantine(state.quarantine, record.digest, now);
    refuseAndForget(state, record, ResultCode::RequestQuarantined, std::max(left, minRetryAfter),
                    actions);
}

void sendSuspicions(GatewayState &state, Instant now, Actions &actions)
{
    if (state.quarantine.pending.empty())
        return;
    std::vector<CrashSuspicion> due = takePending(state.quarantine, now);
    if (due.empty())
        return;
    RelayedUpdate update;
    update.crashes = std::move(due);
    sendToAll(state, MessageKind::CrashSuspicions, std::move(update), now, actions);
}

} // namespace azurewell::gateway
