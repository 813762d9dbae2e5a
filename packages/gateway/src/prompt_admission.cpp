#include "azurewell/gateway/warmup.h"
#include "internal.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// How long the answer of a coordinator is awaited: messages take 2 to 4 ms, and a small host may
/// be busy for some time.
constexpr Span admissionTimeout = std::chrono::milliseconds(30);

/// With a shorter wait no other engine is asked: the request itself takes some ms.
constexpr Span minWaitToAskOther = std::chrono::milliseconds(40);

/// Minimum gain for which admission at another engine is preferred.
constexpr Span minAdmissionGain = std::chrono::milliseconds(20);

/// A permit that is not used within this time is void: after a pause of the process, permits for
/// different times would be used together.
constexpr Span permitValidity = std::chrono::milliseconds(200);

/// Engines that are asked before a request is refused as none can read its prompt in time.
constexpr std::uint32_t maxUnservableAnswers = 2;

/// Spread of the retry-after time of such refusals, relative to the estimated wait.
constexpr double retryAfterSpread = 0.5;

double promptOf(const RequestRecord &record)
{
    return static_cast<double>(record.arrivedRequest.promptTokens.count);
}

/// The admission request to the coordinator of \a upstream.
AdmissionRequest admissionRequestFor(const GatewayState &state, const RequestRecord &record,
                                     const Upstream &upstream, Instant now)
{
    AdmissionRequest request;
    request.engine = upstream.listed.id;
    request.adapter = record.arrivedRequest.model;
    request.request = record.arrivedRequest.request.value;
    request.tokens = promptOf(record);
    request.limit = permitsPerSecond(state, upstream, now);
    request.customer = record.customer;
    request.priority = record.priority;
    request.objectiveLeft = std::max(record.wantedBy - now, Span{});
    request.maxPause = record.maxPause;
    request.isReported = record.repeat == RepeatPolicy::Stream;
    return request;
}

/// Whether the first event of the answer to \a record is reported to the coordinator.
bool reportsRead(const GatewayState &state, const RequestRecord &record)
{
    return isPaced(state, record.arrivedRequest.model) && record.repeat == RepeatPolicy::Stream;
}

/// Returns \a admission, which is not used, to the host that was asked for it. It is sent by
/// runAdmissions().
void returnAdmission(GatewayState &state, const RequestRecord &record,
                     const EngineAdmission &admission)
{
    if (admission.state == PromptAdmissionState::NotRequested
        || admission.state == PromptAdmissionState::Unservable)
        return;
    AdmissionRequest request;
    request.engine = admission.engine;
    request.adapter = record.arrivedRequest.model;
    request.request = record.arrivedRequest.request.value;
    request.tokens = promptOf(record);
    request.isReturned = true;
    state.returnedAdmissions.push_back({ admission.coordinator, std::move(request) });
}

/// Keeps the earlier one of two admissions and returns the other.
void keepEarlierAdmission(GatewayState &state, RequestRecord &record)
{
    EngineAdmission first = *std::exchange(record.firstAdmission, std::nullopt);
    if (record.admission.expectedAt + minAdmissionGain >= first.expectedAt)
        std::swap(first, record.admission);
    returnAdmission(state, record, first);
}

/// Another engine that has the adapter of \a record; null if there is none.
const Upstream *chooseOther(GatewayState &state, const RequestRecord &record, Instant now)
{
    UpstreamNeed need = needOf(state, record);
    need.excluded.insert(record.admission.engine);
    const Upstream *other = chooseUpstream(state.upstreams, need, state.versions, draw(state), now);
    return other && now >= other->avoidedUntil ? other : nullptr;
}

/// Requests admission at another engine that has the adapter of \a record, if there is one.
void requestOtherAdmission(GatewayState &state, RequestRecord &record, Instant now,
                           Actions &actions)
{
    const Upstream *other = chooseOther(state, record, now);
    if (!other)
        return;
    record.firstAdmission = record.admission;
    requestAdmission(state, record, *other, now, actions);
}

