#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// Interval at which unanswered permit requests and outcome reports are sent again; a reachable
/// peer answers within milliseconds.
constexpr Span resendInterval = fromSeconds(0.25);
/// How long a request waits for an issuer that does not answer.
constexpr Span issuerTimeout = fromSeconds(2);
/// An outcome report that is not acknowledged within this time is abandoned; the issuer then
/// reports "outcome unknown".
constexpr Span outcomeReportTimeout = fromSeconds(30);
/// Maximum number of reports held. Beyond it the oldest is dropped: the outcome of its call then
/// counts as unknown, which is safe as the call is not run again.
constexpr std::size_t maxFinishedCalls = 4096;
/// Fraction by which the requester shortens a permit, to allow for clock drift.
constexpr double permitDriftMargin = 0.02;
constexpr std::uint32_t maxNumbersPerRequest = 100;
/// Retry-after time of refusals by refuseCall().
constexpr Span permitRetryAfter = fromSeconds(1);

void dropOldFinished(Step &step)
{
    CallState &calls = step.state.calls;
    while (!calls.finishedOrder.empty()) {
        const auto oldest = calls.finishedCalls.find(calls.finishedOrder.front());
        if (oldest->second.retainedUntil > step.now
            && calls.finishedCalls.size() <= maxFinishedCalls)
            return;
        calls.finishedCalls.erase(oldest);
        calls.finishedOrder.pop_front();
    }
}

void keepFinished(Step &step, FinishedCall finished)
{
    CallState &calls = step.state.calls;
    const RequestId id = finished.report.request;
    finished.retainedUntil = step.now + outcomeReportTimeout;
    calls.finishedCalls[id] = std::move(finished);
    calls.finishedOrder.push_back(id);
    dropOldFinished(step);
}

/// Ends a permit request that the issuer has declined. Nothing is reported, since nothing was
/// permitted. But a duplicate of the request may still be in transit and be granted later, when the
/// caller's request has ended. The entry kept here then tells the issuer that the call was not run;
/// without it the call would count as unknown for ever.
void endDeclinedRequest(Step &step, const RequestRecord &record)
{
    CallState &calls = step.state.calls;
    const auto permit = calls.pendingPermits.find(record.arrival.request);
    if (permit == calls.pendingPermits.end())
        return;
    FinishedCall finished;
    finished.issuer = permit->second.issuer;
    finished.report = OutcomeReport{
        record.arrival.callNumber, record.customer, record.arrival.request, CallOutcome::NotRun, {}
    };
    finished.isAcknowledged = true;
    calls.pendingPermits.erase(permit);
    keepFinished(step, std::move(finished));
}

/// Refuses a call that this host has not sent, with exactly \a runState. Unlike endRefused(), does
/// not derive the run state from the permit.
void refuseCall(Step &step, RequestRecord &record, ResultCode code, RunState runState)
{
    countRefusal(step.state.counters, code);
    step.actions.emplace_back(
            Refuse{ record.arrival.request, code, runState, permitRetryAfter, {} });
    endRequest(step, record);
}

/// Whether the incarnation that issued the number is still running, as far as this host knows.
bool isIssuerAvailable(const HostState &state, const CallNumberParts &parts)
{
    if (parts.host == state.self.id)
        return parts.incarnation == state.self.incarnation;
    const auto peer = state.membership.peers.find(parts.host);
    return peer != state.membership.peers.end() && peer->second.state != PeerState::Gone
            && peer->second.incarnation <= parts.incarnation;
}

void sendReport(Step &step, FinishedCall &finished)
{
    finished.nextSendAt = step.now + resendInterval;
    sendTo(step, finished.issuer, finished.report);
}

void onGrant(Step &step, RequestRecord &record, PendingPermit &permit, Span length)
{
    if (permit.isGranted)
        return; // a duplicate of the grant
    permit.isGranted = true;
    permit.sendDeadline = permit.firstSentAt + length
            - fromSeconds(toSeconds(length) * permitDriftMargin);
    // This process may have been suspended since it requested the permit. If it sent the call after
    // the permit's end, the call would run although the issuer may have told another host that no
    // request runs it any more.
    if (step.now >= permit.sendDeadline && !step.state.calls.isIgnoringPermitEnd) {
        endRefused(step, record, ResultCode::WaitedTooLong, RunState::NotRun);
        return;
    }
    callService(step, record);
}

