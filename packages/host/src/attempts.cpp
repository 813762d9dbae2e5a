#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

constexpr std::uint32_t mostAttempts = 4;

RetryReason retryReasonOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotSent:
        return RetryReason::NotSent;
    case AttemptOutcome::Refused:
        return RetryReason::UpstreamRefused;
    case AttemptOutcome::Silent:
        return RetryReason::UpstreamSilent;
    case AttemptOutcome::Mismatch:
        return RetryReason::AnswerMismatch;
    case AttemptOutcome::Cancelled:
        return RetryReason::SlotLost;
    case AttemptOutcome::NotResumable:
    case AttemptOutcome::Failed:
    case AttemptOutcome::Done:
        break;
    }
    return RetryReason::UpstreamFailed;
}

ResultCode refusalOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotSent:
        return ResultCode::NoUpstream;
    case AttemptOutcome::Refused:
        return ResultCode::UpstreamRefused;
    case AttemptOutcome::Silent:
        return ResultCode::UpstreamSilent;
    case AttemptOutcome::Mismatch:
        return ResultCode::AnswerMismatch;
    case AttemptOutcome::Cancelled:
        return ResultCode::SlotLost;
    case AttemptOutcome::NotResumable:
    case AttemptOutcome::Failed:
    case AttemptOutcome::Done:
        break;
    }
    return ResultCode::UpstreamFailed;
}

/// Whether the upstream certainly did not run the request.
bool isCertainlyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Refused;
}

/// Whether the upstream should get the request once more. A connection that went silent tells
/// nothing of the engine: it has the stream still, and can go on with it on a new connection.
bool mayTrySameAgain(const RequestRecord &record, AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Silent && record.generated.count > 0 && record.attempt == 1;
}

/// Whether a retry may be made. A stream that the caller has a part of is resumed outside the
/// budget: resuming repeats no work, and no more than the open streams of a failed engine can ask
/// for it at once, each at most mostAttempts times.
bool mayRetry(Step &step, const RequestRecord &record)
{
    return record.generated.count > 0 || takeRetry(step.state.retryBudget);
}

/// Tries a failed request elsewhere where that is safe and the budget allows; otherwise refuses it.
void retryOrRefuse(Step &step, RequestRecord &record, AttemptOutcome outcome)
{
    const bool isNotRun = isCertainlyNotRun(outcome);
    const bool isSafe = isNotRun || record.isIdempotent;
    const RunState runState = isNotRun ? RunState::NotRun : RunState::Unknown;
    record.mayHaveRun = record.mayHaveRun || !isNotRun;
    // After silence or a broken answer the engine may go on with it; the keeper has to cancel it
    // before it may evict the adapter.
    record.isCancelled = record.isCancelled || !isNotRun;
    if (outcome == AttemptOutcome::NotResumable) {
        endRefused(step, record, ResultCode::UpstreamFailed, RunState::Unknown);
        return;
    }
    if (!isSafe) {
        endRefused(step, record, ResultCode::OutcomeUnknown, RunState::Unknown);
        return;
    }
    if (record.isCallerGone || record.attempt >= mostAttempts
        || record.asked.deadline <= step.now) {
        endRefused(step, record, refusalOf(outcome), runState);
        return;
    }
    if (!mayRetry(step, record)) {
        endRefused(step, record, ResultCode::RetryBudgetSpent, runState);
        return;
    }
    countRetry(step.state.counters, retryReasonOf(outcome));
    if (outcome != AttemptOutcome::Cancelled && !mayTrySameAgain(record, outcome))
        record.failedAt.push_back(record.upstream);
    noteUnrouted(step, record);
    releaseSlot(step, record, record.generated);
    if (record.asked.kind == RequestKind::ServiceCall)
        callService(step, record);
    else
        seekSlot(step, record);
}

} // namespace

void onAttemptProgress(Step &step, const AttemptProgress &event)
{
    RequestRecord *record = recordOf(step.state, event.request);
    if (!record || record->attempt != event.attempt || event.generated <= record->generated)
        return;
    settle(step.state.shares, event.request, event.generated - record->generated, step.now);
    step.state.counters.generatedTokens += static_cast<std::uint64_t>(
            (event.generated - record->generated).count);
    record->generated = event.generated;
    notePaceOf(step, *record, false);
}

void onAttemptEnded(Step &step, const AttemptEnded &event)
{
    onAttemptProgress(step, AttemptProgress{ event.request, event.attempt, event.generated });
    RequestRecord *record = recordOf(step.state, event.request);
    if (!record || record->attempt != event.attempt || record->phase != RequestPhase::Running)
        return;
    noteUpstreamOutcome(step, record->upstream, event.outcome);
    if (event.outcome == AttemptOutcome::Done) {
        ++step.state.counters.completed;
        notePaceOf(step, *record, true);
        if (needsPermit(*record))
            settleCall(step, *record, CallOutcome::Done, event.answer);
        endRequest(step, *record);
        return;
    }
    record->phase = RequestPhase::WaitingForSlot;
    retryOrRefuse(step, *record, event.outcome);
}

} // namespace azurewell::internal