/// When the prompt of \a record, which is queued, is sent if no further answer comes. The
/// coordinator answers earlier: when the prompt can't be read in time any more beside those that
/// are admitted.
Instant overdueAt(const GatewayState &state, const RequestRecord &record, Instant now)
{
    if (record.wantedBy <= now)
        return record.deadline;
    const double rate = prefillRateOf(state, record.service);
    const Instant lastStart = record.wantedBy - fromSeconds(promptOf(record) / rate);
    return std::min(std::max(lastStart, now + admissionTimeout), record.deadline);
}

/// Handles the answer that the engine asked last can't read the prompt of \a record in time.
void handleUnservable(GatewayState &state, RequestRecord &record, Span wait, Instant now,
                      Actions &actions)
{
    const Span stated = std::max(wait, shortRetryAfter);
    record.unservableWait = record.unservableAnswers == 0 ? stated
                                                          : std::min(record.unservableWait, stated);
    ++record.unservableAnswers;
    record.excluded.insert(record.admission.engine);
    if (record.firstAdmission) {
        record.admission = *std::exchange(record.firstAdmission, std::nullopt);
        return;
    }
    const bool mayAskOther = record.unservableAnswers < maxUnservableAnswers;
    const Upstream *other = mayAskOther ? chooseOther(state, record, now) : nullptr;
    if (other) {
        requestAdmission(state, record, *other, now, actions);
        return;
    }
    record.admission.state = PromptAdmissionState::Unservable;
    record.admission.at = now;
}

/// Handles a further answer about the engine that was asked first, while the second has not
/// answered yet.
void handleFirstEngineReply(GatewayState &state, RequestRecord &record, const AdmissionReply &reply,
                            Instant now)
{
    if (reply.isQueued)
        return;
    if (reply.isUnservable) {
        ++record.unservableAnswers;
        record.unservableWait = std::max(reply.wait, shortRetryAfter);
        record.excluded.insert(reply.engine);
        record.firstAdmission.reset();
        return;
    }
    EngineAdmission first = *std::exchange(record.firstAdmission, std::nullopt);
    std::swap(first, record.admission);
    returnAdmission(state, record, first);
    record.admission.state = PromptAdmissionState::Answered;
    record.admission.at = now + reply.wait;
    record.admission.expectedAt = record.admission.at;
    record.admission.isPermit = reply.isPermit;
}

/// Handles an answer that \a record, if there is one, does not wait for: it came after the timeout
/// or crossed with the return of the admission.
void handleUnexpectedReply(GatewayState &state, const HostId &from, RequestRecord *record,
                           const AdmissionReply &reply)
{
    if (reply.isUnservable || reply.engine.value.empty())
        return;
    const bool isHeld = record && record->admission.engine == reply.engine
            && record->admission.state == PromptAdmissionState::Answered;
    const bool isThere = record && record->phase == RequestPhase::AtUpstream
            && record->upstream == reply.engine;
    if (isHeld || (isThere && record->isReadAwaited))
        return;
    if (isThere && !reply.isQueued && !record->hasAnswerStarted) {
        record->isReadAwaited = reportsRead(state, *record);
        return;
    }
    AdmissionRequest returned;
    returned.engine = reply.engine;
    returned.request = reply.request;
    returned.isReturned = true;
    state.returnedAdmissions.push_back({ from, std::move(returned) });
}

/// Sets a random time for the first permit of a host that issues a part of an upstream's permits.
/// All hosts of a fleet that has just split begin to do so at once.
void spreadFirstPermit(GatewayState &state, PermitPacer &pacer, double perSecond, Instant now)
{
    pacer.nextAt = now + fromSeconds(draw(state) / perSecond);
}