void onDone(Step &step, RequestRecord &record, const HeldAnswer &answer)
{
    if (answer.status == 0) {
        refuseCall(step, record, ResultCode::CallAlreadyDone, RunState::Ran);
        return;
    }
    step.actions.emplace_back(AnswerFromStore{ record.arrival.request, answer });
    endRequest(step, record);
}

/// Repeats unanswered permit requests, and refuses requests whose permit request timed out.
void updatePermitRequests(Step &step)
{
    std::vector<RequestId> unanswered;
    for (auto &[id, permit] : step.state.calls.pendingPermits) {
        if (permit.isGranted)
            continue;
        if (permit.replyDeadline <= step.now) {
            unanswered.push_back(id);
        } else if (permit.nextSendAt <= step.now) {
            permit.nextSendAt = step.now + resendInterval;
            sendTo(step, permit.issuer, permit.ask);
        }
    }
    for (const RequestId &id : unanswered) {
        ++step.state.calls.unreachableIssuers;
        if (RequestRecord *record = findRequest(step.state, id))
            refuseCall(step, *record, ResultCode::OutcomeUnknown, RunState::Unknown);
    }
}

} // namespace

bool needsPermit(const RequestRecord &record)
{
    return record.arrival.kind == RequestKind::ServiceCall && !record.isIdempotent
            && !record.arrival.callNumber.value.empty();
}

void requestPermit(Step &step, RequestRecord &record)
{
    const std::optional<CallNumberParts> parts = parseCallNumber(record.arrival.callNumber);
    if (!parts) {
        refuseCall(step, record, ResultCode::CallNumberInvalid, RunState::NotRun);
        return;
    }
    if (!isIssuerAvailable(step.state, *parts)) {
        refuseCall(step, record, ResultCode::OutcomeUnknown, RunState::Unknown);
        return;
    }
    record.phase = RequestPhase::WaitingForSlot; // here: for the permit
    PendingPermit permit;
    permit.issuer = parts->host;
    permit.ask = PermitAsk{ record.arrival.callNumber, record.customer, record.arrival.request,
                            record.arrival.deadline - step.now };
    permit.firstSentAt = step.now;
    permit.nextSendAt = step.now + resendInterval;
    permit.replyDeadline = std::min(step.now + issuerTimeout, record.arrival.deadline);
    sendTo(step, permit.issuer, permit.ask);
    step.state.calls.pendingPermits[record.arrival.request] = std::move(permit);
}

RunState runStateIfNotSent(Step &step, const RequestRecord &record)
{
    CallState &calls = step.state.calls;
    if (calls.isAssumingNotRun)
        return RunState::NotRun;
    const auto permit = calls.pendingPermits.find(record.arrival.request);
    if (permit != calls.pendingPermits.end() && permit->second.isGranted) {
        // Returns the permit to its issuer and removes it here.
        reportOutcome(step, record, CallOutcome::NotRun);
        return RunState::NotRun;
    }
    const bool isUnused = isCertainlyUnused(calls.ledger, record.arrival.callNumber,
                                            record.customer);
    return isUnused ? RunState::NotRun : RunState::Unknown;
}

Instant permitEnd(const Step &step, const RequestRecord &record)
{
    const auto permit = step.state.calls.pendingPermits.find(record.arrival.request);
    if (permit == step.state.calls.pendingPermits.end())
        return Instant{};
    if (step.state.calls.isIgnoringPermitEnd)
        return record.arrival.deadline;
    return std::min(permit->second.sendDeadline, record.arrival.deadline);
}

void reportOutcome(Step &step, const RequestRecord &record, CallOutcome outcome,
                   const HeldAnswer &answer)
{
    CallState &calls = step.state.calls;
    const auto permit = calls.pendingPermits.find(record.arrival.request);
    if (permit == calls.pendingPermits.end())
        return; // no permit was requested, or the outcome was reported before
    FinishedCall finished;
    finished.issuer = permit->second.issuer;
    finished.report = OutcomeReport{ record.arrival.callNumber, record.customer,
                                     record.arrival.request, outcome, answer };
    calls.pendingPermits.erase(permit);
    sendReport(step, finished);
    keepFinished(step, std::move(finished));
}

