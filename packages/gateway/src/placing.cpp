#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Range over which the retry-after times of refusals for a busy weight store are spread.
constexpr Span retryAfterSpread = std::chrono::milliseconds(600);

/// Extra waiting time of a request whose load is in progress: a late answer is worth more to its
/// caller than none, and the load is paid for.
constexpr Span loadInProgressGrace = std::chrono::milliseconds(900);

/// The time to the first event is used as a sample of the prefill rate if the tokens queued ahead
/// are less than this share of the prompt.
constexpr double maxIdleBacklogShare = 0.2;

/// Retry-after time by which an ordered load is done, so that a retry finds the adapter.
constexpr Span loadRetryAfter = std::chrono::milliseconds(350);

/// Estimated duration of a request; used only to avoid upstreams that are about to be terminated.
constexpr Span expectedRequestDuration = std::chrono::milliseconds(1200);

Span spreadRetryAfter(GatewayState &state)
{
    return shortRetryAfter + std::chrono::duration_cast<Span>(retryAfterSpread * draw(state));
}

/// Wait in seconds at the engines that have a popular adapter from which on it is loaded at one
/// more. An engine makes a step of its batch between parts of prompts: with prompts that take 400
/// ms to read arriving every 400 ms, its streams get an event of three tokens every 600 ms, while
/// callers expect one every 400 ms.
constexpr double extraCopyWait = 0.1;

/// How many engines should have \a adapter, estimated from the requests of this host's callers, as
/// the balancer sends each host its share of them.
std::size_t targetCopies(const GatewayState &state, const ModelName &adapter,
                         double prefillTokensPerSecond, Instant now)
{
    const auto found = state.adapterDemand.find(adapter);
    if (found == state.adapterDemand.end())
        return 1;
    const double perSecond = valueAt(found->second, demandDecayTime, now)
            / toSeconds(demandDecayTime);
    const double hosts = static_cast<double>(countReachable(state.members, now) + 1);
    return 1
            + static_cast<std::size_t>(perSecond * hosts
                                       / (shareOfOneCopy * prefillTokensPerSecond));
}

