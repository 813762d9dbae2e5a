#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A request without a deadline of its caller and its route.
constexpr Span longestRequest = std::chrono::seconds(30);

/// A request that waits for an adapter is given up after this part of its objective, in hundredths:
/// the rest is needed to read its prompt, and an answer after the objective is worth a third.
constexpr int waitPercent = 75;

/// Callers are sent away for so long when something passes by itself soon. A crashed engine or a
/// full one has room again within about a second; callers wait at the most a third of the time
/// that they have left.
constexpr Span soon = std::chrono::milliseconds(400);

/// Callers that are refused for a busy weight store come back spread over this time.
constexpr Span returnSpread = std::chrono::milliseconds(600);

/// A request whose load is on its way waits for so much longer: a late answer is worth more to its
/// caller than none, and the load is paid for.
constexpr Span extraWait = std::chrono::milliseconds(900);

/// A load that was ordered is done by then: callers that come back find the adapter.
constexpr Span loadDoneAfter = std::chrono::milliseconds(350);

/// After a stop was asked for, the balancer still sends requests of all kinds for so long.
constexpr Span servesAllAfterStop = std::chrono::milliseconds(2500);

/// The process leaves so long before the end of its grace.
constexpr Span stopMargin = std::chrono::milliseconds(500);

/// A caller that is sent away by a host that stops finds another one at once.
constexpr Span otherHostAnswers = std::chrono::milliseconds(50);

/// Saved retries of one host. The fleet may make about 50 more than its part of the requests.
constexpr double savedRetriesOfFleet = 40;

/// Retries earned by one request. The fleet may make a fifth.
constexpr double retriesEarned = 0.15;

/// An answer takes about this long for each prompt token and from its start on; used only to keep
/// requests away from an upstream that is about to be switched off.
constexpr Span likelyDuration = std::chrono::milliseconds(1200);

void refuse(GatewayState &state, const RequestRecord &record, ResultCode code, Span retryAfter,
            Actions &actions)
{
    const bool isNotRun = record.mayHaveRun == 0;
    ++state.counters.refusals[code];
    actions.refusals.push_back({ record.asked.request, code, isNotRun, retryAfter });
}

Span spreadReturn(GatewayState &state)
{
    return soon + std::chrono::duration_cast<Span>(returnSpread * draw(state));
}

/// Forgets that \a record is at its upstream.
void leaveUpstream(GatewayState &state, RequestRecord &record)
{
    const auto found = state.upstreams.find(record.upstream);
    if (record.phase != RequestPhase::AtUpstream || found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    upstream.underWay -= std::min(upstream.underWay, 1U);
    endUse(state.ownUses, { record.upstream, record.asked.model });
}

void forget(GatewayState &state, RequestNumber request)
{
    state.waiting.erase(request);
    state.requests.erase(request);
}

void refuseAndForget(GatewayState &state, RequestRecord &record, ResultCode code, Span retryAfter,
                     Actions &actions)
{
    leaveUpstream(state, record);
    refuse(state, record, code, retryAfter, actions);
    forget(state, record.asked.request);
}

UpstreamNeed needOf(const GatewayState &state, const RequestRecord &record)
{
    UpstreamNeed need;
    need.service = record.service;
    const Service *service = findService(state.configuration, record.service);
    if (service && service->engine)
        need.model = record.asked.model;
    need.excluded = record.excluded;
    need.duration = likelyDuration;
    need.zone = state.self.zone;
    return need;
}

void dispatch(GatewayState &state, RequestRecord &record, const UpstreamId &id,
              const ModelName &model, Instant now, Actions &actions)
{
    Upstream &upstream = state.upstreams.at(id);
    ++upstream.underWay;
    const double prompt = static_cast<double>(record.asked.promptTokens.count);
    add(upstream.ownPrompts, prompt, promptLife, now);
    state.newWork.insert(id);
    if (!model.isBase())
        add(state.adapterDemand[model], prompt, demandLife, now);
    record.phase = RequestPhase::AtUpstream;
    record.upstream = id;
    record.hasAnswerBegun = false;
    ++record.attempt;
    state.waiting.erase(record.asked.request);
    if (!model.isBase()) {
        noteUse(state, id, model, now);
        tellUse(state, upstream, now, actions);
    }
    const LoadedAdapter *loaded = upstream.engine.findReady(model);
    const bool isVersioned = loaded && state.versions.contains(model);
    ++state.counters.dispatched;
    actions.dispatches.push_back({ record.asked.request, record.attempt, id,
                                   upstream.listed.address, record.customer,
                                   isVersioned ? loaded->version : 0, record.deadline - now,
                                   record.repeat != RepeatPolicy::Stream });
}

/// While this host stops, a request that arrives late and may last longer than the process would be
/// cut off. Another host can serve it whole.
bool endsTooLate(const GatewayState &state, const RequestRecord &record, Instant now)
{
    if (!isStopping(state) || now < state.stopAskedAt + servesAllAfterStop)
        return false;
    return record.deadline > state.stopAskedAt + state.self.stopGrace - stopMargin;
}

RetryBudget &budgetOf(GatewayState &state, const ServiceId &service)
{
    RetryBudget &budget = state.retryBudgets[service];
    const double hosts = static_cast<double>(countKnown(state.members) + 1);
    budget.mostSaved = std::max(savedRetriesOfFleet / hosts, 1.0);
    budget.earned = retriesEarned;
    return budget;
}

/// Whether a request may be sent to another upstream after \a outcome.
bool mayRepeat(const RequestRecord &record, AttemptOutcome outcome)
{
    if (outcome != AttemptOutcome::Failed)
        return true;
    const bool isRepeatable = record.repeat == RepeatPolicy::Idempotent
            || (record.repeat == RepeatPolicy::Stream && record.isResumable);
    return isRepeatable && !record.hasAnswerBegun && record.mayHaveRun < record.mostAttempts;
}

UpstreamSign signOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Failed:
    case AttemptOutcome::FaultStated:
        return UpstreamSign::Failed;
    case AttemptOutcome::NotSent:
        return UpstreamSign::Unreachable;
    case AttemptOutcome::Done:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::NotThere:
        break;
    }
    return UpstreamSign::Answered;
}

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

