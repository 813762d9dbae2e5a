#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// Maximum time a request waits for its customer's rate; if the expected wait is longer, it is
/// refused at once.
constexpr Span maxTokenWait = fromSeconds(2);
/// Retry-After sent to callers if no better estimate is known.
constexpr Span defaultRetryAfter = fromSeconds(1);

} // namespace

RequestRecord *findRequest(HostState &state, const RequestId &id)
{
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

Tokens costOf(const RequestArrived &arrival)
{
    return arrival.promptTokens + arrival.maxGenerated;
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
    if (record.arrival.kind == RequestKind::Completion && !record.upstream.value.empty())
        sendTo(step, record.coordinator,
               SlotRelease{ record.arrival.request, record.upstream, used, record.round,
                            record.isCancelled });
}

/// Closes the attempt's connection and requests cancellation at the upstream. After a lost slot the
/// caller keeps the tokens it has, and another attempt generates the rest once the end of this one
/// has shown how many tokens were forwarded. Continuing without the slot would be quicker, but the
/// coordinator no longer pins the adapter for it.
void cancelAttempt(Step &step, RequestRecord &record)
{
    record.isCancelled = true;
    const auto upstream = step.state.inForce.upstreams.find(record.upstream);
    const bool isKnown = upstream != step.state.inForce.upstreams.end();
    const std::string address = isKnown ? upstream->second.address : std::string{};
    step.actions.emplace_back(CancelAttempt{ record.arrival.request, record.upstream, address });
}

void endRequest(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    uncountRouted(step, record);
    // unless an outcome was reported before, only a call never sent is "not run"
    if (needsPermit(record))
        reportOutcome(step, record,
                      record.attempt == 0 ? CallOutcome::NotRun : CallOutcome::Unknown);
    releaseSlot(step, record, record.arrival.promptTokens + record.generated);
    release(state.shares, record.arrival.request, step.now);
    const RequestId id = record.arrival.request; // a copy: the record holds the original
    std::erase(state.waitingForTokens, id);
    state.requests.erase(id);
}

void endRefused(Step &step, RequestRecord &record, ResultCode code, RunState runState)
{
    if (needsPermit(record) && runState == RunState::NotRun)
        runState = runStateIfNotSent(step, record);
    else if (needsPermit(record))
        reportOutcome(step, record, CallOutcome::Unknown);
    const bool isContradicted = runState == RunState::NotRun && record.mayHaveRun;
    refuse(step, record.arrival.request, code, isContradicted ? RunState::Unknown : runState,
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
    record.isStreamRateRecorded = false;
    ++state.counters.dispatched;
    if (record.generated.count > 0)
        ++state.counters.resumed;
    if (record.attempt == 1)
        settle(state.shares, record.arrival.request, record.arrival.promptTokens, step.now);
    step.actions.emplace_back(Dispatch{ record.arrival.request, record.attempt, record.upstream,
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
    const Instant sendDeadline = needsPermit(record) ? permitEnd(step, record)
                                                     : record.arrival.deadline;
    if (sendDeadline <= step.now) {
        endRefused(step, record, ResultCode::WaitedTooLong, RunState::NotRun);
        return;
    }
    record.upstream = *backEnd;
    countRouted(step, record);
    dispatch(step, record, sendDeadline);
}

namespace {

void start(Step &step, RequestRecord &record)
{
    countFirstAttempt(step.state.retryBudget);
    if (needsPermit(record))
        requestPermit(step, record);
    else if (record.arrival.kind == RequestKind::ServiceCall)
        callService(step, record);
    else
        requestSlot(step, record);
}

void refuseOverRate(Step &step, RequestRecord &record, Instant expected)
{
    const Span wait = expected == never ? defaultRetryAfter : expected - step.now;
    const RunState runState = needsPermit(record) ? runStateIfNotSent(step, record)
                                                  : RunState::NotRun;
    refuse(step, record.arrival.request, ResultCode::RateExceeded, runState,
           std::max(wait, defaultRetryAfter));
    endRequest(step, record);
}

/// Starts the request if the customer's rate admits it now.
bool tryAdmit(Step &step, RequestRecord &record)
{
    if (!reserve(step.state.shares, record.arrival.request, record.customer, costOf(record.arrival),
                 step.now))
        return false;
    start(step, record);
    return true;
}

/// Starts the request, queues it if its tokens are expected in time, or refuses it.
void admitOrWait(Step &step, RequestRecord &record)
{
    HostState &state = step.state;
    const CustomerId customer = record.customer; // a copy: the record may end below
    const Tokens ahead = waitingTokens(state, customer);
    // Requests of a customer are admitted in order: small requests must not starve a large one.
    if (ahead.count == 0 && tryAdmit(step, record))
        return;
    const Tokens cost = costOf(record.arrival);
    const Instant expected = expectedAt(state.shares, customer, cost, step.now);
    record.tokenDeadline = std::min(step.now + maxTokenWait, record.arrival.deadline);
    if (expected > record.tokenDeadline) {
        refuseOverRate(step, record, expected);
        return;
    }
    state.waitingForTokens.push_back(record.arrival.request);
    requestCustomerTokens(step, customer, ahead + cost);
}

/// A call with a number may have run for an earlier request. "Not run" would make the caller send
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
    ++state.counters.requestsArrived;
    const RunState initialRunState = runStateAtArrival(event);
    const bool isInGrace = state.process == ProcessState::Draining && step.now < state.servesUntil;
    if (state.process != ProcessState::Serving && !isInGrace) {
        const bool isStarting = state.process == ProcessState::Starting;
        refuse(step, event.request,
               isStarting ? ResultCode::HostStarting : ResultCode::HostDraining, initialRunState,
               defaultRetryAfter);
        return;
    }
    if (isWithoutUpdates(state, step.now)) {
        refuse(step, event.request, ResultCode::HostWithoutNews, initialRunState,
               defaultRetryAfter);
        return;
    }
    const Result<const Customer *> customer = customerOf(state.inForce, event.key);
    if (!customer) {
        refuse(step, event.request, customer.error().code, initialRunState);
        return;
    }
    if (event.kind == RequestKind::CallNumbers) {
        issueNumbers(step, event, customer.value()->id);
        return;
    }
    RequestRecord record;
    record.arrival = event;
    record.customer = customer.value()->id;
    if (event.kind == RequestKind::Completion) {
        const Result<AdapterView> adapter = adapterFor(state.inForce, record.customer,
                                                       event.adapter);
        if (!adapter) {
            refuse(step, event.request, adapter.error().code, initialRunState);
            return;
        }
    } else {
        const Result<const Service *> service = serviceFor(state.inForce, *customer.value(),
                                                           event.service);
        if (!service) {
            refuse(step, event.request, service.error().code, initialRunState);
            return;
        }
        record.isIdempotent = event.isSafeMethod || service.value()->isIdempotent;
    }
    if (costOf(event) > largestRequest(state.shares, record.customer)) {
        refuse(step, event.request, ResultCode::ExceedsBurst, initialRunState);
        return;
    }
    if (state.shares.isSuperseded) {
        refuse(step, event.request, ResultCode::NoShare, initialRunState, defaultRetryAfter);
        return;
    }
    RequestRecord &stored = state.requests[event.request] = std::move(record);
    admitOrWait(step, stored);
}

void admitWaiting(Step &step)
{
    HostState &state = step.state;
    const std::deque<RequestId> waiting = std::exchange(state.waitingForTokens, {});
    std::map<CustomerId, Tokens> stillWaiting;
    for (const RequestId &id : waiting) {
        RequestRecord *record = findRequest(state, id);
        if (!record)
            continue;
        const CustomerId customer = record->customer; // a copy: the record may end below
        const bool isBehind = stillWaiting[customer].count > 0;
        if (!isBehind && tryAdmit(step, *record))
            continue;
        if (record->tokenDeadline <= step.now) {
            refuseOverRate(step, *record,
                           expectedAt(state.shares, customer, costOf(record->arrival), step.now));
            continue;
        }
        stillWaiting[customer] += costOf(record->arrival);
        state.waitingForTokens.push_back(id);
    }
    for (const auto &[customer, tokens] : stillWaiting)
        requestCustomerTokens(step, customer, tokens);
}

void endOverdue(Step &step, const RequestId &request)
{
    RequestRecord *record = findRequest(step.state, request);
    if (!record)
        return;
    const bool isRunning = record->phase == RequestPhase::Running;
    if (isRunning && !record->isIdempotent) {
        // A call that was sent can't be cancelled; it uses no tokens beyond its prompt.
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
        if (record.phase != RequestPhase::Running && record.arrival.deadline <= step.now)
            expired.push_back(id);
    }
    for (const RequestId &id : expired)
        endRefused(step, state.requests.at(id), ResultCode::WaitedTooLong, RunState::NotRun);
    endEjections(step);
}

void onCallerLeft(Step &step, const CallerDisconnected &event)
{
    RequestRecord *record = findRequest(step.state, event.request);
    if (!record)
        return;
    if (record->phase == RequestPhase::Running && needsPermit(*record)) {
        // the call continues: its outcome answers the caller's repeat
        record->hasCallerDisconnected = true;
        return;
    }
    if (record->phase == RequestPhase::Running)
        cancelAttempt(step, *record);
    countRefusal(step.state.counters, ResultCode::CallerGone);
    endRequest(step, *record);
}

namespace {

/// Ok, or why the tickets in force end the request. A retired adapter ends requests that wait for
/// it; streams that already run on it continue to their end.
ResultCode reasonToEnd(const HostState &state, const RequestRecord &record)
{
    const Result<const Customer *> customer = customerOf(state.inForce, record.arrival.key);
    if (!customer)
        return customer.error().code;
    if (customer.value()->id != record.customer)
        return ResultCode::KeyUnknown;
    const bool isWaitingForEngine = record.arrival.kind == RequestKind::Completion
            && record.phase != RequestPhase::Running && record.generated.count == 0;
    if (!isWaitingForEngine)
        return ResultCode::Ok;
    const Result<AdapterView> adapter = adapterFor(state.inForce, record.customer,
                                                   record.arrival.adapter);
    return adapter ? ResultCode::Ok : adapter.error().code;
}

} // namespace

void enforceTickets(Step &step)
{
    HostState &state = step.state;
    setUpstreams(state.routing, state.inForce.upstreams, state.self.zone);
    std::vector<std::pair<RequestId, ResultCode>> ended;
    if (std::exchange(state.tickets.isRequestScanDue, false)) {
        for (const auto &[id, record] : state.requests) {
            const ResultCode code = reasonToEnd(state, record);
            if (code != ResultCode::Ok)
                ended.emplace_back(id, code);
        }
    }
    for (const auto &[id, code] : ended) {
        RequestRecord &record = state.requests.at(id);
        const bool isRunning = record.phase == RequestPhase::Running;
        if (isRunning && !record.isIdempotent)
            continue; // a call that was sent can't be cancelled; the caller still gets its answer
        if (isRunning)
            cancelAttempt(step, record);
        endRefused(step, record, code, isRunning ? RunState::Ran : RunState::NotRun);
    }
    applyShareTerms(step);
}

} // namespace azurewell::internal
