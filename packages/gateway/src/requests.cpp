#include "internal.h"

#include "azurewell/gateway/request_digest.h"
#include "azurewell/gateway/warmup.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Timeout of requests whose route states none. A caller's deadline can only shorten it.
constexpr Span defaultRequestTimeout = std::chrono::seconds(30);

/// A request that waits for an adapter is refused after this percentage of its route's objective
/// (target time to the answer): the rest is needed to read its prompt, and to its caller a late
/// answer is worth a third of one in time.
constexpr int adapterWaitPercent = 75;

/// After a stop request, the load balancer keeps sending all kinds of requests to this host for
/// this time. Only afterwards are those refused that may outlive the process.
constexpr Span stopServingTime = std::chrono::milliseconds(2500);

/// The process exits this long before the end of its grace period.
constexpr Span stopMargin = std::chrono::milliseconds(500);

/// Retry-after time of refusals by a stopping host: another host serves the retry at once.
constexpr Span drainingRetryAfter = std::chrono::milliseconds(50);

/// Retries that the fleet may save up, divided among its hosts (at least one each). Together with
/// retriesPerRequest it stays below the platform's bound, a fifth of the requests plus 50 or more,
/// as hosts that a partition separates each have their share.
constexpr double fleetRetryBurst = 40;

/// Retries earned per request.
constexpr double retriesPerRequest = 0.15;

void refuse(GatewayState &state, const RequestRecord &record, ResultCode code, Span retryAfter,
            Actions &actions)
{
    const bool isNotRun = record.possibleRuns == 0;
    ++state.counters.refusals[code];
    actions.refusals.push_back(
            { record.arrivedRequest.request, code, isNotRun, retryAfter, record.digest });
}

/// Whether a request that arrives while this host stops may last longer than the process, which
/// would break it off. Another host can serve it completely. Always false during stopServingTime.
bool mayOutliveProcess(const GatewayState &state, const RequestRecord &record, Instant now)
{
    if (!isStopping(state) || now < state.stopAskedAt + stopServingTime)
        return false;
    return record.deadline > state.stopAskedAt + state.self.stopGrace - stopMargin;
}

/// Whether a request may be sent to another upstream after \a outcome. If it may have run,
/// only before its answer starts, and only if it is idempotent or a stream that may be resumed
/// (here: started anew).
bool mayRepeat(const RequestRecord &record, AttemptOutcome outcome)
{
    if (outcome != AttemptOutcome::Failed)
        return true;
    return !record.hasAnswerStarted && mayRunAgain(record, record.possibleRuns);
}

HealthSignal healthSignalOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Failed:
    case AttemptOutcome::FaultStated:
        return HealthSignal::Failed;
    case AttemptOutcome::NotSent:
        return HealthSignal::Unreachable;
    case AttemptOutcome::Done:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::NotThere:
        break;
    }
    return HealthSignal::Answered;
}

/// Whether \a outcome shows that the upstream was alive after it received the request. NotThere
/// does not: another upstream may have the address.
bool hasAnswered(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Done || outcome == AttemptOutcome::NotRun
            || outcome == AttemptOutcome::FaultStated;
}

/// NotThere gives AdapterLoadFailed whatever was missing, also for a base model.
ResultCode codeOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotSent:
        return ResultCode::NoUpstream;
    case AttemptOutcome::NotRun:
        return ResultCode::UpstreamRefused;
    case AttemptOutcome::NotThere:
        return ResultCode::AdapterLoadFailed;
    case AttemptOutcome::Done:
    case AttemptOutcome::Failed:
    case AttemptOutcome::FaultStated:
        break;
    }
    return ResultCode::OutcomeUnknown;
}

/// How long an engine whose address another instance may have taken is avoided: the platform's list
/// is updated within this time.
constexpr Span replacedUpstreamAvoidance = std::chrono::seconds(1);

/// A plain upstream whose address another instance has is tried again after this time at the
/// earliest, unless its entry changes. The entry may be another writer's and never change.
constexpr Span replacedUpstreamTimeout = std::chrono::seconds(30);