/// Another upstream has the address now; the platform's list will say so within this time.
constexpr Span strangerAvoidance = std::chrono::seconds(1);

/// The upstream did not have what this host thought it had.
void noteNotThere(GatewayState &state, const RequestRecord &record, Instant now)
{
    const auto found = state.upstreams.find(record.upstream);
    if (found == state.upstreams.end())
        return;
    EngineState &engine = found->second.engine;
    if (engine.models.empty() || record.asked.model.model.empty()) {
        found->second.avoidedUntil = now + strangerAvoidance;
        return;
    }
    if (record.asked.model.isBase()) {
        std::erase(engine.models, record.asked.model.model);
        return;
    }
    std::erase_if(engine.ready,
                  [&](const LoadedAdapter &adapter) { return adapter.name == record.asked.model; });
}

/// A popular adapter is loaded at a second engine when those that have it are this much behind, in
/// starts of requests. An engine makes a step of its batch between pieces of prompts: with prompts
/// of 8,800 tokens every 400 ms, 4.9 starts, the streams that it has get an event of three tokens
/// every 600 ms, where callers expect one every 400 ms.
constexpr double waitForAnotherCopy = 1.2;

/// Prompt tokens that one copy of an adapter is meant to get in a second: 4 parts in 10 of the
/// 22,100 that an engine reads, since it has other adapters as well.
constexpr double tokensOfOneCopy = 8800;

/// How many engines should have \a adapter, from what this host's callers send: the balancer gives
/// it its part of them.
std::size_t wantedCopies(const GatewayState &state, const ModelName &adapter, Instant now)
{
    const auto found = state.adapterDemand.find(adapter);
    if (found == state.adapterDemand.end())
        return 1;
    const double perSecond = valueAt(found->second, demandLife, now) / toSeconds(demandLife);
    const double hosts = static_cast<double>(countHeard(state.members, now) + 1);
    return 1 + static_cast<std::size_t>(perSecond * hosts / tokensOfOneCopy);
}

void spreadIfCrowded(GatewayState &state, const Upstream &chosen, const UpstreamNeed &need,
                     Instant now, Actions &actions)
{
    if (need.model.isBase() || expectedWait(chosen, now) < waitForAnotherCopy
        || state.awaitedLoads.contains(need.model))
        return;
    UpstreamNeed other = need;
    std::size_t copies = 0;
    for (const auto &[id, upstream] : state.upstreams) {
        if (!upstream.engine.findReady(need.model) && !upstream.engine.isLoading(need.model))
            continue;
        other.excluded.insert(id);
        copies += isUsable(upstream, now) ? 1 : 0;
    }
    if (copies >= wantedCopies(state, need.model, now))
        return;
    awaitLoad(state, need.model, other, now, actions);
}

