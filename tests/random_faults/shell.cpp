#include "azurewell/fleet/codec.h"
#include "world.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurewell::faults {

namespace {

/// How long the fake shell waits for an upstream that cannot be reached, or has gone silent.
constexpr Span silence = fromSeconds(2);

int zoneIndexOf(const ZoneId &zone)
{
    return zone.value.back() - '0';
}

int zoneIndexOf(const UpstreamId &upstream)
{
    return (upstream.value.back() - '0') % zoneCount;
}

} // namespace

void World::carryOut(SimHost &host, const Action &action)
{
    if (const Refuse *refusal = std::get_if<Refuse>(&action)) {
        Refuse told = *refusal;
        if (this->options.sabotage == Sabotage::LieNotRun)
            told.runState = RunState::NotRun;
        if (this->options.sabotage == Sabotage::IgnoreOwner
            && told.code == ResultCode::AdapterUnknown) {
            this->dispatch(host,
                           Dispatch{ told.request,
                                     1,
                                     this->engines.front().id,
                                     "",
                                     {},
                                     true,
                                     this->clockOf(host) + fromSeconds(1) });
            return;
        }
        this->trace(fmt::format("{} refuses {}: {} {}", host.id.value, told.request.value,
                                infoOf(told.code).name, nameOf(told.runState)));
        this->checks.noteRefusal(told);
    } else if (const Dispatch *toSend = std::get_if<Dispatch>(&action)) {
        this->dispatch(host, *toSend);
    } else if (const CancelAttempt *toCancel = std::get_if<CancelAttempt>(&action)) {
        this->trace(fmt::format("{} cancels {} at {}", host.id.value, toCancel->request.value,
                                toCancel->upstream.value));
        this->closeAttempt(host, *toCancel);
        this->later(this->between(0.001, 0.02), [this, order = *toCancel] { this->cancel(order); });
    } else if (const SendPeer *message = std::get_if<SendPeer>(&action)) {
        this->sendPeer(host, *message);
    } else if (const OrderEngine *order = std::get_if<OrderEngine>(&action)) {
        this->orderEngine(host, *order);
    } else if (const AskLoad *question = std::get_if<AskLoad>(&action)) {
        this->askLoad(host, *question);
    } else if (std::holds_alternative<LeaveProcess>(action)) {
        for (const auto &[id, caller] : this->checks.callers) {
            if (caller.host == host.id && caller.life == host.state.self.incarnation
                && !caller.isEnded)
                this->checks.fail("planned stop: " + host.id.value + " cut off " + id.value);
        }
        host.isUp = false;
        this->later(this->between(0.5, 3), [this, id = host.id] {
            if (!this->hostOf(id).isUp)
                this->startHost(this->hostOf(id));
        });
    }
}

void World::sendPeer(SimHost &host, const SendPeer &message)
{
    if (const SlotGrant *grant = std::get_if<SlotGrant>(&message.body))
        this->trace(fmt::format("{} grants {} round {} at {} to {}", host.id.value,
                                grant->request.value, grant->round, grant->engine.value,
                                message.to.value));
    if (const SlotRelease *release = std::get_if<SlotRelease>(&message.body))
        this->trace(fmt::format("{} releases {} round {} at {} to {}", host.id.value,
                                release->request.value, release->round, release->engine.value,
                                message.to.value));
    const std::string frame = encodeFrame(
            PeerMessage{ host.id, host.state.self.incarnation, message.body });
    const bool isMessy = this->messyUntil > this->now;
    const int copies = isMessy && this->chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (isMessy && this->chance(0.2))
            continue;
        const Span delay = isMessy ? this->between(0.001, 1.0) : this->between(0.0005, 0.005);
        this->later(delay, [this, frame, from = host.zoneIndex, to = message.to] {
            SimHost &receiver = this->hostOf(to);
            if (this->isCut(from, receiver.zoneIndex))
                return;
            const Result<PeerMessage> decoded = decodePayload(
                    std::string_view(frame).substr(frameHeadBytes));
            this->give(receiver, PeerMessageReceived{ decoded.value() });
        });
    }
}