bool isEngineService(const GatewayState &state, const ServiceId &id)
{
    const Service *service = findService(state.configuration, id);
    return service && service->engine;
}

/// Corrects the state of an upstream that did not have the model or adapter that this host
/// expected.
void handleNotThere(GatewayState &state, const RequestRecord &record, Instant now)
{
    const auto found = state.upstreams.find(record.upstream);
    if (found == state.upstreams.end())
        return;
    if (!isEngineService(state, record.service)) {
        found->second.replacedUntil = now + replacedUpstreamTimeout;
        return;
    }
    EngineState &engine = found->second.engine;
    if (engine.models.empty() || record.arrivedRequest.model.model.empty()) {
        found->second.avoidedUntil = now + replacedUpstreamAvoidance;
        return;
    }
    if (record.arrivedRequest.model.isBase()) {
        std::erase(engine.models, record.arrivedRequest.model.model);
        return;
    }
    std::erase_if(engine.ready, [&](const LoadedAdapter &adapter) {
        return adapter.name == record.arrivedRequest.model;
    });
}

/// Takes over what the host that forwarded a request has decided.
void takeForwarded(GatewayState &state, RequestRecord &record, Actions &actions)
{
    const ForwardedRequest &forwarded = *record.arrivedRequest.forwarded;
    ++state.counters.forwardsReceived;
    record.customer = forwarded.customer;
    record.service = forwarded.service;
    actions.logEvents.push_back({ "forward_received",
                                  { { "request", record.arrivedRequest.callerId },
                                    { "service", forwarded.service.value },
                                    { "host", forwarded.sender.value } } });
}

/// The attempts that \a route allows, without those of the host that forwarded the request.
std::uint32_t attemptsLeft(const Route &route, const RequestArrived &event)
{
    const std::uint32_t used = event.forwarded ? event.forwarded->possibleRuns : 0;
    return std::max(route.maxAttempts, used + 1) - used;
}

/// Time until the request gets a final answer.
Span timeAllowed(const Route &route, const RequestArrived &event)
{
    const Span routeLimit = timeoutOf(route);
    if (event.forwarded)
        return std::min(event.forwarded->allowed, routeLimit);
    return event.allowed > Span{} ? std::min(event.allowed, routeLimit) : routeLimit;
}

/// Sends an idempotent request to another upstream after an answer that states a fault of the
/// upstream (FaultStated). If that is not possible, the caller gets this answer.
bool repeatAfterFault(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    ++record.possibleRuns;
    if (isQuarantined(state, record))
        return false;
    if (record.repeat != RepeatPolicy::Idempotent || record.possibleRuns >= record.maxAttempts
        || now >= record.deadline)
        return false;
    record.excluded.insert(record.upstream);
    UpstreamNeed need = needOf(state, record);
    // Sent at once, without admission by the engine's coordinator.
    need.isSentWithoutAdmission = true;
    const Upstream *other = chooseUpstream(state.upstreams, need, state.versions, draw(state), now);
    if (!other || !takeRetry(retryBudgetOf(state, record.service)))
        return false;
    if (limitsColdUpstreams(state, *other) && !takeOwnShare(state, *other, now))
        return false;
    ++state.counters.retries[ResultCode::UpstreamFailed];
    const UpstreamId id = other->listed.id;
    dispatch(state, record, id, need.model, now, actions);
    return true;
}

/// Places a request again that an engine rejected because the load of its adapter was not done.
/// takeRetry() was already called when this early attempt was sent.
void placeAfterEarlyAttempt(GatewayState &state, RequestRecord &record, Instant now,
                            Actions &actions)
{
    record.isEarlyAttempt = false;
    ++state.counters.retries[ResultCode::AdapterLoadFailed];
    place(state, record, now, actions);
}

/// Cancels the attempt of \a record, if one is in progress; the request may have run.
void cancelAttempt(RequestRecord &record, Actions &actions)
{
    if (record.phase == RequestPhase::Waiting)
        return;
    ++record.possibleRuns;
    actions.cancels.push_back({ record.arrivedRequest.request });
}

