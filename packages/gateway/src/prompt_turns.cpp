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

double promptOf(const RequestRecord &record)
{
    return static_cast<double>(record.asked.promptTokens.count);
}

/// The admission request to the coordinator of \a upstream.
PromptAsk admissionRequestFor(const RequestRecord &record, const Upstream &upstream, Instant now)
{
    const double limit = isInForce(upstream.limit, now) ? upstream.limit.perSecond : 0;
    return { upstream.listed.id,
             record.asked.model,
             record.asked.request.value,
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
    const HostId coordinator = askedHolder(state, found->second, now);
    PromptAsk returned = admissionRequestFor(record, found->second, now);
    returned.isGivenBack = true;
    if (coordinator == state.self.id) {
        giveBackTurn(state, state.engines[engine], found->second, returned);
        return;
    }
    Gossip message = blankGossip(state, now);
    message.promptAsks.push_back(std::move(returned));
    sendTo(state, coordinator, MessageKind::PromptAsk, std::move(message), actions);
}

/// Keeps the earlier one of two admissions and cancels the other.
void keepEarlierAdmission(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const EngineAdmission first = *std::exchange(record.firstAdmission, std::nullopt);
    const bool isSooner = record.turnAt + minAdmissionGain < first.at;
    const UpstreamId unused = isSooner ? first.engine : record.admissionEngine;
    if (!isSooner) {
        record.admissionEngine = first.engine;
        record.turnAt = first.at;
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
    record.firstAdmission = EngineAdmission{ record.admissionEngine, record.turnAt,
                                             record.isPermit };
    requestAdmission(state, record, *other, now, actions);
}

} // namespace

PromptTurn takeTurnAt(const GatewayState &state, OrderedEngine &engine, const Upstream &upstream,
                      const PromptAsk &request, Instant now)
{
    PromptTurn turn;
    if (!isSmallFleet(state) && !request.adapter.isBase()) {
        turn = takeTurn(engine.pacer, request.adapter, request.tokens,
                        prefillRateOf(state, upstream.listed.service), now);
    }
    const double limit = isInForce(upstream.limit, now) ? upstream.limit.perSecond : request.limit;
    if (limit > 0) {
        turn.wait = std::max(turn.wait, reservePermit(engine.permits, limit, now));
        turn.isPermit = true;
    }
    return turn;
}

void giveBackTurn(const GatewayState &state, OrderedEngine &engine, const Upstream &upstream,
                  const PromptAsk &request)
{
    if (!isSmallFleet(state) && !request.adapter.isBase())
        giveBackTurn(engine.pacer, request.tokens);
    const double limit = upstream.limit.perSecond > 0 ? upstream.limit.perSecond : request.limit;
    if (limit > 0)
        returnPermit(engine.permits, limit);
}

bool needsAdmission(const GatewayState &state, const Upstream &upstream, const ModelName &model,
                    Instant now)
{
    return isInForce(upstream.limit, now) || (!isSmallFleet(state) && !model.isBase());
}

bool lacksPermit(const RequestRecord &record, const Upstream &upstream, Instant now)
{
    return isInForce(upstream.limit, now)
            && (!record.isPermit || record.admissionEngine != upstream.listed.id);
}

bool isTooLate(const RequestRecord &record)
{
    return record.isPermit && record.turn == PromptTurnState::Answered
            && record.turnAt > record.placementDeadline;
}

void excludeUpstream(GatewayState &state, RequestRecord &record, const UpstreamId &limited,
                     Instant now, Actions &actions)
{
    if (record.turn == PromptTurnState::Answered)
        cancelAdmission(state, record, record.admissionEngine, now, actions);
    record.excluded.insert(limited);
    record.turn = PromptTurnState::NotRequested;
    record.isPermit = false;
}

void requestAdmission(GatewayState &state, RequestRecord &record, const Upstream &engine,
                      Instant now, Actions &actions)
{
    record.admissionEngine = engine.listed.id;
    record.turn = PromptTurnState::Asked;
    record.turnAt = now + admissionTimeout;
    record.isPermit = false;
    const HostId coordinator = askedHolder(state, engine, now);
    PromptAsk request = admissionRequestFor(record, engine, now);
    if (coordinator == state.self.id) {
        const PromptTurn turn = takeTurnAt(state, state.engines[engine.listed.id], engine, request,
                                           now);
        noteTurn(state, record, turn, now, actions);
        return;
    }
    Gossip message = blankGossip(state, now);
    message.promptAsks.push_back(std::move(request));
    sendTo(state, coordinator, MessageKind::PromptAsk, std::move(message), actions);
}

void noteTurn(GatewayState &state, RequestRecord &record, const PromptTurn &turn, Instant now,
              Actions &actions)
{
    record.turn = PromptTurnState::Answered;
    record.turnAt = now + turn.wait;
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
    if (now < record.turnAt)
        return false;
    if (record.turn == PromptTurnState::Asked && record.firstAdmission) {
        record.turn = PromptTurnState::Answered;
        record.admissionEngine = record.firstAdmission->engine;
        record.turnAt = record.firstAdmission->at;
        record.isPermit = record.firstAdmission->isPermit;
        record.firstAdmission.reset();
    }
    return now >= record.turnAt;
}

} // namespace azurewell::gateway
