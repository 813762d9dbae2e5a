#include "azurewell/gateway/warmup.h"
#include "internal.h"

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

double promptOf(const RequestRecord &record)
{
    return static_cast<double>(record.arrivedRequest.promptTokens.count);
}

/// The admission request to the coordinator of \a upstream.
AdmissionRequest admissionRequestFor(const GatewayState &state, const RequestRecord &record,
                                     const Upstream &upstream, Instant now)
{
    const double limit = permitsPerSecond(state, upstream, now);
    return { upstream.listed.id,
             record.arrivedRequest.model,
             record.arrivedRequest.request.value,
             promptOf(record),
             false,
             limit };
}

/// Cancels the unused admission of \a record at \a engine.
void cancelAdmission(GatewayState &state, const RequestRecord &record, const UpstreamId &engine,
                     Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(engine);
    if (found == state.upstreams.end())
        return;
    const HostId coordinator = coordinatorOf(state, found->second, now);
    AdmissionRequest returned = admissionRequestFor(state, record, found->second, now);
    returned.isReturned = true;
    if (coordinator == state.self.id) {
        releaseAdmission(state, state.engines[engine], returned, state.self.id);
        return;
    }
    Gossip message = messageHeader(state, now);
    message.admissionRequests.push_back(std::move(returned));
    sendTo(state, coordinator, MessageKind::AdmissionRequest, std::move(message), actions);
}

/// Keeps the earlier one of two admissions and cancels the other.
void keepEarlierAdmission(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const EngineAdmission first = *std::exchange(record.firstAdmission, std::nullopt);
    const bool isSooner = record.admissionAt + minAdmissionGain < first.at;
    const UpstreamId unused = isSooner ? first.engine : record.admissionEngine;
    if (!isSooner) {
        record.admissionEngine = first.engine;
        record.admissionAt = first.at;
        record.isPermit = first.isPermit;
    }
    cancelAdmission(state, record, unused, now, actions);
}

/// Requests admission at another engine that has the adapter of \a record, if there is one.
void requestOtherAdmission(GatewayState &state, RequestRecord &record, Instant now,
                           Actions &actions)
{
    UpstreamNeed need = needOf(state, record);
    need.excluded.insert(record.admissionEngine);
    const Upstream *other = chooseUpstream(state.upstreams, need, state.versions, draw(state), now);
    if (!other || now < other->avoidedUntil)
        return;
    record.firstAdmission = EngineAdmission{ record.admissionEngine, record.admissionAt,
                                             record.isPermit };
    requestAdmission(state, record, *other, now, actions);
}

/// Sets a random time for the first permit of a host that issues a part of an upstream's permits.
/// All hosts of a fleet that has just split begin to do so at once.
void spreadFirstPermit(GatewayState &state, PermitPacer &pacer, double perSecond, Instant now)
{
    pacer.nextAt = now + fromSeconds(draw(state) / perSecond);
}

} // namespace

PromptAdmission admitPromptAt(GatewayState &state, OrderedEngine &engine, const Upstream &upstream,
                              const AdmissionRequest &request, const HostId &requester, Instant now)
{
    const PermitHolder holder{ requester, request.request };
    PromptAdmission turn;
    if (!isSmallFleet(state) && !request.adapter.isBase()) {
        turn = admitPrompt(engine.pacer, request.adapter, request.tokens,
                           prefillRateOf(state, upstream.listed.service), now);
    }
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
    return turn;
}

void releaseAdmission(const GatewayState &state, OrderedEngine &engine,
                      const AdmissionRequest &request, const HostId &requester)
{
    if (!isSmallFleet(state) && !request.adapter.isBase())
        releaseAdmission(engine.pacer, request.tokens);
    const PermitHolder holder{ requester, request.request };
    returnPermit(engine.burstPermits, holder);
    returnPermit(engine.permits, holder);
}

bool needsAdmission(const GatewayState &state, const Upstream &upstream, const ModelName &model,
                    Instant now)
{
    return isRateLimited(upstream, now) || limitsColdUpstreams(state, upstream)
            || (!isSmallFleet(state) && !model.isBase());
}

bool lacksPermit(GatewayState &state, const RequestRecord &record, const Upstream &upstream,
                 Instant now)
{
    const bool isAdmittedHere = record.isPermit && record.admissionEngine == upstream.listed.id;
    if (!isAdmittedHere && limitsColdUpstreams(state, upstream)
        && !takeOwnShare(state, upstream, now))
        return true;
    return isRateLimited(upstream, now)
            && (!isAdmittedHere || now >= record.admissionAt + permitValidity);
}

bool isPermitTooLate(const RequestRecord &record)
{
    return record.isPermit && record.admissionState == PromptAdmissionState::Answered
            && record.admissionAt > record.placementDeadline;
}

void excludeUpstream(GatewayState &state, RequestRecord &record, const UpstreamId &limited,
                     Instant now, Actions &actions)
{
    if (record.admissionState == PromptAdmissionState::Answered)
        cancelAdmission(state, record, record.admissionEngine, now, actions);
    record.excluded.insert(limited);
    record.admissionState = PromptAdmissionState::NotRequested;
    record.isPermit = false;
}

void requestAdmission(GatewayState &state, RequestRecord &record, const Upstream &engine,
                      Instant now, Actions &actions)
{
    record.admissionEngine = engine.listed.id;
    record.admissionState = PromptAdmissionState::AwaitingAnswer;
    record.admissionAt = now + admissionTimeout;
    record.isPermit = false;
    const HostId coordinator = coordinatorOf(state, engine, now);
    AdmissionRequest request = admissionRequestFor(state, record, engine, now);
    if (coordinator == state.self.id) {
        const PromptAdmission turn = admitPromptAt(state, state.engines[engine.listed.id], engine,
                                                   request, state.self.id, now);
        handleAdmission(state, record, turn, now, actions);
        return;
    }
    Gossip message = messageHeader(state, now);
    message.admissionRequests.push_back(std::move(request));
    sendTo(state, coordinator, MessageKind::AdmissionRequest, std::move(message), actions);
}

void handleAdmission(GatewayState &state, RequestRecord &record, const PromptAdmission &turn,
                     Instant now, Actions &actions)
{
    record.admissionState = PromptAdmissionState::Answered;
    record.admissionAt = now + turn.wait;
    record.isPermit = turn.isPermit;
    if (turn.isCopyWanted)
        loadCopy(state, needOf(state, record), now, actions);
    if (record.firstAdmission)
        keepEarlierAdmission(state, record, now, actions);
    else if (turn.wait >= minWaitToAskOther)
        requestOtherAdmission(state, record, now, actions);
}

bool isAdmitted(RequestRecord &record, Instant now)
{
    if (now < record.admissionAt)
        return false;
    if (record.admissionState == PromptAdmissionState::AwaitingAnswer && record.firstAdmission) {
        record.admissionState = PromptAdmissionState::Answered;
        record.admissionEngine = record.firstAdmission->engine;
        record.admissionAt = record.firstAdmission->at;
        record.isPermit = record.firstAdmission->isPermit;
        record.firstAdmission.reset();
    }
    return now >= record.admissionAt;
}

} // namespace azurewell::gateway
