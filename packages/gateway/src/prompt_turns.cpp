#include "internal.h"

#include <utility>

namespace azurewell::gateway {

namespace {

/// The answer of the host that orders at an engine is awaited for so long: messages take 2 to 4 ms,
/// and a small host may be busy for some time.
constexpr Span turnAnsweredWithin = std::chrono::milliseconds(30);

/// With a shorter wait than this no other engine is asked: the question itself takes some ms.
constexpr Span worthAnotherQuestion = std::chrono::milliseconds(40);

/// A turn at another engine is taken where it comes so much sooner.
constexpr Span leastGain = std::chrono::milliseconds(20);

double promptOf(const RequestRecord &record)
{
    return static_cast<double>(record.asked.promptTokens.count);
}

/// Gives back the turn of \a record at \a engine, which it does not use.
void returnTurn(GatewayState &state, const RequestRecord &record, const UpstreamId &engine,
                Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(engine);
    if (found == state.upstreams.end())
        return;
    const HostId holder = askedHolder(state, found->second, now);
    if (holder == state.self.id) {
        giveBackTurn(state.engines[engine].pacer, promptOf(record));
        return;
    }
    Gossip message = blankGossip(state, now);
    message.promptAsks.push_back(
            { engine, record.asked.model, record.asked.request.value, promptOf(record), true });
    sendTo(state, holder, MessageKind::PromptAsk, std::move(message), actions);
}

/// Of two turns the sooner one stays.
void compareTurns(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    const EngineTurn first = *std::exchange(record.firstTurn, std::nullopt);
    const bool isSooner = record.turnAt + leastGain < first.at;
    const UpstreamId unused = isSooner ? first.engine : record.turnEngine;
    if (!isSooner) {
        record.turnEngine = first.engine;
        record.turnAt = first.at;
    }
    returnTurn(state, record, unused, now, actions);
}

/// Asks another engine that has the adapter of \a record for a turn, where there is one.
void askAnother(GatewayState &state, RequestRecord &record, Instant now, Actions &actions)
{
    UpstreamNeed need = needOf(state, record);
    need.excluded.insert(record.turnEngine);
    const Upstream *other = chooseUpstream(state.upstreams, need, state.versions, draw(state), now);
    if (!other || now < other->avoidedUntil)
        return;
    record.firstTurn = EngineTurn{ record.turnEngine, record.turnAt };
    askTurn(state, record, *other, now, actions);
}

} // namespace

void askTurn(GatewayState &state, RequestRecord &record, const Upstream &engine, Instant now,
             Actions &actions)
{
    record.turnEngine = engine.listed.id;
    record.turn = PromptTurnState::Asked;
    record.turnAt = now + turnAnsweredWithin;
    const HostId holder = askedHolder(state, engine, now);
    if (holder == state.self.id) {
        PromptPacer &pacer = state.engines[engine.listed.id].pacer;
        const PromptTurn turn = takeTurn(pacer, record.asked.model, promptOf(record),
                                         readPerSecondOf(state, record.service), now);
        noteTurn(state, record, turn, now, actions);
        return;
    }
    Gossip ask = blankGossip(state, now);
    ask.promptAsks.push_back({ engine.listed.id, record.asked.model, record.asked.request.value,
                               promptOf(record), false });
    sendTo(state, holder, MessageKind::PromptAsk, std::move(ask), actions);
}

void noteTurn(GatewayState &state, RequestRecord &record, const PromptTurn &turn, Instant now,
              Actions &actions)
{
    record.turn = PromptTurnState::Known;
    record.turnAt = now + turn.wait;
    if (turn.isCopyWanted)
        loadCopy(state, needOf(state, record), now, actions);
    if (record.firstTurn)
        compareTurns(state, record, now, actions);
    else if (turn.wait >= worthAnotherQuestion)
        askAnother(state, record, now, actions);
}

bool hasTurn(RequestRecord &record, Instant now)
{
    if (now < record.turnAt)
        return false;
    if (record.turn == PromptTurnState::Asked && record.firstTurn) {
        record.turn = PromptTurnState::Known;
        record.turnEngine = record.firstTurn->engine;
        record.turnAt = record.firstTurn->at;
        record.firstTurn.reset();
    }
    return now >= record.turnAt;
}

} // namespace azurewell::gateway
