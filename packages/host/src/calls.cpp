#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// Asks and reports are sent again after this; a peer on the same side of a partition answers in
/// milliseconds.
constexpr Span resendAfter = fromSeconds(0.25);
/// How long a caller waits for an issuer that does not answer.
constexpr Span issuerPatience = fromSeconds(2);
/// A report that was not acknowledged by then is given up; the issuer then says "outcome unknown".
constexpr Span reportPatience = fromSeconds(30);
/// Reports held at once. Past it the oldest goes: its call then counts as unknown, which is safe.
constexpr std::size_t mostSettled = 4096;
/// The permit is cut by this share for clocks that run at different rates.
constexpr double permitDriftMargin = 0.02;
constexpr std::uint32_t mostNumbersAtOnce = 100;
constexpr Span repeatAfter = fromSeconds(1);

void dropOldSettled(Step &step)
{
    CallState &calls = step.state.calls;
    while (!calls.settledOrder.empty()) {
        const auto oldest = calls.settled.find(calls.settledOrder.front());
        if (oldest->second.keptUntil > step.now && calls.settled.size() <= mostSettled)
            return;
        calls.settled.erase(oldest);
        calls.settledOrder.pop_front();
    }
}

void keepSettled(Step &step, SettledCall settled)
{
    CallState &calls = step.state.calls;
    const RequestId id = settled.report.request;
    settled.keptUntil = step.now + reportPatience;
    calls.settled[id] = std::move(settled);
    calls.settledOrder.push_back(id);
    dropOldSettled(step);
}

/// Ends the ask that the issuer has declined. Nothing is reported, since nothing was permitted; but
/// a second copy of the ask may still be on its way and be granted later, to a request that is
/// gone. What is kept here then tells the issuer so; the call would otherwise count as unknown for
/// ever.
void retireAsk(Step &step, const RequestRecord &record)
{
    CallState &calls = step.state.calls;
    const auto sought = calls.sought.find(record.asked.request);
    if (sought == calls.sought.end())
        return;
    SettledCall settled;
    settled.issuer = sought->second.issuer;
    settled.report = OutcomeReport{
        record.asked.callNumber, record.customer, record.asked.request, CallOutcome::NotRun, {}
    };
    settled.isAcknowledged = true;
    calls.sought.erase(sought);
    keepSettled(step, std::move(settled));
}

void answerWith(Step &step, RequestRecord &record, ResultCode code, RunState runState)
{
    countRefusal(step.state.counters, code);
    step.actions.emplace_back(Refuse{ record.asked.request, code, runState, repeatAfter, {} });
    endRequest(step, record);
}

/// Whether the instance that issued the number can still answer for it, as far as is known here.
bool isIssuerThere(const HostState &state, const CallNumberParts &parts)
{
    if (parts.host == state.self.id)
        return parts.incarnation == state.self.incarnation;
    const auto peer = state.membership.peers.find(parts.host);
    return peer != state.membership.peers.end() && peer->second.state != PeerState::Gone
            && peer->second.incarnation <= parts.incarnation;
}

void sendReport(Step &step, SettledCall &settled)
{
    settled.nextSendAt = step.now + resendAfter;
    sendTo(step, settled.issuer, settled.report);
}

void onGrant(Step &step, RequestRecord &record, PermitSought &sought, Span length)
{
    if (sought.isGranted)
        return; // a second copy of the grant
    sought.isGranted = true;
    sought.sendBefore = sought.firstAskedAt + length
            - fromSeconds(toSeconds(length) * permitDriftMargin);
    // This process may have been stopped since it asked. A call that it sent after the permit's end
    // would run although the issuer may have told another host that nobody runs it any more.
    if (step.now >= sought.sendBefore && !step.state.calls.isSendingLate) {
        endRefused(step, record, ResultCode::WaitedTooLong, RunState::NotRun);
        return;
    }
    callService(step, record);
}