/// Has one more engine load the adapter of \a need.
void loadCopy(GatewayState &state, const UpstreamNeed &need, Instant now, Actions &actions)
{
    if (state.awaitedLoads.contains(need.model))
        return;
    UpstreamNeed other = need;
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.engine.findReady(need.model) || upstream.engine.isLoading(need.model))
            other.excluded.insert(id);
    }
    awaitLoad(state, need.model, other, now, actions);
}

/// The answer of the host that orders at an engine is awaited for so long: messages take 2 to 4 ms,
/// and a small host may be busy for some time.
constexpr Span turnAnsweredWithin = std::chrono::milliseconds(30);

/// Whether the prompt of \a record may leave for \a engine now. Asks the host that paces the
/// prompts of that engine; where it does not answer, the prompt goes.
bool hasTurn(GatewayState &state, RequestRecord &record, const Upstream &engine,
             const UpstreamNeed &need, Instant now, Actions &actions)
{
    if (record.turn != PromptTurnState::NotAsked)
        return now >= record.turnAt;
    const double tokens = static_cast<double>(record.asked.promptTokens.count);
    const HostId holder = askedHolder(state, engine, now);
    if (holder == state.self.id) {
        PromptPacer &pacer = state.engines[engine.listed.id].pacer;
        const PromptTurn turn = takeTurn(pacer, need.model, tokens, now);
        takeTurnOf(state, record, turn, now, actions);
        return now >= record.turnAt;
    }
    record.turn = PromptTurnState::Asked;
    record.turnAt = now + turnAnsweredWithin;
    SendGossip ask{ state.members.others.at(holder).address, blankGossip(state, now) };
    ask.message.promptAsks.push_back(
            { engine.listed.id, need.model, record.asked.request.value, tokens });
    actions.gossip.push_back(std::move(ask));
    return false;
}

/// Load pattern: callers send in clumps, and several hosts send theirs to one engine in the same
/// half second. The engine reads all the prompts before it makes the next steps of its batch, and
/// each stream that it has pauses for longer than its callers take for fluent: of 1,700 streams of
/// a calm day 230 did. A prompt that waits for a quarter of a second is still in time.
constexpr double crowdedEngine = 3.5;
constexpr Span longestHold = std::chrono::milliseconds(250);

bool isBetterHeld(const RequestRecord &record, const Upstream &chosen, const UpstreamNeed &need,
                  Instant now)
{
    return !need.model.model.empty() && now < record.arrivedAt + longestHold
            && expectedWait(chosen, now) > crowdedEngine;
}

/// Sends an idempotent request to another upstream after one that stated a fault of its own. Where
/// that cannot be done, the caller gets the fault as it was stated.
bool repeatAfterFault(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    ++record.mayHaveRun;
    if (record.repeat != RepeatPolicy::Idempotent || record.mayHaveRun >= record.mostAttempts
        || now >= record.deadline)
        return false;
    record.excluded.insert(record.upstream);
    const UpstreamNeed need = needOf(state, record);
    const Upstream *other = chooseUpstream(state.upstreams, need, state.versions, draw(state), now);
    if (!other || !takeRetry(budgetOf(state, record.service)))
        return false;
    ++state.counters.retries[ResultCode::UpstreamFailed];
    const UpstreamId id = other->listed.id;
    dispatch(state, record, id, need.model, now, actions);
    return true;
}

} // namespace

void takeTurnOf(GatewayState &state, RequestRecord &record, const PromptTurn &turn, Instant now,
                Actions &actions)
{
    record.turn = PromptTurnState::Known;
    record.turnAt = now + turn.wait;
    if (turn.isCopyWanted)
        loadCopy(state, needOf(state, record), now, actions);
}