/// Reserves the permits that an admitted request needs at \a upstream.
void reservePermits(GatewayState &state, const Upstream &upstream, const AdmissionRequest &request,
                    const PermitHolder &holder, PromptAdmission &turn, Instant now)
{
    OrderedEngine &engine = state.engines[upstream.listed.id];
    if (limitsColdUpstreams(state, upstream)) {
        const WarmupLimit warmup = warmupLimitOf(state, upstream, now);
        if (warmup.isShared && engine.burstPermits.nextAt.micros == 0)
            spreadFirstPermit(state, engine.burstPermits, warmup.perSecondWarm, now);
        turn.wait = std::max(turn.wait,
                             reserveInBurst(engine.burstPermits, warmup.perSecondWarm, warmup.burst,
                                            now, holder));
        turn.isPermit = true;
    }
    const double known = permitsPerSecond(state, upstream, now);
    const double limit = known > 0 ? known : request.limit;
    if (limit > 0) {
        turn.wait = std::max(turn.wait, reservePermit(engine.permits, limit, now, holder));
        turn.isPermit = true;
    }
}

using MessagesByHost = std::map<HostId, Gossip>;

Gossip &messageTo(const GatewayState &state, MessagesByHost &messages, const HostId &host,
                  Instant now)
{
    const auto found = messages.find(host);
    return found != messages.end()
            ? found->second
            : messages.emplace(host, messageHeader(state, now)).first->second;
}

/// Sends \a messages to those of their hosts that are known.
void sendMessages(const GatewayState &state, MessagesByHost &messages, MessageKind kind,
                  Actions &actions)
{
    for (auto &[host, message] : messages) {
        if (state.members.others.contains(host))
            sendTo(state, host, kind, std::move(message), actions);
    }
}

/// Sends the reports and the returned admissions of this host's requests to the coordinators.
void sendReports(GatewayState &state, Instant now, Actions &actions)
{
    MessagesByHost messages;
    for (ReturnedAdmission &returned : std::exchange(state.returnedAdmissions, {})) {
        if (returned.coordinator == state.self.id)
            releaseAdmission(state, returned.request, state.self.id);
        else
            messageTo(state, messages, returned.coordinator, now)
                    .admissionRequests.push_back(std::move(returned.request));
    }
    for (const PromptRead &read : std::exchange(state.promptsRead, {})) {
        const auto engine = state.upstreams.find(read.engine);
        if (engine == state.upstreams.end())
            continue;
        const HostId coordinator = coordinatorOf(state, engine->second, now);
        if (coordinator == state.self.id)
            handlePromptRead(state, state.self.id, read, now);
        else
            messageTo(state, messages, coordinator, now).promptsRead.push_back(read);
    }
    sendMessages(state, messages, MessageKind::PromptsRead, actions);
}

/// Until the prompt of \a request arrives at its engine, its adapter counts as in use.
void recordAwaitedUse(GatewayState &state, const HostId &requester, const AdmissionRequest &request,
                      Instant now)
{
    const auto member = state.members.others.find(requester);
    if (member == state.members.others.end())
        return;
    recordRemoteUse(state.engines[request.engine].remoteUses, refOf(request.adapter), requester,
                    true, heartbeatInterval(state.members, member->second), now);
}

/// Admits the queued prompts of \a id that have room. Returns the answers to requests of this host.
std::vector<AdmissionReply> admitWaiting(GatewayState &state, const UpstreamId &id,
                                         MessagesByHost &messages, Instant now)
{
    std::vector<AdmissionReply> own;
    const auto pacer = state.pacers.find(id);
    const auto upstream = state.upstreams.find(id);
    if (pacer == state.pacers.end() || upstream == state.upstreams.end())
        return own;
    const double serviceRate = prefillRateOf(state, upstream->second.listed.service);
    for (QueuedAnswer &answer :
         admitQueued(pacer->second, serviceRate, state.counters.pacing, now)) {
        PromptAdmission &turn = answer.admission;
        if (!turn.isUnservable)
            reservePermits(state, upstream->second, answer.request, answer.holder, turn, now);
        AdmissionReply reply{
            answer.holder.request, turn.wait, turn.isCopyWanted, turn.isPermit, turn.isQueued,
            turn.isUnservable,     id
        };
        if (answer.holder.host == state.self.id) {
            own.push_back(std::move(reply));
            continue;
        }
        recordAwaitedUse(state, answer.holder.host, answer.request, now);
        messageTo(state, messages, answer.holder.host, now)
                .admissionReplies.push_back(std::move(reply));
    }
    return own;
}

} // namespace