void onDone(Step &step, RequestRecord &record, const HeldAnswer &answer)
{
    if (answer.status == 0) {
        answerWith(step, record, ResultCode::CallAlreadyDone, RunState::Ran);
        return;
    }
    step.actions.emplace_back(AnswerHeld{ record.asked.request, answer });
    endRequest(step, record);
}

/// Asks again for what was not answered, and gives up what was not answered in time.
void tendAsks(Step &step)
{
    std::vector<RequestId> unanswered;
    for (auto &[id, sought] : step.state.calls.sought) {
        if (sought.isGranted)
            continue;
        if (sought.giveUpAt <= step.now) {
            unanswered.push_back(id);
        } else if (sought.nextAskAt <= step.now) {
            sought.nextAskAt = step.now + resendAfter;
            sendTo(step, sought.issuer, sought.ask);
        }
    }
    for (const RequestId &id : unanswered) {
        ++step.state.calls.unreachable;
        if (RequestRecord *record = recordOf(step.state, id))
            answerWith(step, *record, ResultCode::OutcomeUnknown, RunState::Unknown);
    }
}

} // namespace

bool needsPermit(const RequestRecord &record)
{
    return record.asked.kind == RequestKind::ServiceCall && !record.isIdempotent
            && !record.asked.callNumber.value.empty();
}

void seekPermit(Step &step, RequestRecord &record)
{
    const std::optional<CallNumberParts> parts = parseCallNumber(record.asked.callNumber);
    if (!parts) {
        answerWith(step, record, ResultCode::CallNumberInvalid, RunState::NotRun);
        return;
    }
    if (!isIssuerThere(step.state, *parts)) {
        answerWith(step, record, ResultCode::OutcomeUnknown, RunState::Unknown);
        return;
    }
    record.phase = RequestPhase::WaitingForSlot;
    PermitSought sought;
    sought.issuer = parts->host;
    sought.ask = PermitAsk{ record.asked.callNumber, record.customer, record.asked.request,
                            record.asked.deadline - step.now };
    sought.firstAskedAt = step.now;
    sought.nextAskAt = step.now + resendAfter;
    sought.giveUpAt = std::min(step.now + issuerPatience, record.asked.deadline);
    sendTo(step, sought.issuer, sought.ask);
    step.state.calls.sought[record.asked.request] = std::move(sought);
}

RunState runStateUnsent(Step &step, const RequestRecord &record)
{
    CallState &calls = step.state.calls;
    if (calls.isClaimingNotRun)
        return RunState::NotRun;
    const auto sought = calls.sought.find(record.asked.request);
    if (sought != calls.sought.end() && sought->second.isGranted) {
        settleCall(step, record, CallOutcome::NotRun);
        return RunState::NotRun;
    }
    const bool isUnused = isCertainlyUnused(calls.ledger, record.asked.callNumber, record.customer);
    return isUnused ? RunState::NotRun : RunState::Unknown;
}

Instant permitEnd(const Step &step, const RequestRecord &record)
{
    const auto sought = step.state.calls.sought.find(record.asked.request);
    if (sought == step.state.calls.sought.end())
        return Instant{};
    if (step.state.calls.isSendingLate)
        return record.asked.deadline;
    return std::min(sought->second.sendBefore, record.asked.deadline);
}

void settleCall(Step &step, const RequestRecord &record, CallOutcome outcome,
                const HeldAnswer &answer)
{
    CallState &calls = step.state.calls;
    const auto sought = calls.sought.find(record.asked.request);
    if (sought == calls.sought.end())
        return; // it never asked, or was settled before
    SettledCall settled;
    settled.issuer = sought->second.issuer;
    settled.report = OutcomeReport{ record.asked.callNumber, record.customer, record.asked.request,
                                    outcome, answer };
    calls.sought.erase(sought);
    sendReport(step, settled);
    keepSettled(step, std::move(settled));
}