void place(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const UpstreamNeed need = needOf(state, record);
    const Upstream *chosen = chooseUpstream(state.upstreams, need, state.versions, draw(state),
                                            now);
    if (chosen && isBetterHeld(record, *chosen, need, now)) {
        record.phase = RequestPhase::Waiting;
        state.waiting.insert(record.asked.request);
        return;
    }
    if (chosen && !isSmallFleet(state) && !need.model.isBase()
        && !hasTurn(state, record, *chosen, need, now, actions)) {
        record.phase = RequestPhase::Waiting;
        state.waiting.insert(record.asked.request);
        return;
    }
    if (chosen) {
        const UpstreamId id = chosen->listed.id;
        if (isSmallFleet(state))
            spreadIfCrowded(state, *chosen, need, now, actions);
        dispatch(state, record, id, need.model, now, actions);
        return;
    }
    if (need.model.model.empty() || need.model.isBase()) {
        refuseAndForget(state, record, ResultCode::NoUpstream, soon, actions);
        return;
    }
    switch (awaitLoad(state, need.model, need, now, actions)) {
    case LoadProspect::Coming:
        record.phase = RequestPhase::Waiting;
        state.waiting.insert(record.asked.request);
        break;
    case LoadProspect::StoreBusy:
        refuseAndForget(state, record, ResultCode::QueueFull, spreadReturn(state), actions);
        break;
    case LoadProspect::NotHere:
        refuseAndForget(state, record, ResultCode::AdapterLoadFailed, soon, actions);
        break;
    }
}

void handle(GatewayState &state, const RequestArrived &event, Instant now, Actions &actions)
{
    ++state.counters.requests;
    RequestRecord &record = state.requests[event.request];
    record.asked = event;
    record.arrivedAt = now;
    const Configuration &configuration = state.configuration;
    if (configuration.version == 0) {
        refuseAndForget(state, record, ResultCode::HostStarting, soon, actions);
        return;
    }
    const Route *route = findRoute(configuration, event.host, event.path);
    if (!route) {
        refuseAndForget(state, record, ResultCode::UnknownPath, Span{}, actions);
        return;
    }
    const Customer *customer = event.key ? findCustomer(configuration, *event.key) : nullptr;
    if (!customer && !route->isPublic && !configuration.customers.empty()) {
        refuseAndForget(state, record, event.key ? ResultCode::KeyUnknown : ResultCode::KeyMissing,
                        Span{}, actions);
        return;
    }
    const ServiceId *service = pickService(*route, draw(state));
    if (!service) {
        refuseAndForget(state, record, ResultCode::NoUpstream, soon, actions);
        return;
    }
    record.service = *service;
    record.repeat = route->repeat;
    record.isResumable = route->isResumable;
    record.mostAttempts = std::max(route->mostAttempts, 1U);
    const Span routeLimit = route->timeout > Span{} ? route->timeout : longestRequest;
    record.deadline = now
            + (event.allowed > Span{} ? std::min(event.allowed, routeLimit) : routeLimit);
    record.placedBy = std::min(record.deadline, now + route->objective * waitPercent / 100);
    if (endsTooLate(state, record, now)) {
        refuseAndForget(state, record, ResultCode::HostDraining, otherHostAnswers, actions);
        return;
    }
    countFirstTry(budgetOf(state, record.service));
    if (customer) {
        record.customer = customer->id;
        const MeterStart start = meterStart(state, now);
        const std::optional<Span> wait = admit(state.meters[customer->id], *customer,
                                               costOf(*customer, event.totalTokens),
                                               currentLimits(state), start, state.members, now);
        if (wait) {
            refuseAndForget(state, record, ResultCode::RateExceeded, std::max(*wait, soon),
                            actions);
            return;
        }
    }
    place(state, record, now, actions);
}

void handle(GatewayState &state, const CallerLeft &event, Instant, Actions &actions)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end())
        return;
    ++state.counters.callersLeft;
    if (found->second.phase == RequestPhase::AtUpstream)
        actions.cancels.push_back({ event.request });
    leaveUpstream(state, found->second);
    forget(state, event.request);
}

void handle(GatewayState &state, const AnswerBegan &event, Instant, Actions &)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end() || found->second.attempt != event.attempt)
        return;
    found->second.hasAnswerBegun = true;
}