CallerStage stageOf(const RequestRecord &record, bool isSent)
{
    if (!isSent)
        return CallerStage::Waiting;
    if (record.hasAnswerStarted)
        return CallerStage::Answering;
    switch (record.phase) {
    case RequestPhase::AtUpstream:
        return CallerStage::AtUpstream;
    case RequestPhase::AtPeer:
        return CallerStage::AtPeer;
    case RequestPhase::Waiting:
        break;
    }
    return CallerStage::Waiting;
}

void logCallerLeft(const RequestRecord &record, CallerStage stage, Instant now, Actions &actions)
{
    actions.logEvents.push_back(
            { "caller_left",
              { { "request", record.arrivedRequest.callerId },
                { "digest", inHex(record.digest) },
                { "stage", std::string(nameOf(stage)) },
                { "upstream", record.upstream.value },
                { "path", record.arrivedRequest.path },
                { "adapter", record.arrivedRequest.model.adapter },
                { "attempts", std::to_string(record.attempt) },
                { "after_ms", std::to_string(inMilliseconds(now - record.arrivedAt)) } } });
}

void endAttempt(GatewayState &state, const AttemptEnded &event, Instant now, Actions &actions)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end() || found->second.attempt != event.attempt)
        return;
    RequestRecord &record = found->second;
    reportRead(state, record, event.outcome != AttemptOutcome::Done, now);
    if (event.outcome == AttemptOutcome::Done && record.phase == RequestPhase::AtUpstream)
        recordAnswerTime(state, record, now);
    detachFromUpstream(state, record);
    if (event.outcome == AttemptOutcome::NotSent || event.isCutOff)
        suspectPath(state, record.service, now);
    const auto upstream = state.upstreams.find(record.upstream);
    if (upstream != state.upstreams.end())
        recordHealth(upstream->second, healthSignalOf(event.outcome), now);
    if (event.isCutOff && event.outcome == AttemptOutcome::Failed)
        recordConnectionLost(state, record, now, actions);
    else if (hasAnswered(event.outcome))
        recordAnswered(state, record, event.isEndShown, now);
    if (event.outcome == AttemptOutcome::Done && event.isEndShown)
        clearSuspicionsOf(state, record, now, actions);
    if (record.isEarlyAttempt)
        handleEarlyAttemptEnd(state, record, event.outcome, now);
    if (record.isEarlyAttempt && isTurnedAway(event.outcome) && now < record.deadline) {
        placeAfterEarlyAttempt(state, record, now, actions);
        return;
    }
    if (std::exchange(record.isEarlyAttempt, false))
        returnRetry(retryBudgetOf(state, record.service));
    if (event.outcome == AttemptOutcome::FaultStated
        && repeatAfterFault(state, record, now, actions))
        return;
    if (event.outcome == AttemptOutcome::Done || event.outcome == AttemptOutcome::FaultStated) {
        ++state.counters.answered;
        eraseRequest(state, event.request);
        return;
    }
    record.hasAnswerStarted = record.hasAnswerStarted || event.hasAnswerStarted;
    record.excluded.insert(record.upstream);
    if (event.outcome == AttemptOutcome::Failed)
        ++record.possibleRuns;
    if (event.outcome == AttemptOutcome::NotThere)
        handleNotThere(state, record, now);
    const ResultCode cause = codeOf(event.outcome);
    // An attempt that reached no upstream adds no load, so it costs no retry.
    const bool isFree = event.outcome == AttemptOutcome::NotSent;
    if (!mayRepeat(record, event.outcome) || now >= record.deadline) {
        refuseAndForget(state, record, cause, shortRetryAfter, actions);
        return;
    }
    if (!isFree && !takeRetry(retryBudgetOf(state, record.service))) {
        refuseAndForget(state, record,
                        record.possibleRuns > 0 ? cause : ResultCode::RetryBudgetSpent,
                        shortRetryAfter, actions);
        return;
    }
    ++state.counters.retries[cause];
    place(state, record, now, actions);
}

} // namespace