void World::checkDispatch(SimHost &host, const Dispatch &order, const CallerView &caller)
{
    const std::string &name = order.request.value;
    const auto withdrawn = this->withdrawnAt.find(caller.asked.key);
    if (withdrawn != this->withdrawnAt.end()
        && this->now > std::max(withdrawn->second, host.connectedSince) + promptly)
        this->checks.fail("key: " + name + " sent with a withdrawn key");
    const auto leaving = host.leavingSince.find(order.upstream);
    if (leaving != host.leavingSince.end() && this->now > leaving->second + fromSeconds(5))
        this->checks.fail("leaving: " + name + " sent to " + order.upstream.value);
    const bool isOwners = caller.asked.kind == RequestKind::ServiceCall
            || caller.asked.adapter.value.starts_with(caller.owner.value + "-");
    if (caller.owner.value.empty() || !isOwners)
        this->checks.fail("customer: " + name + " sent for another customer");
    if (order.resumeFrom.count != caller.tokens)
        this->checks.fail("answers: " + name + " resumes at the wrong token");
}

void World::dispatch(SimHost &host, const Dispatch &order)
{
    CallerView &caller = this->checks.callers.at(order.request);
    this->trace(fmt::format("{} sends {} ({}) to {}", host.id.value, order.request.value,
                            caller.asked.adapter.value, order.upstream.value));
    this->checkDispatch(host, order, caller);
    caller.attempt = order.attempt;
    caller.isAttemptOpen = true;
    if (order.attempt == 1)
        this->checks.receive(caller.owner, caller.asked.promptTokens.count, this->now);
    const Incarnation life = host.state.self.incarnation;
    const bool isTwice = this->options.sabotage == Sabotage::SendTwice && !order.mayRunTwice;
    for (int copy = 0; copy < (isTwice ? 2 : 1); ++copy) {
        this->later(this->between(0.0005, 0.01),
                    [this, id = host.id, life, order] { this->send(id, life, order); });
    }
}

void World::send(const HostId &id, Incarnation life, const Dispatch &order)
{
    const SimHost &sender = this->hostOf(id);
    if (!sender.isUp || sender.state.self.incarnation != life)
        return;
    if (this->isPaused(sender)) {
        this->later(sender.pausedUntil - this->now + Span{ 1 },
                    [this, id, life, order] { this->send(id, life, order); });
        return;
    }
    // The traffic thread looks at the deadline just before the first byte.
    const bool isLate = this->clockOf(sender) >= order.notAfter;
    CallerView &caller = this->checks.callers.at(order.request);
    if (!caller.isAttemptOpen || caller.attempt != order.attempt)
        return; // cancelled before the first byte
    const bool isUnsent = isLate || this->isCut(sender.zoneIndex, zoneIndexOf(order.upstream));
    caller.isAttemptOpen = !isUnsent;
    if (isUnsent)
        this->giveLife(id, life,
                       AttemptEnded{ order.request, order.attempt, AttemptOutcome::NotSent,
                                     order.resumeFrom, order.resumeFrom.count > 0 });
    else
        this->arrive(id, life, order);
}

void World::arrive(const HostId &host, Incarnation life, const Dispatch &order)
{
    Engine *engine = this->engineOf(order.upstream);
    if (!engine) {
        this->runService(host, life, order);
        return;
    }
    CallerView &caller = this->checks.callers.at(order.request);
    if (caller.isEnded && this->options.sabotage != Sabotage::IgnoreOwner)
        return; // the traffic thread had the cancel before the first byte
    AdapterRef adapter = caller.asked.adapter;
    if (this->options.sabotage == Sabotage::SwapAdapter && !engine->loaded.empty())
        adapter = *engine->loaded.begin();
    if (!engine->loaded.contains(adapter)) {
        caller.isAttemptOpen = false;
        this->giveLife(host, life,
                       AttemptEnded{ order.request, order.attempt, AttemptOutcome::Refused,
                                     order.resumeFrom, order.resumeFrom.count > 0 });
        return;
    }
    this->checks.noteRun(order.request, order.upstream);
    engine->sequences.push_back(Sequence{ order.request, host, life, order.attempt, adapter,
                                          order.resumeFrom.count, caller.asked.mostGenerated.count,
                                          false });
}