bool isPaced(const GatewayState &state, const ModelName &model)
{
    return !isSmallFleet(state) && !model.isBase();
}

PromptAdmission admitPromptAt(GatewayState &state, const Upstream &upstream,
                              const AdmissionRequest &request, const HostId &requester, Instant now)
{
    const UpstreamId &id = upstream.listed.id;
    PromptAdmission turn;
    if (isPaced(state, request.adapter)) {
        turn = admitPrompt(state.pacers[id], request, requester,
                           prefillRateOf(state, upstream.listed.service), state.counters.pacing,
                           now);
        state.enginesToAdmit.insert(id);
    }
    if (!turn.isQueued && !turn.isUnservable)
        reservePermits(state, upstream, request, { requester, request.request }, turn, now);
    return turn;
}

void releaseAdmission(GatewayState &state, const AdmissionRequest &request, const HostId &requester)
{
    const PermitHolder holder{ requester, request.request };
    const auto pacer = state.pacers.find(request.engine);
    if (pacer != state.pacers.end()) {
        releaseAdmission(pacer->second, holder);
        state.enginesToAdmit.insert(request.engine);
    }
    const auto engine = state.engines.find(request.engine);
    if (engine == state.engines.end())
        return;
    returnPermit(engine->second.burstPermits, holder);
    returnPermit(engine->second.permits, holder);
}

bool needsAdmission(const GatewayState &state, const Upstream &upstream, const ModelName &model,
                    Instant now)
{
    return isRateLimited(upstream, now) || limitsColdUpstreams(state, upstream)
            || isPaced(state, model);
}

bool lacksPermit(GatewayState &state, const RequestRecord &record, const Upstream &upstream,
                 Instant now)
{
    const EngineAdmission &admission = record.admission;
    const bool isAdmittedHere = admission.isPermit && admission.engine == upstream.listed.id;
    if (!isAdmittedHere && limitsColdUpstreams(state, upstream)
        && !takeOwnShare(state, upstream, now))
        return true;
    return isRateLimited(upstream, now)
            && (!isAdmittedHere || now >= admission.at + permitValidity);
}

bool isPermitTooLate(const RequestRecord &record)
{
    return record.admission.isPermit && record.admission.state == PromptAdmissionState::Answered
            && record.admission.at > record.placementDeadline;
}

void excludeUpstream(GatewayState &state, RequestRecord &record, const UpstreamId &limited)
{
    // First, as limited may be the engine of the admission.
    record.excluded.insert(limited);
    returnAdmissions(state, record);
}

void requestAdmission(GatewayState &state, RequestRecord &record, const Upstream &engine,
                      Instant now, Actions &actions)
{
    // Returned permits are used by the next request, which may be this one, and a return that is
    // sent later would cancel a new admission at the same engine.
    sendReports(state, now, actions);
    record.admission = {};
    record.admission.state = PromptAdmissionState::AwaitingAnswer;
    record.admission.engine = engine.listed.id;
    record.admission.coordinator = coordinatorOf(state, engine, now);
    record.admission.at = now + admissionTimeout;
    record.admission.expectedAt = record.admission.at;
    AdmissionRequest request = admissionRequestFor(state, record, engine, now);
    if (record.admission.coordinator == state.self.id) {
        const PromptAdmission turn = admitPromptAt(state, engine, request, state.self.id, now);
        handleAdmission(state, record, turn, now, actions);
        return;
    }
    Gossip message = messageHeader(state, now);
    message.admissionRequests.push_back(std::move(request));
    sendTo(state, record.admission.coordinator, MessageKind::AdmissionRequest, std::move(message),
           actions);
}