void onPermitAsk(Step &step, const HostId &asker, const PermitAsk &ask)
{
    PermitAnswer answer = askPermit(step.state.calls.ledger, ask, step.now);
    sendTo(step, asker, PermitReply{ ask.number, ask.request, std::move(answer) });
}

void onPermitReply(Step &step, const PeerMessage &message, const PermitReply &reply)
{
    CallState &calls = step.state.calls;
    const auto sought = calls.sought.find(reply.request);
    RequestRecord *record = recordOf(step.state, reply.request);
    if (sought == calls.sought.end() || !record || message.sender != sought->second.issuer) {
        // A grant that came after the request had ended: the issuer must hear again how it ended.
        const auto settled = calls.settled.find(reply.request);
        if (settled != calls.settled.end() && reply.answer.verdict == PermitVerdict::Granted)
            sendReport(step, settled->second);
        return;
    }
    ++calls.verdicts[static_cast<std::size_t>(reply.answer.verdict)];
    if (reply.answer.verdict != PermitVerdict::Granted && !sought->second.isGranted)
        retireAsk(step, *record);
    else if (reply.answer.verdict != PermitVerdict::Granted)
        return; // a late answer to an earlier copy of an ask that was granted since
    switch (reply.answer.verdict) {
    case PermitVerdict::Granted:
        onGrant(step, *record, sought->second, reply.answer.length);
        return;
    case PermitVerdict::InProgress:
        answerWith(step, *record, ResultCode::CallInProgress, RunState::Unknown);
        return;
    case PermitVerdict::Done:
        onDone(step, *record, reply.answer.answer);
        return;
    case PermitVerdict::Unknown:
        answerWith(step, *record, ResultCode::OutcomeUnknown, RunState::Unknown);
        return;
    case PermitVerdict::Expired:
        answerWith(step, *record, ResultCode::CallNumberExpired, RunState::Unknown);
        return;
    case PermitVerdict::Invalid:
        answerWith(step, *record, ResultCode::CallNumberInvalid, RunState::NotRun);
        return;
    case PermitVerdict::Withdrawn:
        return;
    }
}

void onOutcomeReport(Step &step, const HostId &holder, const OutcomeReport &report)
{
    noteOutcome(step.state.calls.ledger, report, step.now);
    sendTo(step, holder, OutcomeAck{ report.request });
}

void onOutcomeAck(Step &step, const OutcomeAck &ack)
{
    const auto settled = step.state.calls.settled.find(ack.request);
    if (settled == step.state.calls.settled.end())
        return;
    settled->second.isAcknowledged = true;
    settled->second.report.answer = HeldAnswer{}; // the issuer holds it now
}

void issueNumbers(Step &step, const RequestArrived &event, const CustomerId &customer)
{
    AnswerNumbers answer;
    answer.request = event.request;
    const std::uint32_t count = std::clamp(event.numbers, 1U, mostNumbersAtOnce);
    for (std::uint32_t index = 0; index < count; ++index)
        answer.numbers.push_back(issueCallNumber(step.state.calls.ledger, customer));
    step.state.calls.numbersIssued += count;
    step.actions.emplace_back(std::move(answer));
}

void tendCalls(Step &step)
{
    CallState &calls = step.state.calls;
    if (step.now < calls.nextTend)
        return;
    calls.nextTend = step.now + resendAfter;
    tendAsks(step);
    dropOldSettled(step);
    for (auto &[id, settled] : calls.settled) {
        if (!settled.isAcknowledged && settled.nextSendAt <= step.now)
            sendReport(step, settled);
    }
    forgetOldCalls(calls.ledger, step.now);
}

bool hasOpenCalls(const Step &step)
{
    const CallState &calls = step.state.calls;
    const auto isUnheard = [](const auto &entry) {
        return !entry.second.isAcknowledged;
    };
    return std::any_of(calls.settled.begin(), calls.settled.end(), isUnheard)
            || openCalls(calls.ledger, step.now) > 0;
}

} // namespace azurewell::internal