void loadCopyIfCrowded(GatewayState &state, const Upstream &chosen, const UpstreamNeed &need,
                       Instant now, Actions &actions)
{
    if (need.model.isBase()
        || expectedWait(chosen, need.prefillTokensPerSecond, now) < extraCopyWait
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
    if (copies >= targetCopies(state, need.model, need.prefillTokensPerSecond, now))
        return;
    requestLoad(state, need.model, other, now, actions);
}

/// Load pattern: callers send in bursts, and several hosts send to one engine in the same half
/// second. The engine reads all the prompts before the next steps of its batch, and its streams
/// pause for longer than callers accept: 230 of the 1,700 streams of a calm day did. A prompt that
/// is held for a quarter of a second is still in time.
constexpr double crowdedEngineWait = 0.28; ///< In seconds.
constexpr Span maxHold = std::chrono::milliseconds(250);

bool shouldHold(const RequestRecord &record, const Upstream &chosen, const UpstreamNeed &need,
                Instant now)
{
    return !need.model.model.empty() && !isRateLimited(chosen, now)
            && now < record.arrivedAt + maxHold
            && expectedWait(chosen, need.prefillTokensPerSecond, now) > crowdedEngineWait;
}

/// The shorter of two waits; 0 stands for none.
Span shorterOf(Span a, Span b)
{
    return a == Span{} ? b : std::min(a, b);
}

/// Returns a permit that comes too late for \a record, and leaves its engine out from now on.
void yieldLatePermit(GatewayState &state, RequestRecord &record, Instant now)
{
    record.permitWait = shorterOf(record.permitWait, record.admission.at - now);
    excludeUpstream(state, record, record.admission.engine);
}

enum class EarlyAttempt : std::uint8_t { None, AwaitsPermit, Sent };

/// Whether a request may be sent early to \a engine, which may be cold: with a permit, or as this
/// host's own share.
EarlyAttempt permitEarlyAttempt(GatewayState &state, RequestRecord &record, const Upstream &engine,
                                Instant now, Actions &actions)
{
    if (!limitsColdUpstreams(state, engine))
        return EarlyAttempt::Sent;
    if (record.admission.state == PromptAdmissionState::NotRequested)
        requestAdmission(state, record, engine, now, actions);
    if (isPermitTooLate(record)) {
        yieldLatePermit(state, record, now);
        return EarlyAttempt::None;
    }
    if (!isAdmitted(state, record, now))
        return EarlyAttempt::AwaitsPermit;
    if (!lacksPermit(state, record, engine, now))
        return EarlyAttempt::Sent;
    returnAdmissions(state, record);
    return EarlyAttempt::None;
}

/// Sends the request of \a record to an engine whose load is expected to be done. None if there is
/// no such engine, or if no retry is left in case the engine rejects it.
EarlyAttempt sendEarlyAttempt(GatewayState &state, RequestRecord &record, const UpstreamNeed &need,
                              Instant now, Actions &actions)
{
    if (need.model.isBase())
        return EarlyAttempt::None;
    UpstreamNeed withoutAdmission = need;
    withoutAdmission.isSentWithoutAdmission = true;
    const Upstream *engine = chooseEngineWithFinishedLoad(state.upstreams, withoutAdmission,
                                                          state.loadTimes[need.model.model], now);
    if (!engine)
        return EarlyAttempt::None;
    const EarlyAttempt permitted = permitEarlyAttempt(state, record, *engine, now, actions);
    if (permitted != EarlyAttempt::Sent)
        return permitted;
    if (!takeRetry(retryBudgetOf(state, record.service)))
        return EarlyAttempt::None;
    const UpstreamId id = engine->listed.id;
    LoadInProgress &load = state.upstreams.at(id).loads.at(need.model);
    beginEarlyAttempt(load, now);
    state.earlyAttemptEngines.insert(id);
    load.version = declaredVersion(state.versions, need.model);
    record.isEarlyAttempt = true;
    dispatch(state, record, id, need.model, now, actions);
    return EarlyAttempt::Sent;
}

bool isReadySomewhere(const GatewayState &state, const RequestRecord &record, Instant now)
{
    return now < record.deadline
            && chooseUpstream(state.upstreams, needOf(state, record), state.versions, 0, now);
}

/// Whether the load that \a record waits for is in progress: refusing the request now would waste
/// it.
bool isLoadInProgress(const GatewayState &state, const RequestRecord &record)
{
    const auto awaited = state.awaitedLoads.find(record.arrivedRequest.model);
    if (awaited == state.awaitedLoads.end())
        return false;
    const auto engine = state.upstreams.find(awaited->second.engine);
    return engine != state.upstreams.end()
            && engine->second.engine.isLoading(record.arrivedRequest.model);
}

/// The engine that admitted \a record, or \a otherwise if that engine can no longer be used.
const Upstream *admittedEngine(const GatewayState &state, const RequestRecord &record,
                               const UpstreamNeed &need, const Upstream &otherwise, Instant now)
{
    const auto found = state.upstreams.find(record.admission.engine);
    const bool isGood = found != state.upstreams.end() && fits(found->second, need, now)
            && now >= found->second.avoidedUntil
            && isReadyFor(found->second, need.model, state.versions);
    return isGood ? &found->second : &otherwise;
}

/// When the first pause ends if all usable upstreams of the request's service have asked for one;
/// `never` otherwise.
Instant pausedUntil(const GatewayState &state, const RequestRecord &record, Instant now)
{
    Instant first = never;
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.service != record.service || !isUsable(upstream, now))
            continue;
        if (now >= upstream.pausedUntil)
            return never;
        first = std::min(first, upstream.pausedUntil);
    }
    return first;
}

/// Refuses a request that no upstream takes in time. The reason is \a otherwise, unless a pause or
/// a rate limit kept the request from an upstream.
void refuseUnplaced(GatewayState &state, RequestRecord &record, ResultCode otherwise,
                    Span retryAfter, Instant now, Actions &actions)
{
    const Instant pauseEnd = pausedUntil(state, record, now);
    if (pauseEnd != never) {
        refuseAndForget(state, record, ResultCode::UpstreamsPaused, pauseEnd - now, actions);
        return;
    }
    const bool isLimited = record.permitWait > Span{};
    refuseAndForget(state, record, isLimited ? ResultCode::UpstreamLimited : otherwise,
                    isLimited ? std::max(record.permitWait, shortRetryAfter) : retryAfter, actions);
}

/// Places a waiting request, or refuses it if it has waited too long.
void placeOrRefuse(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    if (isQueueLost(state, record, now))
        returnAdmissions(state, record);
    if (record.admission.state != PromptAdmissionState::NotRequested && now < record.admission.at)
        return;
    const Span grace = isLoadInProgress(state, record) ? loadInProgressGrace : Span{};
    const bool isOver = now >= std::min(record.placementDeadline + grace, record.deadline);
    // The load may just be done, later than expected: the request is still sent.
    if (isOver && !isReadySomewhere(state, record, now))
        refuseUnplaced(state, record, ResultCode::AdapterLoadFailed, loadRetryAfter, now, actions);
    else
        place(state, record, now, actions);
}

} // namespace

void markWaiting(GatewayState &state, RequestRecord &record)
{
    record.phase = RequestPhase::Waiting;
    state.waiting.insert(record.arrivedRequest.request);
}