void handleAdmission(GatewayState &state, RequestRecord &record, const PromptAdmission &turn,
                     Instant now, Actions &actions)
{
    if (turn.isCopyWanted)
        loadCopy(state, needOf(state, record), now, actions);
    if (turn.isUnservable) {
        handleUnservable(state, record, turn.wait, now, actions);
        return;
    }
    const bool isFirstAnswer = record.admission.state == PromptAdmissionState::AwaitingAnswer;
    record.admission.state = turn.isQueued ? PromptAdmissionState::Queued
                                           : PromptAdmissionState::Answered;
    record.admission.expectedAt = now + turn.wait;
    record.admission.at = turn.isQueued ? overdueAt(state, record, now) : now + turn.wait;
    record.admission.isPermit = turn.isPermit;
    if (record.firstAdmission)
        keepEarlierAdmission(state, record);
    else if (isFirstAnswer && turn.wait >= minWaitToAskOther
             && record.unservableAnswers < maxUnservableAnswers)
        requestOtherAdmission(state, record, now, actions);
}

void handleAdmissionReply(GatewayState &state, const HostId &from, const AdmissionReply &reply,
                          Instant now, Actions &actions)
{
    const auto found = state.requests.find(RequestNumber{ reply.request });
    RequestRecord *record = found == state.requests.end() ? nullptr : &found->second;
    const UpstreamId engine = record && reply.engine.value.empty() ? record->admission.engine
                                                                   : reply.engine;
    if (record && record->phase == RequestPhase::Waiting && record->firstAdmission
        && record->firstAdmission->engine == engine
        && record->firstAdmission->state == PromptAdmissionState::Queued) {
        handleFirstEngineReply(state, *record, reply, now);
    } else if (record && record->phase == RequestPhase::Waiting
               && record->admission.engine == engine
               && (record->admission.state == PromptAdmissionState::AwaitingAnswer
                   || record->admission.state == PromptAdmissionState::Queued)) {
        handleAdmission(state, *record,
                        { reply.wait, reply.isCopyWanted, reply.isPermit, reply.isQueued,
                          reply.isUnservable },
                        now, actions);
    } else {
        handleUnexpectedReply(state, from, record, reply);
        return;
    }
    if (record->admission.at <= now || isPermitTooLate(*record))
        place(state, *record, now, actions);
}

bool isAdmitted(GatewayState &state, RequestRecord &record, Instant now)
{
    if (now < record.admission.at)
        return false;
    if (record.admission.state == PromptAdmissionState::AwaitingAnswer && record.firstAdmission) {
        returnAdmission(state, record, record.admission);
        record.admission = *std::exchange(record.firstAdmission, std::nullopt);
    }
    return now >= record.admission.at;
}

bool isQueueLost(GatewayState &state, const RequestRecord &record, Instant now)
{
    if (record.admission.state != PromptAdmissionState::Queued)
        return false;
    const auto engine = state.upstreams.find(record.admission.engine);
    return engine == state.upstreams.end() || !isUsable(engine->second, now)
            || coordinatorOf(state, engine->second, now) != record.admission.coordinator;
}

void returnAdmissions(GatewayState &state, RequestRecord &record)
{
    returnAdmission(state, record, std::exchange(record.admission, {}));
    if (record.firstAdmission)
        returnAdmission(state, record, *std::exchange(record.firstAdmission, std::nullopt));
}

void useAdmission(GatewayState &state, RequestRecord &record, const UpstreamId &engine)
{
    const bool isHere = record.admission.engine == engine;
    const bool isUsed = isHere && record.admission.state == PromptAdmissionState::Answered;
    // A late answer shows that the prompt was admitted.
    const bool isAnswerLate = isHere
            && record.admission.state == PromptAdmissionState::AwaitingAnswer;
    record.isReadAwaited = isUsed && reportsRead(state, record);
    if (isUsed || isAnswerLate)
        record.admission = {};
    returnAdmissions(state, record);
}

