#include "internal.h"

#include <algorithm>

namespace azurewell {

std::string_view nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Done:
        return "done";
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::Refused:
        return "refused";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Silent:
        return "silent";
    case AttemptOutcome::Mismatch:
        return "mismatch";
    case AttemptOutcome::NotResumable:
        return "not_resumable";
    case AttemptOutcome::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace azurewell

namespace azurewell::internal {

namespace {

constexpr std::uint32_t maxAttempts = 4;

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

/// Whether to retry at the same upstream. A connection that timed out does not mean that the engine
/// failed: it still has the stream and can continue it on a new connection.
bool mayRetrySameUpstream(const RequestRecord &record, AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Silent && record.generated.count > 0 && record.attempt == 1;
}

/// Whether a retry is allowed. A stream of which the caller has a part is resumed outside the retry
/// budget: resuming repeats no work, and after an engine failure only its open streams are resumed,
/// each at most maxAttempts times.
bool mayRetry(Step &step, const RequestRecord &record)
{
    return record.generated.count > 0 || takeRetry(step.state.retryBudget);
}

/// Retries a failed request if that is safe and the retry budget allows it; otherwise refuses it.
void retryOrRefuse(Step &step, RequestRecord &record, AttemptOutcome outcome)
{
    const bool isNotRun = isCertainlyNotRun(outcome);
    const bool isSafe = isNotRun || record.isIdempotent;
    const RunState runState = isNotRun ? RunState::NotRun : RunState::Unknown;
    record.mayHaveRun = record.mayHaveRun || !isNotRun;
    // After a timeout or an incomplete answer the engine may still run the request; the coordinator
    // has to cancel it before it may evict the adapter.
    record.isCancelled = record.isCancelled || !isNotRun;
    if (outcome == AttemptOutcome::NotResumable) {
        endRefused(step, record, ResultCode::UpstreamFailed, RunState::Unknown);
        return;
    }
    if (!isSafe) {
        endRefused(step, record, ResultCode::OutcomeUnknown, RunState::Unknown);
        return;
    }
    if (record.hasCallerDisconnected || record.attempt >= maxAttempts
        || record.arrival.deadline <= step.now) {
        endRefused(step, record, refusalOf(outcome), runState);
        return;
    }
    if (!mayRetry(step, record)) {
        endRefused(step, record, ResultCode::RetryBudgetSpent, runState);
        return;
    }
    countRetry(step.state.counters, retryReasonOf(outcome));
    if (outcome != AttemptOutcome::Cancelled && !mayRetrySameUpstream(record, outcome))
        record.excludedUpstreams.push_back(record.upstream);
    uncountRouted(step, record);
    releaseSlot(step, record, record.generated);
    if (record.arrival.kind == RequestKind::ServiceCall)
        callService(step, record);
    else
        requestSlot(step, record);
}

} // namespace

void onAttemptProgress(Step &step, const AttemptProgress &event)
{
    RequestRecord *record = findRequest(step.state, event.request);
    if (!record || record->attempt != event.attempt || event.generated <= record->generated)
        return;
    settle(step.state.shares, event.request, event.generated - record->generated, step.now);
    step.state.counters.generatedTokens += static_cast<std::uint64_t>(
            (event.generated - record->generated).count);
    record->generated = event.generated;
    recordStreamRate(step, *record, false);
}

void onAttemptEnded(Step &step, const AttemptEnded &event)
{
    onAttemptProgress(step, AttemptProgress{ event.request, event.attempt, event.generated });
    RequestRecord *record = findRequest(step.state, event.request);
    if (!record || record->attempt != event.attempt || record->phase != RequestPhase::Running)
        return;
    recordUpstreamOutcome(step, record->upstream, event.outcome);
    if (event.outcome == AttemptOutcome::Done || event.isAnswerComplete) {
        // Without its end, the engine may still run the request.
        record->isCancelled = record->isCancelled || event.outcome != AttemptOutcome::Done;
        ++step.state.counters.completed;
        recordStreamRate(step, *record, true);
        if (needsPermit(*record))
            reportOutcome(step, *record, CallOutcome::Done, event.answer);
        endRequest(step, *record);
        return;
    }
    record->phase = RequestPhase::WaitingForSlot;
    retryOrRefuse(step, *record, event.outcome);
}

} // namespace azurewell::internal
