#include "azurewell/fleet/codec.h"
#include "world.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurewell::faults {

namespace {

/// Time after which the simulated shell abandons an unreachable or unresponsive upstream.
constexpr Span upstreamTimeout = fromSeconds(2);

/// Part of the answers whose end is lost after their last token.
constexpr double lostEndRate = 0.05;

int zoneIndexOf(const ZoneId &zone)
{
    return zone.value.back() - '0';
}

int zoneIndexOf(const UpstreamId &upstream)
{
    return (upstream.value.back() - '0') % zoneCount;
}

} // namespace

void World::execute(SimHost &host, const Action &action)
{
    if (const Refuse *refusal = std::get_if<Refuse>(&action)) {
        Refuse reported = *refusal;
        if (this->options.injectedBug == InjectedBug::AlwaysClaimNotRun)
            reported.runState = RunState::NotRun;
        if (this->options.injectedBug == InjectedBug::IgnoreCustomer
            && reported.code == ResultCode::AdapterUnknown) {
            this->dispatch(host,
                           Dispatch{ reported.request,
                                     1,
                                     this->engines.front().id,
                                     "",
                                     {},
                                     true,
                                     this->clockOf(host) + fromSeconds(1) });
            return;
        }
        this->trace(fmt::format("{} refuses {}: {} {}", host.id.value, reported.request.value,
                                infoOf(reported.code).name, nameOf(reported.runState)));
        this->checks.recordRefusal(reported);
    } else if (const Dispatch *toSend = std::get_if<Dispatch>(&action)) {
        this->dispatch(host, *toSend);
    } else if (const CancelAttempt *toCancel = std::get_if<CancelAttempt>(&action)) {
        this->trace(fmt::format("{} cancels {} at {}", host.id.value, toCancel->request.value,
                                toCancel->upstream.value));
        this->closeAttempt(host, *toCancel);
        this->schedule(this->randomSpan(0.001, 0.02),
                       [this, order = *toCancel] { this->cancel(order); });
    } else if (const SendPeer *message = std::get_if<SendPeer>(&action)) {
        this->sendPeer(host, *message);
    } else if (const OrderEngine *order = std::get_if<OrderEngine>(&action)) {
        this->orderEngine(host, *order);
    } else if (const QueryLoadReport *query = std::get_if<QueryLoadReport>(&action)) {
        this->queryLoad(host, *query);
    } else if (std::holds_alternative<ExitProcess>(action)) {
        for (const auto &[id, caller] : this->checks.callers) {
            if (caller.host == host.id && caller.incarnation == host.state.self.incarnation
                && !caller.isEnded)
                this->checks.fail("planned stop: " + host.id.value + " interrupted " + id.value);
        }
        host.isUp = false;
        this->schedule(this->randomSpan(0.5, 3), [this, id = host.id] {
            if (!this->findHost(id).isUp)
                this->startHost(this->findHost(id));
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
    const bool isUnreliable = this->unreliableUntil > this->now;
    const int copies = isUnreliable && this->chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (isUnreliable && this->chance(0.2))
            continue;
        const Span delay = isUnreliable ? this->randomSpan(0.001, 1.0)
                                        : this->randomSpan(0.0005, 0.005);
        this->schedule(delay, [this, frame, from = host.zoneIndex, to = message.to] {
            SimHost &receiver = this->findHost(to);
            if (this->isPartitioned(from, receiver.zoneIndex))
                return;
            const Result<PeerMessage> decoded = decodePayload(
                    std::string_view(frame).substr(frameHeaderBytes));
            this->deliver(receiver, PeerMessageReceived{ decoded.value() });
        });
    }
}

void World::checkDispatch(SimHost &host, const Dispatch &order, const CallerRecord &caller)
{
    const std::string &name = order.request.value;
    const auto withdrawn = this->withdrawnAt.find(caller.request.key);
    if (withdrawn != this->withdrawnAt.end()
        && this->now > std::max(withdrawn->second, host.connectedSince) + propagationLimit)
        this->checks.fail("key: " + name + " was sent with a withdrawn key");
    const auto leaving = host.leavingSince.find(order.upstream);
    if (leaving != host.leavingSince.end() && this->now > leaving->second + fromSeconds(5))
        this->checks.fail("leaving: " + name + " sent to " + order.upstream.value);
    const bool isOwners = caller.request.kind == RequestKind::ServiceCall
            || caller.request.adapter.value.starts_with(caller.owner.value + "-");
    if (caller.owner.value.empty() || !isOwners)
        this->checks.fail("customer: " + name + " was sent for another customer");
    if (order.resumeFrom.count != caller.tokens)
        this->checks.fail("answers: " + name + " resumes at the wrong token");
}

void World::dispatch(SimHost &host, const Dispatch &order)
{
    CallerRecord &caller = this->checks.callers.at(order.request);
    this->trace(fmt::format("{} sends {} ({}) to {}", host.id.value, order.request.value,
                            caller.request.adapter.value, order.upstream.value));
    this->checkDispatch(host, order, caller);
    caller.attempt = order.attempt;
    caller.isAttemptOpen = true;
    if (order.attempt == 1)
        this->checks.countTokens(caller.owner, caller.request.promptTokens.count, this->now);
    const Incarnation incarnation = host.state.self.incarnation;
    const bool isDuplicated = this->options.injectedBug == InjectedBug::SendTwice
            && !order.mayRunTwice;
    for (int copy = 0; copy < (isDuplicated ? 2 : 1); ++copy) {
        this->schedule(this->randomSpan(0.0005, 0.01), [this, id = host.id, incarnation, order] {
            this->send(id, incarnation, order);
        });
    }
}

void World::send(const HostId &id, Incarnation incarnation, const Dispatch &order)
{
    const SimHost &sender = this->findHost(id);
    if (!sender.isUp || sender.state.self.incarnation != incarnation)
        return;
    if (this->isPaused(sender)) {
        this->schedule(sender.pausedUntil - this->now + Span{ 1 },
                       [this, id, incarnation, order] { this->send(id, incarnation, order); });
        return;
    }
    // The traffic thread checks the deadline just before it sends the first byte.
    const bool isLate = this->clockOf(sender) >= order.notAfter;
    CallerRecord &caller = this->checks.callers.at(order.request);
    if (!caller.isAttemptOpen || caller.attempt != order.attempt)
        return; // cancelled before the first byte was sent
    const bool isUnsent = isLate
            || this->isPartitioned(sender.zoneIndex, zoneIndexOf(order.upstream));
    caller.isAttemptOpen = !isUnsent;
    if (isUnsent)
        this->deliverToIncarnation(id, incarnation,
                                   AttemptEnded{ order.request, order.attempt,
                                                 AttemptOutcome::NotSent, order.resumeFrom,
                                                 order.resumeFrom.count > 0 });
    else
        this->arrive(id, incarnation, order);
}

void World::arrive(const HostId &host, Incarnation incarnation, const Dispatch &order)
{
    Engine *engine = this->findEngine(order.upstream);
    if (!engine) {
        this->runService(host, incarnation, order);
        return;
    }
    CallerRecord &caller = this->checks.callers.at(order.request);
    if (caller.isEnded && this->options.injectedBug != InjectedBug::IgnoreCustomer)
        return; // the traffic thread received the cancellation before the first byte was sent
    AdapterRef adapter = caller.request.adapter;
    if (this->options.injectedBug == InjectedBug::SwapAdapter && !engine->loaded.empty())
        adapter = *engine->loaded.begin();
    if (!engine->loaded.contains(adapter)) {
        caller.isAttemptOpen = false;
        this->deliverToIncarnation(host, incarnation,
                                   AttemptEnded{ order.request, order.attempt,
                                                 AttemptOutcome::Refused, order.resumeFrom,
                                                 order.resumeFrom.count > 0 });
        return;
    }
    this->checks.recordRun(order.request, order.upstream);
    engine->sequences.push_back(Sequence{ order.request, host, incarnation, order.attempt, adapter,
                                          order.resumeFrom.count, caller.request.maxGenerated.count,
                                          false });
}

void World::runService(const HostId &host, Incarnation incarnation, const Dispatch &order)
{
    const bool isRefused = this->chance(0.1);
    if (!isRefused)
        this->checks.recordRun(order.request, order.upstream);
    const bool isAnswerLost = this->chance(0.1);
    AttemptOutcome outcome = isAnswerLost ? AttemptOutcome::Failed : AttemptOutcome::Done;
    if (isRefused)
        outcome = AttemptOutcome::Refused;
    Sequence call;
    call.request = order.request;
    call.host = host;
    call.incarnation = incarnation;
    call.attempt = order.attempt;
    this->endAttempt(call, outcome, this->randomSpan(0.05, 1.5));
}

void World::orderEngine(SimHost &host, const OrderEngine &order)
{
    const bool isSlow = this->slowOrdersUntil > this->now;
    const Span delay = isSlow ? this->randomSpan(0.1, 6.0) : this->randomSpan(0.001, 0.02);
    const Instant notAfter = this->now + (order.notAfter - this->clockOf(host));
    this->schedule(delay,
                   [this, id = host.id, incarnation = host.state.self.incarnation, order,
                    notAfter] { this->executeOrder(id, incarnation, order, notAfter); });
}

/// Whether the shell has closed the connection of an order before the order arrived. A paused or
/// replaced process does not close it in time, but its bytes are in flight for at most
/// maxOrderTransit.
bool World::isOrderTimedOut(const HostId &id, Incarnation incarnation, Instant notAfter)
{
    const SimHost &host = this->findHost(id);
    const bool isAwake = host.isUp && host.state.self.incarnation == incarnation
            && !this->isPaused(host);
    return this->now >= notAfter + (isAwake ? Span{} : maxOrderTransit);
}

void World::executeOrder(const HostId &host, Incarnation incarnation, const OrderEngine &order,
                         Instant notAfter)
{
    Engine &engine = *this->findEngine(order.engine);
    const bool isUnreachable = this->isPartitioned(this->findHost(host).zoneIndex,
                                                   zoneIndexOf(engine.zone));
    this->trace(fmt::format("{} gets from {}: {} {} fencing {}", engine.id.value, host.value,
                            order.isLoad ? "load" : "unload", order.adapter.value,
                            order.fencing.value));
    OrderEnded failed{ order.engine, order.adapter, order.isLoad, false, order.fencing, {} };
    const bool isTimedOut = this->isOrderTimedOut(host, incarnation, notAfter);
    const bool isFenced = !isUnreachable && !isTimedOut && engine.refusesFencing(order.fencing);
    if (isFenced)
        failed.engineFencing = engine.highestFencing;
    if (isUnreachable || isTimedOut || isFenced) {
        this->schedule(isUnreachable ? upstreamTimeout : Span{ 500 },
                       [this, host, incarnation, failed] {
                           this->deliverToIncarnation(host, incarnation, failed);
                       });
        return;
    }
    OrderEnded done = failed;
    done.isDone = true;
    if (!order.isLoad) {
        this->checks.recordUnload(engine.id, order.adapter, engine.isServing(order.adapter));
        engine.loaded.erase(order.adapter);
        this->schedule(Span{ 500 }, [this, host, incarnation, done] {
            this->deliverToIncarnation(host, incarnation, done);
        });
        return;
    }
    const bool isFull = engine.loaded.size() + engine.loading >= engine.adapterSlots;
    if (engine.failsLoadsUntil > this->now || (isFull && !engine.loaded.contains(order.adapter))) {
        this->schedule(Span{ 500 }, [this, host, incarnation, failed] {
            this->deliverToIncarnation(host, incarnation, failed);
        });
        return;
    }
    ++engine.loading;
    this->schedule(this->randomSpan(0.2, 0.5),
                   [this, host, incarnation, done, start = engine.start] {
                       Engine &loaded = *this->findEngine(done.engine);
                       OrderEnded ended = done;
                       ended.isDone = loaded.start == start;
                       if (ended.isDone) {
                           --loaded.loading;
                           loaded.loaded.insert(done.adapter);
                       }
                       this->deliverToIncarnation(host, incarnation, ended);
                   });
}

void World::queryLoad(SimHost &host, const QueryLoadReport &query)
{
    const Engine &engine = *this->findEngine(query.engine);
    LoadReported report = engine.report();
    report.queriedAt = query.queriedAt;
    report.isReachable = !this->isPartitioned(host.zoneIndex, zoneIndexOf(engine.zone));
    // Reports are delayed: they contain the state at the time of the query.
    this->schedule(this->randomSpan(0.001, 0.4),
                   [this, id = host.id, incarnation = host.state.self.incarnation, report] {
                       this->deliverToIncarnation(id, incarnation, report);
                   });
}

/// The traffic thread closes its connection; the host receives AttemptEnded 100 us later.
void World::closeAttempt(SimHost &host, const CancelAttempt &order)
{
    CallerRecord &caller = this->checks.callers.at(order.request);
    if (caller.host != host.id || !std::exchange(caller.isAttemptOpen, false) || caller.isEnded)
        return;
    const bool isComplete = caller.hasLastToken();
    if (isComplete) {
        caller.isEnded = true;
        caller.isCompletedAtCancel = true;
        ++this->checks.completed;
    }
    const AttemptEnded ended{ caller.request.request,  caller.attempt,    AttemptOutcome::Cancelled,
                              Tokens{ caller.tokens }, caller.tokens > 0, isComplete };
    this->schedule(Span{ 100 },
                   [this, id = host.id, incarnation = host.state.self.incarnation, ended] {
                       this->deliverToIncarnation(id, incarnation, ended);
                   });
}

void World::cancel(const CancelAttempt &order)
{
    if (Engine *engine = this->findEngine(order.upstream))
        std::erase_if(engine->sequences, [&order](const Sequence &sequence) {
            return sequence.request == order.request;
        });
}

void World::endAttempt(const Sequence &sequence, AttemptOutcome outcome, Span delay)
{
    this->schedule(delay, [this, sequence, outcome] {
        SimHost &host = this->findHost(sequence.host);
        CallerRecord &caller = this->checks.callers.at(sequence.request);
        if (!host.isUp || host.state.self.incarnation != sequence.incarnation || caller.isEnded
            || caller.attempt != sequence.attempt || !std::exchange(caller.isAttemptOpen, false))
            return;
        const bool isComplete = outcome == AttemptOutcome::Done || caller.hasLastToken();
        if (isComplete) {
            caller.isEnded = true;
            ++this->checks.completed;
        }
        this->deliver(host,
                      AttemptEnded{ sequence.request, sequence.attempt, outcome,
                                    Tokens{ caller.tokens }, caller.tokens > 0, isComplete });
    });
}

void World::makeTokens()
{
    for (Engine &engine : this->engines) {
        std::vector<Sequence> kept;
        std::uint32_t running = 0;
        for (Sequence &sequence : engine.sequences) {
            SimHost &host = this->findHost(sequence.host);
            CallerRecord &caller = this->checks.callers.at(sequence.request);
            const bool isLife = host.isUp && host.state.self.incarnation == sequence.incarnation;
            if (!isLife || caller.attempt != sequence.attempt || caller.isEnded
                || !caller.isAttemptOpen)
                continue; // the connection is closed
            if (this->isPartitioned(host.zoneIndex, zoneIndexOf(engine.zone))
                || this->chance(0.002)) {
                this->endAttempt(sequence, AttemptOutcome::Silent, upstreamTimeout);
                continue;
            }
            const bool isRunning = ++running <= engine.batchSlots;
            if (!isRunning || this->isPaused(host)) {
                kept.push_back(sequence);
                continue;
            }
            const bool isCrossed = this->options.injectedBug == InjectedBug::CrossAnswers
                    && engine.sequences.size() > 1;
            const Sequence &writer = isCrossed ? engine.sequences.back() : sequence;
            this->checks.recordToken(sequence.request, writer.request, sequence.adapter,
                                     sequence.position, this->now);
            ++sequence.position;
            this->deliver(
                    host,
                    AttemptProgress{ sequence.request, sequence.attempt, Tokens{ caller.tokens } });
            if (sequence.position < sequence.maxTokens)
                kept.push_back(sequence);
            else if (this->chance(lostEndRate))
                this->endAttempt(sequence, AttemptOutcome::Silent, upstreamTimeout);
            else
                this->endAttempt(sequence, AttemptOutcome::Done, Span{ 0 });
        }
        engine.sequences = std::move(kept);
    }
}

} // namespace azurewell::faults