void reportRead(GatewayState &state, RequestRecord &record, bool isFailed, Instant now)
{
    if (!std::exchange(record.isReadAwaited, false))
        return;
    const auto engine = state.upstreams.find(record.upstream);
    const double slowdown = engine == state.upstreams.end() ? 0 : engine->second.load.slowdown;
    state.promptsRead.push_back({ record.upstream, record.arrivedRequest.request.value,
                                  now - record.sentAt, isFailed, slowdown });
}

void refuseUnservable(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const Priority priority = record.priority.value_or(defaultPriority);
    actions.logEvents.push_back(
            { "prompt_unservable",
              { { "request", record.arrivedRequest.callerId },
                { "customer", record.customer.value },
                { "priority", std::to_string(priority.level) },
                { "engine", record.admission.engine.value },
                { "engines_asked", std::to_string(record.unservableAnswers) },
                { "expected_wait_ms", std::to_string(inMilliseconds(record.unservableWait)) },
                { "after_ms", std::to_string(inMilliseconds(now - record.arrivedAt)) } } });
    const double spread = 1 + retryAfterSpread * draw(state);
    refuseAndForget(state, record, ResultCode::QueueFull,
                    fromSeconds(toSeconds(record.unservableWait) * spread), actions);
}

void handlePromptRead(GatewayState &state, const HostId &from, const PromptRead &read, Instant now)
{
    if (read.slowdown > 0 && from != state.self.id)
        recordStatedSlowdown(state, read.engine, read.slowdown, now);
    const auto pacer = state.pacers.find(read.engine);
    const auto upstream = state.upstreams.find(read.engine);
    if (pacer == state.pacers.end() || upstream == state.upstreams.end())
        return;
    handleRead(pacer->second, from, read, prefillRateOf(state, upstream->second.listed.service),
               now);
    state.enginesToAdmit.insert(read.engine);
}

void correctWindow(GatewayState &state, const Upstream &engine, std::uint32_t waiting,
                   Instant reportedAt, Instant now)
{
    if (isSmallFleet(state) || !isOwnEngine(state, engine, now)
        || (waiting == 0 && !state.pacers.contains(engine.listed.id)))
        return;
    PromptPacer &pacer = state.pacers[engine.listed.id];
    const double rate = readRate(pacer, prefillRateOf(state, engine.listed.service));
    correctByWaiting(pacer.window, waiting, rate, reportedAt, now);
}

void runAdmissions(GatewayState &state, Instant now, Actions &actions)
{
    while (!state.enginesToAdmit.empty() || !state.returnedAdmissions.empty()
           || !state.promptsRead.empty()) {
        sendReports(state, now, actions);
        MessagesByHost messages;
        std::vector<AdmissionReply> own;
        for (const UpstreamId &id : std::exchange(state.enginesToAdmit, {})) {
            for (AdmissionReply &reply : admitWaiting(state, id, messages, now))
                own.push_back(std::move(reply));
        }
        sendMessages(state, messages, MessageKind::AdmissionReply, actions);
        for (const AdmissionReply &reply : own)
            handleAdmissionReply(state, state.self.id, reply, now, actions);
    }
}

void runAllAdmissions(GatewayState &state, Instant now, Actions &actions)
{
    for (const auto &[id, pacer] : state.pacers) {
        if (!isIdle(pacer))
            state.enginesToAdmit.insert(id);
    }
    runAdmissions(state, now, actions);
}

void removeUnusedPacers(GatewayState &state, Instant now)
{
    std::erase_if(state.pacers, [&](const auto &entry) {
        const auto engine = state.upstreams.find(entry.first);
        return engine == state.upstreams.end()
                || (isIdle(entry.second) && !isOwnEngine(state, engine->second, now));
    });
}

} // namespace azurewell::gateway