double prefillRateOf(const GatewayState &state, const ServiceId &service)
{
    const auto found = state.prefillRates.find(service);
    return found == state.prefillRates.end() ? PrefillRate().perSecond : found->second.perSecond;
}

UpstreamNeed needOf(const GatewayState &state, const RequestRecord &record)
{
    UpstreamNeed need;
    need.service = record.service;
    const Service *service = findService(state.configuration, record.service);
    if (service && service->engine)
        need.model = record.arrivedRequest.model;
    need.excluded = record.excluded;
    need.duration = expectedRequestDuration;
    need.zone = state.self.zone;
    need.prefillTokensPerSecond = prefillRateOf(state, record.service);
    need.promptTokens = static_cast<double>(record.arrivedRequest.promptTokens.count);
    need.answerSeconds = answerSecondsOf(state, record.service);
    addVersionNeed(state, record, need);
    return need;
}

void dispatch(GatewayState &state, RequestRecord &record, const UpstreamId &id,
              const ModelName &model, Instant now, Actions &actions)
{
    Upstream &upstream = state.upstreams.at(id);
    ++upstream.requestsInFlight;
    const double prompt = static_cast<double>(record.arrivedRequest.promptTokens.count);
    record.sentAt = now;
    record.isEngineIdle = queuedPromptTokens(upstream, now) < prompt * maxIdleBacklogShare;
    add(upstream.ownPrompts, prompt, promptDecayTime, now);
    state.enginesWithNewPrompts.insert(id);
    state.recentUpstreams.insert(id);
    recordSent(state.paths[record.service], id, now);
    if (!model.isBase())
        add(state.adapterDemand[model], prompt, demandDecayTime, now);
    record.phase = RequestPhase::AtUpstream;
    record.upstream = id;
    record.sentVersion = upstream.listed.softwareVersion;
    record.hasAnswerStarted = false;
    useAdmission(state, record, id);
    ++record.attempt;
    state.waiting.erase(record.arrivedRequest.request);
    if (!model.isBase()) {
        recordUse(state, id, model, now);
        sendAdapterUses(state, upstream, now, actions);
    }
    const LoadedAdapter *loaded = upstream.engine.findReady(model);
    const bool isVersioned = state.versions.contains(model);
    const std::uint64_t version = loaded ? loaded->version : declaredVersion(state.versions, model);
    ++state.counters.dispatched;
    actions.dispatches.push_back({ record.arrivedRequest.request, record.attempt, id,
                                   upstream.listed.address, record.customer,
                                   isVersioned ? version : 0, record.deadline - now,
                                   record.repeat != RepeatPolicy::Stream,
                                   model.model.empty() ? std::nullopt : record.priority });
}

void loadCopy(GatewayState &state, const UpstreamNeed &need, Instant now, Actions &actions)
{
    if (need.model.isBase() || state.awaitedLoads.contains(need.model))
        return;
    UpstreamNeed other = need;
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.engine.findReady(need.model) || upstream.engine.isLoading(need.model))
            other.excluded.insert(id);
    }
    requestLoad(state, need.model, other, now, actions);
}

void handleEarlyAttemptEnd(GatewayState &state, const RequestRecord &record, AttemptOutcome outcome,
                           Instant now)
{
    const auto engine = state.upstreams.find(record.upstream);
    if (engine == state.upstreams.end() || outcome == AttemptOutcome::Done)
        return;
    const auto load = engine->second.loads.find(record.arrivedRequest.model);
    if (load == engine->second.loads.end() || load->second.earlyAttemptAt.micros == 0)
        return;
    // A fault of the engine says nothing about the load.
    if (isTurnedAway(outcome)) {
        recordRejected(timeOf(state.loadTimes[record.arrivedRequest.model.model], load->second),
                       load->second.earlyAttemptAt - load->second.since);
    }
    endEarlyAttempt(load->second, now);
}

/// Whether an early attempt at \a upstream is neither accepted nor rejected yet.
bool hasOpenEarlyAttempt(const Upstream &upstream)
{
    return std::any_of(upstream.loads.begin(), upstream.loads.end(), [](const auto &entry) {
        return !entry.second.isDone && entry.second.earlyAttemptAt.micros != 0;
    });
}

void resolveEarlyAttempts(GatewayState &state, Instant now)
{
    const std::set<UpstreamId> tried = state.earlyAttemptEngines;
    for (const UpstreamId &id : tried) {
        const auto found = state.upstreams.find(id);
        if (found == state.upstreams.end() || !hasOpenEarlyAttempt(found->second)) {
            state.earlyAttemptEngines.erase(id);
            continue;
        }
        Upstream &upstream = found->second;
        for (const auto &[adapter, load] : upstream.loads) {
            if (load.isDone || !isEarlyAttemptAccepted(load, now))
                continue;
            recordAccepted(timeOf(state.loadTimes[adapter.model], load),
                           load.earlyAttemptAt - load.since);
            recordLoadDone(upstream, adapter);
            // The slot counts as loading until a report shows the adapter as ready. An engine that
            // is slow to reject the request is still loading; if it were ordered to hold another
            // adapter instead, it would exceed its slots and crash.
            state.changedEngines.insert(id);
        }
    }
}