void onPermitAsk(Step &step, const HostId &requester, const PermitAsk &ask)
{
    PermitAnswer answer = decidePermit(step.state.calls.ledger, ask, step.now);
    sendTo(step, requester, PermitReply{ ask.number, ask.request, std::move(answer) });
}

void onPermitReply(Step &step, const PeerMessage &message, const PermitReply &reply)
{
    CallState &calls = step.state.calls;
    const auto permit = calls.pendingPermits.find(reply.request);
    RequestRecord *record = findRequest(step.state, reply.request);
    if (permit == calls.pendingPermits.end() || !record
        || message.sender != permit->second.issuer) {
        // The request has ended, or the reply is not from the issuer. After a grant, the outcome is
        // sent to the issuer if it is still kept here: the grant may have arrived late.
        const auto finished = calls.finishedCalls.find(reply.request);
        if (finished != calls.finishedCalls.end() && reply.answer.verdict == PermitVerdict::Granted)
            sendReport(step, finished->second);
        return;
    }
    ++calls.receivedVerdicts[static_cast<std::size_t>(reply.answer.verdict)];
    if (reply.answer.verdict != PermitVerdict::Granted && !permit->second.isGranted)
        endDeclinedRequest(step, *record);
    else if (reply.answer.verdict != PermitVerdict::Granted)
        return; // a delayed answer to an earlier copy of a request that was granted since
    switch (reply.answer.verdict) {
    case PermitVerdict::Granted:
        onGrant(step, *record, permit->second, reply.answer.length);
        return;
    case PermitVerdict::InProgress:
        refuseCall(step, *record, ResultCode::CallInProgress, RunState::Unknown);
        return;
    case PermitVerdict::Done:
        onDone(step, *record, reply.answer.answer);
        return;
    case PermitVerdict::Unknown:
        refuseCall(step, *record, ResultCode::OutcomeUnknown, RunState::Unknown);
        return;
    case PermitVerdict::Expired:
        refuseCall(step, *record, ResultCode::CallNumberExpired, RunState::Unknown);
        return;
    case PermitVerdict::Invalid:
        refuseCall(step, *record, ResultCode::CallNumberInvalid, RunState::NotRun);
        return;
    case PermitVerdict::Withdrawn:
        return; // the permit was returned before; the issuer received a late duplicate
    }
}

void onOutcomeReport(Step &step, const HostId &holder, const OutcomeReport &report)
{
    recordOutcome(step.state.calls.ledger, report, step.now);
    sendTo(step, holder, OutcomeAck{ report.request });
}

void onOutcomeAck(Step &step, const OutcomeAck &ack)
{
    const auto finished = step.state.calls.finishedCalls.find(ack.request);
    if (finished == step.state.calls.finishedCalls.end())
        return;
    finished->second.isAcknowledged = true;
    finished->second.report.answer = HeldAnswer{}; // the issuer has stored it
}

void issueNumbers(Step &step, const RequestArrived &event, const CustomerId &customer)
{
    AnswerCallNumbers answer;
    answer.request = event.request;
    const std::uint32_t count = std::clamp(event.callNumberCount, 1U, maxNumbersPerRequest);
    for (std::uint32_t index = 0; index < count; ++index)
        answer.numbers.push_back(issueCallNumber(step.state.calls.ledger, customer));
    step.state.calls.callNumbersIssued += count;
    step.actions.emplace_back(std::move(answer));
}

void updateCalls(Step &step)
{
    CallState &calls = step.state.calls;
    if (step.now < calls.nextUpdate)
        return;
    calls.nextUpdate = step.now + resendInterval;
    updatePermitRequests(step);
    dropOldFinished(step);
    for (auto &[id, finished] : calls.finishedCalls) {
        if (!finished.isAcknowledged && finished.nextSendAt <= step.now)
            sendReport(step, finished);
    }
    evictExpiredCalls(calls.ledger, step.now);
}

bool hasOpenCalls(const Step &step)
{
    const CallState &calls = step.state.calls;
    const auto isUnacknowledged = [](const auto &entry) {
        return !entry.second.isAcknowledged;
    };
    return std::any_of(calls.finishedCalls.begin(), calls.finishedCalls.end(), isUnacknowledged)
            || openCalls(calls.ledger, step.now) > 0;
}

} // namespace azurewell::internal