std::string_view nameOf(CallerStage stage)
{
    switch (stage) {
    case CallerStage::NotBegun:
        return "not_begun";
    case CallerStage::Waiting:
        return "waiting";
    case CallerStage::AtUpstream:
        return "at_upstream";
    case CallerStage::AtPeer:
        return "at_host";
    case CallerStage::Answering:
        break;
    }
    return "answering";
}

Span timeoutOf(const Route &route)
{
    return route.timeout > Span{} ? route.timeout : defaultRequestTimeout;
}

void eraseRequest(GatewayState &state, RequestNumber request)
{
    const auto found = state.requests.find(request);
    if (found != state.requests.end()) {
        returnAdmissions(state, found->second);
        reportRead(state, found->second, true, found->second.sentAt);
    }
    state.waiting.erase(request);
    state.requestDeadlines.erase(request);
    state.requests.erase(request);
}

bool mayRunAgain(const RequestRecord &record, std::uint32_t possibleRuns)
{
    const bool isRepeatable = record.repeat == RepeatPolicy::Idempotent
            || (record.repeat == RepeatPolicy::Stream && record.isResumable);
    return isRepeatable && possibleRuns < record.maxAttempts;
}

bool isTurnedAway(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::NotThere;
}

RetryBudget &retryBudgetOf(GatewayState &state, const ServiceId &service)
{
    RetryBudget &budget = state.retryBudgets[service];
    const double hosts = static_cast<double>(countKnown(state.members) + 1);
    budget.maxSaved = std::max(fleetRetryBurst / hosts, 1.0);
    budget.earned = retriesPerRequest;
    return budget;
}

/// Removes the request of \a record from the work in progress at its upstream.
void detachFromUpstream(GatewayState &state, RequestRecord &record)
{
    if (std::exchange(record.phase, RequestPhase::Waiting) != RequestPhase::AtUpstream)
        return;
    const auto found = state.upstreams.find(record.upstream);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    upstream.requestsInFlight -= std::min(upstream.requestsInFlight, 1U);
    if (endUse(state.ownUses, { record.upstream, record.arrivedRequest.model }))
        state.enginesWithEndedUses.insert(record.upstream);
}

void refuseAndForget(GatewayState &state, RequestRecord &record, ResultCode code, Span retryAfter,
                     Actions &actions)
{
    detachFromUpstream(state, record);
    refuse(state, record, code, retryAfter, actions);
    eraseRequest(state, record.arrivedRequest.request);
}

void handle(GatewayState &state, const RequestArrived &event, Instant now, Actions &actions)
{
    ++state.counters.requests;
    state.counters.unreadableParts += event.arePartsUnreadable ? 1 : 0;
    RequestRecord &record = state.requests[event.request];
    record.arrivedRequest = event;
    record.arrivedAt = now;
    const Configuration &configuration = state.configuration;
    if (configuration.version == 0) {
        refuseAndForget(state, record, ResultCode::HostStarting, shortRetryAfter, actions);
        return;
    }
    const Route *route = findRoute(configuration, event.host, event.path);
    if (!route) {
        refuseAndForget(state, record, ResultCode::UnknownPath, Span{}, actions);
        return;
    }
    const Customer *customer = event.key ? findCustomer(configuration, *event.key) : nullptr;
    const bool isForwarded = event.forwarded.has_value();
    if (isForwarded) {
        takeForwarded(state, record, actions);
    } else if (!customer && !route->isPublic && !configuration.customers.empty()) {
        refuseAndForget(state, record, event.key ? ResultCode::KeyUnknown : ResultCode::KeyMissing,
                        Span{}, actions);
        return;
    } else {
        const ServiceId *service = pickService(*route, draw(state));
        if (!service) {
            refuseAndForget(state, record, ResultCode::NoUpstream, shortRetryAfter, actions);
            return;
        }
        record.service = *service;
        record.customer = customer ? customer->id : CustomerId{};
    }
    record.digest = digestOf(record.customer, event.content);
    for (const PromptPartId &part : event.promptParts)
        record.partDigests.push_back(digestOf(part));
    const Customer *owner = customer ? customer : findCustomer(configuration, record.customer);
    record.priority = priorityOf(configuration, *route, owner, record.service);
    record.maxPause = route->maxPause;
    record.repeat = route->repeat;
    record.isResumable = route->isResumable;
    record.maxAttempts = attemptsLeft(*route, event);
    if (isDispatchBlocked(state, record, now)) {
        refuseQuarantined(state, record, now, actions);
        return;
    }
    record.deadline = now + timeAllowed(*route, event);
    record.wantedBy = now + route->objective;
    state.requestDeadlines.set(event.request, record.deadline);
    record.placementDeadline = std::min(record.deadline,
                                        now + route->objective * adapterWaitPercent / 100);
    if (mayOutliveProcess(state, record, now)) {
        refuseAndForget(state, record, ResultCode::HostDraining, drainingRetryAfter, actions);
        return;
    }
    if (!isForwarded)
        countFirstAttempt(retryBudgetOf(state, record.service));
    if (customer && !isForwarded) {
        const MeterStart useBeforeStart = meterStart(state, now);
        const std::optional<Span> wait = admit(
                state.meters[customer->id], *customer, costOf(*customer, event.totalTokens),
                currentLimits(state), useBeforeStart, state.members, now);
        if (wait) {
            refuseAndForget(state, record, ResultCode::RateExceeded,
                            std::max(*wait, shortRetryAfter), actions);
            return;
        }
    }
    place(state, record, now, actions);
}