void World::runService(const HostId &host, Incarnation life, const Dispatch &order)
{
    const bool isRefused = this->chance(0.1);
    if (!isRefused)
        this->checks.noteRun(order.request, order.upstream);
    const bool isAnswerLost = this->chance(0.1);
    AttemptOutcome outcome = isAnswerLost ? AttemptOutcome::Failed : AttemptOutcome::Done;
    if (isRefused)
        outcome = AttemptOutcome::Refused;
    Sequence call;
    call.request = order.request;
    call.host = host;
    call.incarnation = life;
    call.attempt = order.attempt;
    this->endAttempt(call, outcome, this->between(0.05, 1.5));
}

void World::orderEngine(SimHost &host, const OrderEngine &order)
{
    const bool isSlow = this->slowOrdersUntil > this->now;
    const Span delay = isSlow ? this->between(0.1, 6.0) : this->between(0.001, 0.02);
    const Instant notAfter = this->now + (order.notAfter - this->clockOf(host));
    this->later(delay, [this, id = host.id, life = host.state.self.incarnation, order, notAfter] {
        this->carryOutOrder(id, life, order, notAfter);
    });
}

/// Whether the shell has closed the order's connection before it arrived. A stopped or replaced
/// process closes nothing in time, but its bytes are on their way for orderFlight at most.
bool World::givesUp(const HostId &id, Incarnation life, Instant notAfter)
{
    const SimHost &host = this->hostOf(id);
    const bool isAwake = host.isUp && host.state.self.incarnation == life && !this->isPaused(host);
    return this->now >= notAfter + (isAwake ? Span{} : orderFlight);
}

void World::carryOutOrder(const HostId &host, Incarnation life, const OrderEngine &order,
                          Instant notAfter)
{
    Engine &engine = *this->engineOf(order.engine);
    const bool isUnreachable = this->isCut(this->hostOf(host).zoneIndex, zoneIndexOf(engine.zone));
    this->trace(fmt::format("{} gets from {}: {} {} fencing {}", engine.id.value, host.value,
                            order.isLoad ? "load" : "unload", order.adapter.value,
                            order.fencing.value));
    OrderEnded failed{ order.engine, order.adapter, order.isLoad, false, order.fencing, {} };
    const bool isGivenUp = this->givesUp(host, life, notAfter);
    const bool isFenced = !isUnreachable && !isGivenUp && engine.refusesFencing(order.fencing);
    if (isFenced)
        failed.refusedBy = engine.highest;
    if (isUnreachable || isGivenUp || isFenced) {
        this->later(isUnreachable ? silence : Span{ 500 },
                    [this, host, life, failed] { this->giveLife(host, life, failed); });
        return;
    }
    OrderEnded done = failed;
    done.isDone = true;
    if (!order.isLoad) {
        this->checks.noteUnload(engine.id, order.adapter, engine.isServing(order.adapter));
        engine.loaded.erase(order.adapter);
        this->later(Span{ 500 }, [this, host, life, done] { this->giveLife(host, life, done); });
        return;
    }
    const bool isFull = engine.loaded.size() + engine.loading >= engine.adapterSlots;
    if (engine.failsLoadsUntil > this->now || (isFull && !engine.loaded.contains(order.adapter))) {
        this->later(Span{ 500 },
                    [this, host, life, failed] { this->giveLife(host, life, failed); });
        return;
    }
    ++engine.loading;
    this->later(this->between(0.2, 0.5), [this, host, life, done, start = engine.start] {
        Engine &loaded = *this->engineOf(done.engine);
        OrderEnded ended = done;
        ended.isDone = loaded.start == start;
        if (ended.isDone) {
            --loaded.loading;
            loaded.loaded.insert(done.adapter);
        }
        this->giveLife(host, life, ended);
    });
}

