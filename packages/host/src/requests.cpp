#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// A request that its customer's rate can admit within this time waits instead of being refused.
constexpr Span longestTokenWait = fromSeconds(2);
/// Tells callers when to come back where nothing better is known.
constexpr Span defaultRetryAfter = fromSeconds(1);

} // namespace

RequestRecord *recordOf(HostState &state, const RequestId &id)
{
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

Tokens costOf(const RequestArrived &asked)
{
    return asked.promptTokens + asked.mostGenerated;
}

namespace {

void refuse(Step &step, const RequestId &request, ResultCode code, RunState runState,
            std::optional<Span> retryAfter = {}, const std::string &detail = {})
{
    countRefusal(step.state.counters, code);
    step.actions.emplace_back(Refuse{ request, code, runState, retryAfter, detail });
}

} // namespace

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

/// Whether \a upstream may get new work now, by ticket and by the platform's list.
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