void handle(GatewayState &state, const CallerDisconnected &event, Instant now, Actions &actions)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end())
        return;
    const CallerStage stage = stageOf(found->second, event.isSent);
    ++state.counters.callersLeft[stage];
    logCallerLeft(found->second, stage, now, actions);
    if (found->second.phase != RequestPhase::Waiting)
        actions.cancels.push_back({ event.request });
    detachFromUpstream(state, found->second);
    eraseRequest(state, event.request);
    runAdmissions(state, now, actions);
}

void handle(GatewayState &state, const AnswerBegan &event, Instant now, Actions &actions)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end() || found->second.attempt != event.attempt)
        return;
    RequestRecord &record = found->second;
    if (!acceptFirstEvent(state, record, now, actions))
        return;
    record.hasAnswerStarted = true;
    record.answerStartedAt = now;
    if (record.phase != RequestPhase::AtUpstream)
        return;
    reportRead(state, record, false, now);
    runAdmissions(state, now, actions);
    recordAnswered(state, record, true, now);
    recordFirstEventTime(state, record, now);
}

void handle(GatewayState &state, const AttemptEnded &event, Instant now, Actions &actions)
{
    endAttempt(state, event, now, actions);
    runAdmissions(state, now, actions);
}

void endAllRequests(GatewayState &state, Actions &actions)
{
    while (!state.requests.empty()) {
        RequestRecord &record = state.requests.begin()->second;
        cancelAttempt(record, actions);
        refuseAndForget(state, record,
                        record.possibleRuns > 0 ? ResultCode::OutcomeUnknown
                                                : ResultCode::HostDraining,
                        drainingRetryAfter, actions);
    }
}

void endOverdue(GatewayState &state, Instant now, Actions &actions)
{
    while (const std::optional<RequestNumber> request = state.requestDeadlines.takeDue(now)) {
        RequestRecord &record = state.requests.at(*request);
        cancelAttempt(record, actions);
        if (record.phase == RequestPhase::AtUpstream) {
            const auto upstream = state.upstreams.find(record.upstream);
            if (upstream != state.upstreams.end() && !record.hasAnswerStarted)
                recordHealth(upstream->second, HealthSignal::Failed, now);
        }
        // UpstreamSilent: the request may have run. DeadlineUnreachable: it did not run.
        refuseAndForget(state, record,
                        record.possibleRuns > 0 ? ResultCode::UpstreamSilent
                                                : ResultCode::DeadlineUnreachable,
                        shortRetryAfter, actions);
    }
}

} // namespace azurewell::gateway