void World::askLoad(SimHost &host, const AskLoad &question)
{
    const Engine &engine = *this->engineOf(question.engine);
    LoadReported report = engine.report();
    report.askedAt = question.askedAt;
    report.isReachable = !this->isCut(host.zoneIndex, zoneIndexOf(engine.zone));
    // Reports lag: what was true at the question arrives later.
    this->later(this->between(0.001, 0.4),
                [this, id = host.id, life = host.state.self.incarnation, report] {
                    this->giveLife(id, life, report);
                });
}

/// The traffic thread drops its connection; the engine hears of it a moment later.
void World::closeAttempt(SimHost &host, const CancelAttempt &order)
{
    CallerView &caller = this->checks.callers.at(order.request);
    if (caller.host != host.id || !std::exchange(caller.isAttemptOpen, false) || caller.isEnded)
        return;
    this->later(Span{ 100 }, [this, id = host.id, life = host.state.self.incarnation, caller] {
        this->giveLife(id, life,
                       AttemptEnded{ caller.asked.request, caller.attempt,
                                     AttemptOutcome::Cancelled, Tokens{ caller.tokens },
                                     caller.tokens > 0 });
    });
}

void World::cancel(const CancelAttempt &order)
{
    if (Engine *engine = this->engineOf(order.upstream))
        std::erase_if(engine->sequences, [&order](const Sequence &sequence) {
            return sequence.request == order.request;
        });
}

void World::endAttempt(const Sequence &sequence, AttemptOutcome outcome, Span delay)
{
    this->later(delay, [this, sequence, outcome] {
        SimHost &host = this->hostOf(sequence.host);
        CallerView &caller = this->checks.callers.at(sequence.request);
        if (!host.isUp || host.state.self.incarnation != sequence.incarnation || caller.isEnded
            || caller.attempt != sequence.attempt || !std::exchange(caller.isAttemptOpen, false))
            return;
        if (outcome == AttemptOutcome::Done) {
            caller.isEnded = true;
            ++this->checks.completed;
        }
        this->give(host,
                   AttemptEnded{ sequence.request, sequence.attempt, outcome,
                                 Tokens{ caller.tokens }, caller.tokens > 0 });
    });
}

void World::makeTokens()
{
    for (Engine &engine : this->engines) {
        std::vector<Sequence> kept;
        std::uint32_t running = 0;
        for (Sequence &sequence : engine.sequences) {
            SimHost &host = this->hostOf(sequence.host);
            CallerView &caller = this->checks.callers.at(sequence.request);
            const bool isLife = host.isUp && host.state.self.incarnation == sequence.incarnation;
            if (!isLife || caller.attempt != sequence.attempt || caller.isEnded
                || !caller.isAttemptOpen)
                continue; // the connection is closed
            if (this->isCut(host.zoneIndex, zoneIndexOf(engine.zone)) || this->chance(0.002)) {
                this->endAttempt(sequence, AttemptOutcome::Silent, silence);
                continue;
            }
            const bool isRunning = ++running <= engine.batchSlots;
            if (!isRunning || this->isPaused(host)) {
                kept.push_back(sequence);
                continue;
            }
            const bool isCrossed = this->options.sabotage == Sabotage::CrossAnswers
                    && engine.sequences.size() > 1;
            const Sequence &writer = isCrossed ? engine.sequences.back() : sequence;
            this->checks.noteToken(sequence.request, writer.request, sequence.adapter,
                                   sequence.place, this->now);
            ++sequence.place;
            this->give(
                    host,
                    AttemptProgress{ sequence.request, sequence.attempt, Tokens{ caller.tokens } });
            if (sequence.place >= sequence.most)
                this->endAttempt(sequence, AttemptOutcome::Done, Span{ 0 });
            else
                kept.push_back(sequence);
        }
        engine.sequences = std::move(kept);
    }
}

} // namespace azurewell::faults