void place(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    if (isDispatchBlocked(state, record, now)) {
        refuseQuarantined(state, record, now, actions);
        return;
    }
    if (record.admission.state == PromptAdmissionState::Unservable) {
        refuseUnservable(state, record, now, actions);
        return;
    }
    if (!findOutOrigin(state, record, now, actions))
        return;
    if (isPathLost(state, record.service)) {
        forwardOrRefuse(state, record, now, actions);
        return;
    }
    const UpstreamNeed need = needOf(state, record);
    const Upstream *chosen = chooseUpstream(state.upstreams, need, state.versions, draw(state),
                                            now);
    if (chosen && isEvacuated(*chosen))
        loadCopy(state, need, now, actions);
    // The coordinator of a paced engine knows better how much it has to read.
    if (chosen && record.admission.state == PromptAdmissionState::NotRequested
        && !isPaced(state, need.model) && shouldHold(record, *chosen, need, now)) {
        markWaiting(state, record);
        return;
    }
    if (chosen && needsAdmission(state, *chosen, need.model, now)) {
        if (record.admission.state == PromptAdmissionState::NotRequested)
            requestAdmission(state, record, *chosen, now, actions);
        if (record.admission.state == PromptAdmissionState::Unservable) {
            refuseUnservable(state, record, now, actions);
            return;
        }
        if (isPermitTooLate(record)) {
            yieldLatePermit(state, record, now);
            place(state, record, now, actions);
            return;
        }
        if (!isAdmitted(state, record, now)) {
            markWaiting(state, record);
            return;
        }
        chosen = admittedEngine(state, record, need, *chosen, now);
        if (lacksPermit(state, record, *chosen, now)) {
            excludeUpstream(state, record, chosen->listed.id);
            place(state, record, now, actions);
            return;
        }
    }
    if (chosen) {
        const UpstreamId id = chosen->listed.id;
        if (isSmallFleet(state))
            loadCopyIfCrowded(state, *chosen, need, now, actions);
        dispatch(state, record, id, need.model, now, actions);
        return;
    }
    if (!isSuspected(state.quarantine, record.digest)) {
        const EarlyAttempt early = sendEarlyAttempt(state, record, need, now, actions);
        if (early == EarlyAttempt::AwaitsPermit)
            markWaiting(state, record);
        if (early != EarlyAttempt::None)
            return;
    }
    if (need.model.model.empty() || need.model.isBase()) {
        refuseUnplaced(state, record, ResultCode::NoUpstream, shortRetryAfter, now, actions);
        return;
    }
    switch (requestLoad(state, need.model, need, now, actions)) {
    case LoadProspect::Coming:
        markWaiting(state, record);
        break;
    case LoadProspect::StoreBusy:
        refuseAndForget(state, record, ResultCode::QueueFull, spreadRetryAfter(state), actions);
        break;
    case LoadProspect::Unavailable:
        refuseUnplaced(state, record, ResultCode::AdapterLoadFailed, shortRetryAfter, now, actions);
        break;
    }
}

void refuseWaiting(GatewayState &state, const ModelName &adapter, Instant now, Actions &actions)
{
    const std::set<RequestNumber> waiting = state.waiting;
    for (const RequestNumber &request : waiting) {
        RequestRecord &record = state.requests.at(request);
        // Requests that wait for admission at an engine with the adapter are not affected; only an
        // additional copy is not loaded.
        if (record.arrivedRequest.model != adapter || isReadySomewhere(state, record, now))
            continue;
        refuseAndForget(state, record, ResultCode::QueueFull, spreadRetryAfter(state), actions);
    }
    state.awaitedLoads.erase(adapter);
}

void placeWaiting(GatewayState &state, Instant now, Actions &actions)
{
    const std::set<RequestNumber> waiting = state.waiting;
    for (const RequestNumber &request : waiting)
        placeOrRefuse(state, state.requests.at(request), now, actions);
}

void placeWaitingAt(GatewayState &state, const UpstreamId &engine, Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(engine);
    if (found == state.upstreams.end() || state.waiting.empty())
        return;
    const std::set<RequestNumber> waiting = state.waiting;
    for (const RequestNumber &request : waiting) {
        RequestRecord &record = state.requests.at(request);
        if (found->second.engine.findReady(record.arrivedRequest.model))
            placeOrRefuse(state, record, now, actions);
    }
}

} // namespace azurewell::gateway