void handle(GatewayState &state, const AttemptEnded &event, Instant now, Actions &actions)
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end() || found->second.attempt != event.attempt)
        return;
    RequestRecord &record = found->second;
    leaveUpstream(state, record);
    const auto upstream = state.upstreams.find(record.upstream);
    if (upstream != state.upstreams.end())
        noteSign(upstream->second, signOf(event.outcome), now);
    if (event.outcome == AttemptOutcome::FaultStated
        && repeatAfterFault(state, record, now, actions))
        return;
    if (event.outcome == AttemptOutcome::Done || event.outcome == AttemptOutcome::FaultStated) {
        ++state.counters.answered;
        forget(state, event.request);
        return;
    }
    record.hasAnswerBegun = record.hasAnswerBegun || event.hasAnswerBegun;
    record.excluded.insert(record.upstream);
    if (event.outcome == AttemptOutcome::Failed)
        ++record.mayHaveRun;
    if (event.outcome == AttemptOutcome::NotThere)
        noteNotThere(state, record, now);
    const ResultCode cause = codeOf(event.outcome);
    // An attempt that reached no upstream is no load on any, so it costs no retry.
    const bool isFree = event.outcome == AttemptOutcome::NotSent;
    if (!mayRepeat(record, event.outcome) || now >= record.deadline) {
        refuseAndForget(state, record, cause, soon, actions);
        return;
    }
    if (!isFree && !takeRetry(budgetOf(state, record.service))) {
        refuseAndForget(state, record, record.mayHaveRun > 0 ? cause : ResultCode::RetryBudgetSpent,
                        soon, actions);
        return;
    }
    ++state.counters.retries[cause];
    place(state, record, now, actions);
}

void handle(GatewayState &state, const LoadStated &event, Instant now)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end())
        return;
    found->second.load = event.load;
    found->second.loadAt = now;
}

bool isReadySomewhere(const GatewayState &state, const RequestRecord &record, Instant now)
{
    return now < record.deadline
            && chooseUpstream(state.upstreams, needOf(state, record), state.versions, 0, now);
}

void refuseWaiting(GatewayState &state, const ModelName &adapter, Instant now, Actions &actions)
{
    const std::set<RequestNumber> waiting = state.waiting;
    for (const RequestNumber &request : waiting) {
        RequestRecord &record = state.requests.at(request);
        // Some wait for their turn at an engine that has it: just another copy does not come.
        if (record.asked.model != adapter || isReadySomewhere(state, record, now))
            continue;
        refuseAndForget(state, record, ResultCode::QueueFull, spreadReturn(state), actions);
    }
    state.awaitedLoads.erase(adapter);
}

/// Whether the load that \a record waits for is on its way: giving up now would waste it.
bool isLoadUnderWay(const GatewayState &state, const RequestRecord &record)
{
    const auto awaited = state.awaitedLoads.find(record.asked.model);
    if (awaited == state.awaitedLoads.end())
        return false;
    const auto engine = state.upstreams.find(awaited->second.engine);
    return engine != state.upstreams.end() && engine->second.engine.isLoading(record.asked.model);
}

void placeWaiting(GatewayState &state, Instant now, Actions &actions)
{
    const std::set<RequestNumber> waiting = state.waiting;
    for (const RequestNumber &request : waiting) {
        RequestRecord &record = state.requests.at(request);
        if (record.turn != PromptTurnState::NotAsked && now < record.turnAt)
            continue;
        const Span late = isLoadUnderWay(state, record) ? extraWait : Span{};
        const bool isOver = now >= std::min(record.placedBy + late, record.deadline);
        // The load may just have ended, later than hoped for: what it was ordered for still goes.
        if (isOver && !isReadySomewhere(state, record, now))
            refuseAndForget(state, record, ResultCode::AdapterLoadFailed, loadDoneAfter, actions);
        else
            place(state, record, now, actions);
    }
}

void endOverdue(GatewayState &state, Instant now, Actions &actions)
{
    std::vector<RequestNumber> overdue;
    for (const auto &[request, record] : state.requests) {
        if (now >= record.deadline)
            overdue.push_back(request);
    }
    for (const RequestNumber &request : overdue) {
        RequestRecord &record = state.requests.at(request);
        if (record.phase == RequestPhase::AtUpstream) {
            ++record.mayHaveRun;
            actions.cancels.push_back({ request });
            const auto upstream = state.upstreams.find(record.upstream);
            if (upstream != state.upstreams.end() && !record.hasAnswerBegun)
                noteSign(upstream->second, UpstreamSign::Failed, now);
        }
        refuseAndForget(state, record,
                        record.mayHaveRun > 0 ? ResultCode::UpstreamSilent
                                              : ResultCode::DeadlineUnreachable,
                        soon, actions);
    }
}

} // namespace azurewell::gateway
