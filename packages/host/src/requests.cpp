#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// A request that its customer's rate can admit within this time waits instead of being refused.
constexpr Span longestTokenWait = fromSeconds(2);
/// The asker's lease is cut by this share for clocks that run at different rates (200 ppm is the
/// worst that quartz does; a hundred times that costs a tenth of a second of a ten-second lease).
constexpr double leaseDriftMargin = 0.02;
constexpr std::uint32_t mostAttempts = 4;
/// Keepers that are asked for one request. One keeper's queue being too long says nothing of the
/// others; at four times the capacity three asks keep the shares of customers whose adapters are on
/// few engines (docs/DECISIONS.md).
constexpr std::uint32_t mostAsks = 3;
/// Tells callers when to come back where nothing better is known.
constexpr Span defaultRetryAfter = fromSeconds(1);
/// A waiting ask is repeated this often: it, or the grant, can have been lost.
constexpr Span askInterval = fromSeconds(1);
/// Up to four seconds between asks: one message a second for each waiting request was half of what
/// a node sent while adapters were being loaded.
constexpr std::uint32_t mostAskDoublings = 2;
/// When a host that no longer keeps the engine said so; by then the views have moved on.
constexpr Span askAgainSoon = fromSeconds(0.1);

} // namespace

RequestRecord *recordOf(HostState &state, const RequestId &id)
{
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

namespace {

Tokens costOf(const RequestArrived &asked)
{
    return asked.promptTokens + asked.mostGenerated;
}

void refuse(Step &step, const RequestId &request, ResultCode code, RunState runState,
            std::optional<Span> retryAfter = {}, const std::string &detail = {})
{
    countRefusal(step.state.counters, code);
    step.actions.emplace_back(Refuse{ request, code, runState, retryAfter, detail });
}

void releaseSlot(Step &step, const RequestRecord &record, Tokens used)
{
    if (record.asked.kind == RequestKind::Completion && !record.upstream.value.empty())
        sendTo(step, record.keeper,
               SlotRelease{ record.asked.request, record.upstream, used, record.round,
                            record.isCancelled });
}

/// Closes the attempt's connection and tells the upstream to stop. After a lost slot, what the
/// caller has stays, and the rest is made elsewhere once the attempt's end has told how far it
/// came. Going on without the slot would be quicker, but the keeper no longer holds the adapter for
/// it.
void cancelAttempt(Step &step, RequestRecord &record)
{
    record.isCancelled = true;
    const auto upstream = step.state.inForce.upstreams.find(record.upstream);
    const bool isKnown = upstream != step.state.inForce.upstreams.end();
    const std::string address = isKnown ? upstream->second.address : std::string{};
    step.actions.emplace_back(CancelAttempt{ record.asked.request, record.upstream, address });
}

} // namespace

void endRequest(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    noteUnrouted(step, record);
    if (needsPermit(record)) // where nothing was said before, only a call never sent is "not run"
        settleCall(step, record, record.attempt == 0 ? CallOutcome::NotRun : CallOutcome::Unknown);
    releaseSlot(step, record, record.asked.promptTokens + record.generated);
    release(state.shares, record.asked.request, step.now);
    const RequestId id = record.asked.request; // a copy: the record holds the original
    std::erase(state.waitingForTokens, id);
    state.requests.erase(id);
}

void endRefused(Step &step, RequestRecord &record, ResultCode code, RunState runState)
{
    if (needsPermit(record) && runState == RunState::NotRun)
        runState = runStateUnsent(step, record);
    else if (needsPermit(record))
        settleCall(step, record, CallOutcome::Unknown);
    const bool isUntrue = runState == RunState::NotRun && record.mayHaveRun;
    refuse(step, record.asked.request, code, isUntrue ? RunState::Unknown : runState,
           defaultRetryAfter);
    endRequest(step, record);
}

namespace {

/// When a lease that the keeper counts from `basis` ends here.
Instant leaseEnd(const HostState &state, std::uint64_t basis, Span length)
{
    const auto sent = state.serialSentAt.find(basis);
    if (sent == state.serialSentAt.end())
        return Instant{};
    return sent->second + length - fromSeconds(toSeconds(length) * leaseDriftMargin);
}

void dispatch(Step &step, RequestRecord &record, Instant notAfter)
{
    HostState &state = step.state;
    const auto upstream = state.inForce.upstreams.find(record.upstream);
    if (upstream == state.inForce.upstreams.end()) {
        endRefused(step, record, ResultCode::NoUpstream, RunState::NotRun);
        return;
    }
    record.phase = RequestPhase::Running;
    ++record.attempt;
    record.dispatchedAt = step.now;
    record.resumedFrom = record.generated;
    record.isPaceSeen = false;
    ++state.counters.dispatched;
    if (record.generated.count > 0)
        ++state.counters.resumed;
    if (record.attempt == 1)
        settle(state.shares, record.asked.request, record.asked.promptTokens, step.now);
    step.actions.emplace_back(Dispatch{ record.asked.request, record.attempt, record.upstream,
                                        upstream->second.address, record.generated,
                                        record.isIdempotent, notAfter });
}

} // namespace

void callService(Step &step, RequestRecord &record)
{
    const std::optional<UpstreamId> backEnd = chooseFor(step, record);
    if (!backEnd) {
        endRefused(step, record, ResultCode::NoUpstream, RunState::NotRun);
        return;
    }
    const Instant sendBefore = needsPermit(record) ? permitEnd(step, record)
                                                   : record.asked.deadline;
    if (sendBefore <= step.now) {
        endRefused(step, record, ResultCode::WaitedTooLong, RunState::NotRun);
        return;
    }
    record.upstream = *backEnd;
    noteRouted(step, record);
    dispatch(step, record, sendBefore);
}

namespace {

void sendAsk(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    const auto customer = state.inForce.customers.find(record.customer);
    record.askAgainAt = step.now + askInterval * (1LL << std::min(record.asks, mostAskDoublings));
    ++record.asks;
    SlotAsk ask;
    ask.request = record.asked.request;
    ask.engine = record.upstream;
    ask.adapter = record.asked.adapter;
    ask.customer = record.customer;
    ask.cost = costOf(record.asked);
    ask.weight = customer == state.inForce.customers.end() ? 1.0 : customer->second.weight;
    ask.untilDeadline = record.asked.deadline - step.now;
    ask.serial = nextSerial(step);
    ask.round = record.round;
    sendTo(step, record.keeper, ask);
}

/// The best engine whose zone has a host to keep it, with that host.
std::optional<std::pair<UpstreamId, HostId>> chooseKept(Step &step, RequestRecord &record)
{
    std::optional<std::pair<UpstreamId, HostId>> chosen;
    const std::size_t failed = record.failedAt.size();
    while (const std::optional<UpstreamId> engine = chooseFor(step, record)) {
        const auto upstream = step.state.inForce.upstreams.find(*engine);
        if (upstream == step.state.inForce.upstreams.end())
            break;
        if (const std::optional<HostId> keeper = engineKeeper(step.state, upstream->second)) {
            chosen.emplace(*engine, *keeper);
            break;
        }
        record.failedAt.push_back(*engine); // only for this choice: its zone may be back soon
    }
    record.failedAt.resize(failed);
    return chosen;
}

/// Asks a keeper for a slot; \a ifNone is the answer where no engine is left to ask.
void seekSlot(Step &step, RequestRecord &record, ResultCode ifNone = ResultCode::NoUpstream)
{
    record.phase = RequestPhase::WaitingForSlot;
    record.isCancelled = false;
    ++record.round;
    record.asks = 0;
    const std::optional<std::pair<UpstreamId, HostId>> chosen = chooseKept(step, record);
    if (!chosen) {
        record.upstream = UpstreamId{};
        endRefused(step, record, ifNone, RunState::NotRun);
        return;
    }
    record.upstream = chosen->first;
    noteRouted(step, record);
    record.keeper = chosen->second;
    sendAsk(step, record);
}

void start(Step &step, RequestRecord &record)
{
    countFirstTry(step.state.retryBudget);
    if (needsPermit(record))
        seekPermit(step, record);
    else if (record.asked.kind == RequestKind::ServiceCall)
        callService(step, record);
    else
        seekSlot(step, record);
}

void refuseOverRate(Step &step, RequestRecord &record, Instant expected)
{
    const Span wait = expected == never ? defaultRetryAfter : expected - step.now;
    const RunState runState = needsPermit(record) ? runStateUnsent(step, record) : RunState::NotRun;
    refuse(step, record.asked.request, ResultCode::RateExceeded, runState,
           std::max(wait, defaultRetryAfter));
    endRequest(step, record);
}

/// Starts the request if the customer's rate admits it now.
bool tryAdmit(Step &step, RequestRecord &record)
{
    if (!reserve(step.state.shares, record.asked.request, record.customer, costOf(record.asked),
                 step.now))
        return false;
    start(step, record);
    return true;
}

/// Starts the request, lets it wait for tokens that are to come soon, or refuses it.
void admitOrWait(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    const CustomerId customer = record.customer; // a copy: the record may end below
    const Tokens ahead = waitingTokens(state, customer);
    // In order within a customer: a small request must not overtake a large one for ever.
    if (ahead.count == 0 && tryAdmit(step, record))
        return;
    const Tokens cost = costOf(record.asked);
    const Instant expected = expectedAt(state.shares, customer, cost, step.now);
    record.tokensBy = std::min(step.now + longestTokenWait, record.asked.deadline);
    if (expected > record.tokensBy) {
        refuseOverRate(step, record, expected);
        return;
    }
    state.waitingForTokens.push_back(record.asked.request);
    seekCustomerTokens(step, customer, ahead + cost);
}

/// A call with a number may have run for an earlier request; "not run" would make its caller send
/// it under a new number, and it would run twice.
RunState runStateAtArrival(const RequestArrived &event)
{
    const bool isNumbered = !event.callNumber.value.empty() && !event.isSafeMethod;
    return isNumbered ? RunState::Unknown : RunState::NotRun;
}

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

void onRequestArrived(Step &step, const RequestArrived &event)
{
    HostState &state = step.state;
    ++state.counters.arrived;
    const RunState unsent = runStateAtArrival(event);
    const bool isInGrace = state.process == ProcessState::Draining && step.now < state.servesUntil;
    if (state.process != ProcessState::Serving && !isInGrace) {
        const bool isStarting = state.process == ProcessState::Starting;
        refuse(step, event.request,
               isStarting ? ResultCode::HostStarting : ResultCode::HostDraining, unsent,
               defaultRetryAfter);
        return;
    }
    if (isWithoutNews(state, step.now)) {
        refuse(step, event.request, ResultCode::HostWithoutNews, unsent, defaultRetryAfter);
        return;
    }
    const Result<const Customer *> customer = customerOf(state.inForce, event.key);
    if (!customer) {
        refuse(step, event.request, customer.error().code, unsent);
        return;
    }
    if (event.kind == RequestKind::CallNumbers) {
        issueNumbers(step, event, customer.value()->id);
        return;
    }
    RequestRecord record;
    record.asked = event;
    record.customer = customer.value()->id;
    if (event.kind == RequestKind::Completion) {
        const Result<AdapterView> adapter = adapterFor(state.inForce, record.customer,
                                                       event.adapter);
        if (!adapter) {
            refuse(step, event.request, adapter.error().code, unsent);
            return;
        }
    } else {
        const Result<const Service *> service = serviceFor(state.inForce, *customer.value(),
                                                           event.service);
        if (!service) {
            refuse(step, event.request, service.error().code, unsent);
            return;
        }
        record.isIdempotent = event.isSafeMethod || service.value()->isIdempotent;
    }
    if (costOf(event) > largestRequest(state.shares, record.customer)) {
        refuse(step, event.request, ResultCode::ExceedsBurst, unsent);
        return;
    }
    if (state.shares.isSuperseded) {
        refuse(step, event.request, ResultCode::NoShare, unsent, defaultRetryAfter);
        return;
    }
    RequestRecord &kept = state.requests[event.request] = std::move(record);
    admitOrWait(step, kept);
}

void admitWaiting(Step &step)
{
    HostState &state = step.state;
    const std::deque<RequestId> waiting = std::exchange(state.waitingForTokens, {});
    std::map<CustomerId, Tokens> stillWaiting;
    for (const RequestId &id : waiting) {
        RequestRecord *record = recordOf(state, id);
        if (!record)
            continue;
        const CustomerId customer = record->customer; // a copy: the record may end below
        const bool isBehind = stillWaiting[customer].count > 0;
        if (!isBehind && tryAdmit(step, *record))
            continue;
        if (record->tokensBy <= step.now) {
            refuseOverRate(step, *record,
                           expectedAt(state.shares, customer, costOf(record->asked), step.now));
            continue;
        }
        stillWaiting[customer] += costOf(record->asked);
        state.waitingForTokens.push_back(id);
    }
    for (const auto &[customer, tokens] : stillWaiting)
        seekCustomerTokens(step, customer, tokens);
}

void endOverdue(Step &step, const RequestId &request)
{
    RequestRecord *record = recordOf(step.state, request);
    if (!record)
        return;
    const bool isRunning = record->phase == RequestPhase::Running;
    if (isRunning && !record->isIdempotent) {
        // A call that was sent can't be taken back; it makes no tokens beyond its prompt.
        release(step.state.shares, request, step.now);
        return;
    }
    if (isRunning)
        cancelAttempt(step, *record);
    endRefused(step, *record, ResultCode::WaitedTooLong,
               isRunning ? RunState::Ran : RunState::NotRun);
}

void expireRequests(Step &step)
{
    HostState &state = step.state;
    std::vector<RequestId> expired;
    for (const auto &[id, record] : state.requests) {
        if (record.phase != RequestPhase::Running && record.asked.deadline <= step.now)
            expired.push_back(id);
    }
    for (const RequestId &id : expired)
        endRefused(step, state.requests.at(id), ResultCode::WaitedTooLong, RunState::NotRun);
    endEjections(step);
}

std::uint64_t nextSerial(Step &step)
{
    HostState &state = step.state;
    const std::uint64_t serial = state.nextSerial++;
    state.serialSentAt[serial] = step.now;
    while (state.serialSentAt.size() > 1
           && step.now - state.serialSentAt.begin()->second > fromSeconds(60))
        state.serialSentAt.erase(state.serialSentAt.begin());
    return serial;
}

/// Whether \a upstream may get new work now, by ticket and by the platform's list.
namespace {

bool isLeavingNow(const HostState &state, const UpstreamId &id)
{
    const auto upstream = state.inForce.upstreams.find(id);
    const auto known = state.upstreams.find(id);
    return upstream == state.inForce.upstreams.end() || upstream->second.isLeaving
            || (known != state.upstreams.end() && known->second.state == UpstreamState::Leaving);
}

/// Gives the slot back, or leaves the queue, and looks for another.
void seekAnew(Step &step, RequestRecord &record)
{
    releaseSlot(step, record, Tokens{});
    noteUnrouted(step, record);
    seekSlot(step, record);
}

} // namespace

void onSlotGrant(Step &step, const HostId &keeper, const SlotGrant &grant)
{
    RequestRecord *record = recordOf(step.state, grant.request);
    const bool isOurs = record && record->round == grant.round && record->keeper == keeper
            && record->upstream == grant.engine;
    if (isOurs && record->phase == RequestPhase::Running)
        return; // a doubled message; the slot is in use
    if (!isOurs || record->phase != RequestPhase::WaitingForSlot) {
        // The caller has gone, or the request went elsewhere: only its sender holds this slot.
        sendTo(step, keeper,
               SlotRelease{ grant.request, grant.engine, Tokens{}, grant.round, false });
        return;
    }
    // Checked at the moment of dispatch: a process that was stopped since the grant must not use
    // it, and the upstream may have been marked leaving while the request waited.
    const Instant ends = leaseEnd(step.state, grant.basis, grant.leaseLength);
    const bool isLate = ends <= step.now;
    if (isLate || isLeavingNow(step.state, record->upstream)) {
        countRetry(step.state.counters, RetryReason::SlotLost);
        seekAnew(step, *record);
        return;
    }
    record->leaseEnds = ends;
    dispatch(step, *record, ends);
}

void onSlotRefusal(Step &step, const HostId &keeper, const SlotRefusal &refusal)
{
    RequestRecord *record = recordOf(step.state, refusal.request);
    if (!record || record->phase != RequestPhase::WaitingForSlot || record->round != refusal.round
        || record->upstream != refusal.engine || record->keeper != keeper)
        return;
    if (refusal.code == ResultCode::SlotLost) {
        record->askAgainAt = std::min(record->askAgainAt, step.now + askAgainSoon);
        return;
    }
    noteUnrouted(step, *record);
    const bool isFull = refusal.code == ResultCode::QueueFull
            || refusal.code == ResultCode::DeadlineUnreachable;
    if (!isFull || ++record->refusedAsks >= mostAsks) {
        endRefused(step, *record, refusal.code, RunState::NotRun);
        return;
    }
    record->failedAt.push_back(refusal.engine);
    seekSlot(step, *record, refusal.code);
}

void askAgain(Step &step)
{
    HostState &state = step.state;
    std::vector<RequestId> due;
    for (const auto &[id, record] : state.requests) {
        if (record.phase != RequestPhase::WaitingForSlot || record.isCancelled)
            continue;
        const auto engine = state.inForce.upstreams.find(record.upstream);
        const bool hasMoved = engine == state.inForce.upstreams.end()
                || engineKeeper(state, engine->second) != record.keeper;
        if (hasMoved || record.askAgainAt <= step.now)
            due.push_back(id);
    }
    for (const RequestId &id : due) {
        RequestRecord &record = state.requests.at(id);
        const auto engine = state.inForce.upstreams.find(record.upstream);
        const std::optional<HostId> keeper = engine == state.inForce.upstreams.end()
                ? std::nullopt
                : engineKeeper(state, engine->second);
        if (keeper == record.keeper && !isLeavingNow(state, record.upstream)) {
            sendAsk(step, record);
            continue;
        }
        countRetry(state.counters, RetryReason::SlotLost);
        seekAnew(step, record);
    }
}

void endLostSlots(Step &step)
{
    for (auto &[id, record] : step.state.requests) {
        const bool isLost = record.phase == RequestPhase::Running && !record.isCancelled
                && record.asked.kind == RequestKind::Completion && record.leaseEnds <= step.now;
        if (isLost)
            cancelAttempt(step, record);
    }
}

void onSlotRenewed(Step &step, const HostId &keeper, const SlotRenewed &renewed)
{
    const Instant ends = leaseEnd(step.state, renewed.basis, renewed.leaseLength);
    const std::set<RequestId> lost(renewed.lost.begin(), renewed.lost.end());
    for (auto &[id, record] : step.state.requests) {
        const bool isMeant = record.phase == RequestPhase::Running && record.keeper == keeper
                && record.upstream == renewed.engine && record.renewalSerial == renewed.basis;
        if (isMeant && !lost.contains(id))
            record.leaseEnds = std::max(record.leaseEnds, ends);
        else if (isMeant && !record.isCancelled)
            cancelAttempt(step, record);
    }
}

void renewSlots(Step &step)
{
    HostState &state = step.state;
    std::map<std::pair<HostId, UpstreamId>, std::vector<RequestRecord *>> byKeeper;
    for (auto &[id, record] : state.requests) {
        const bool isRunning = record.phase == RequestPhase::Running && !record.isCancelled;
        if (record.asked.kind != RequestKind::Completion || !isRunning)
            continue;
        const auto engine = state.inForce.upstreams.find(record.upstream);
        if (engine == state.inForce.upstreams.end())
            continue;
        // The keeper may have changed since the grant; the new one learns of the slot like this.
        record.keeper = engineKeeper(state, engine->second).value_or(record.keeper);
        byKeeper[{ record.keeper, record.upstream }].push_back(&record);
    }
    for (const auto &[where, records] : byKeeper) {
        SlotRenewal renewal;
        renewal.engine = where.second;
        renewal.serial = nextSerial(step);
        for (RequestRecord *record : records) {
            record->renewalSerial = renewal.serial;
            renewal.slots.push_back(RunningSlot{ record->asked.request, record->asked.adapter, true,
                                                 record->round });
        }
        sendTo(step, where.first, std::move(renewal));
    }
}

void onCallerLeft(Step &step, const CallerLeft &event)
{
    RequestRecord *record = recordOf(step.state, event.request);
    if (!record)
        return;
    if (record->phase == RequestPhase::Running && needsPermit(*record)) {
        record->isCallerGone = true; // the call goes on: its outcome answers the caller's repeat
        return;
    }
    if (record->phase == RequestPhase::Running)
        cancelAttempt(step, *record);
    countRefusal(step.state.counters, ResultCode::CallerGone);
    endRequest(step, *record);
}

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

namespace {

/// Ok, or why the tickets in force end the request. A retired adapter ends what waits for it; a
/// stream that runs on it is its caller's to the end.
ResultCode standingOf(const HostState &state, const RequestRecord &record)
{
    const Result<const Customer *> customer = customerOf(state.inForce, record.asked.key);
    if (!customer)
        return customer.error().code;
    if (customer.value()->id != record.customer)
        return ResultCode::KeyUnknown;
    const bool isWaitingForEngine = record.asked.kind == RequestKind::Completion
            && record.phase != RequestPhase::Running && record.generated.count == 0;
    if (!isWaitingForEngine)
        return ResultCode::Ok;
    const Result<AdapterView> adapter = adapterFor(state.inForce, record.customer,
                                                   record.asked.adapter);
    return adapter ? ResultCode::Ok : adapter.error().code;
}

} // namespace

void enforceTickets(Step &step)
{
    HostState &state = step.state;
    setUpstreams(state.routing, state.inForce.upstreams, state.self.zone);
    std::vector<std::pair<RequestId, ResultCode>> ended;
    if (std::exchange(state.tickets.isScanDue, false)) {
        for (const auto &[id, record] : state.requests) {
            const ResultCode code = standingOf(state, record);
            if (code != ResultCode::Ok)
                ended.emplace_back(id, code);
        }
    }
    for (const auto &[id, code] : ended) {
        RequestRecord &record = state.requests.at(id);
        const bool isRunning = record.phase == RequestPhase::Running;
        if (isRunning && !record.isIdempotent)
            continue; // a filing that was sent cannot be taken back; its answer is still the
                      // caller's
        if (isRunning)
            cancelAttempt(step, record);
        endRefused(step, record, code, isRunning ? RunState::Ran : RunState::NotRun);
    }
    applyShareTerms(step);
}

} // namespace azurewell::internal
