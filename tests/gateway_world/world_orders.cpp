#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

constexpr Span slowOrderLatency = std::chrono::milliseconds(200);

/// Time after which a host takes an order for unanswered.
constexpr Span orderTimeout = std::chrono::milliseconds(1200);

/// Orders of two hosts to one engine within this time violate the lease.
constexpr Span leaseLength = std::chrono::milliseconds(3000);

} // namespace

void World::checkCoordinator(std::size_t index, FakeEngine &engine, const OrderEngine &engineOrder)
{
    const HostId self = this->hosts[index].state.self.id;
    const bool isOther = !engine.lastOrderedBy.value.empty() && engine.lastOrderedBy != self;
    if (isOther && this->now - engine.lastOrderAt < leaseLength) {
        this->recordViolation(engine.id.value + ": " + self.value + " sent an order "
                              + std::to_string((this->now - engine.lastOrderAt).count() / 1000)
                              + " ms after " + engine.lastOrderedBy.value);
    }
    if (engineOrder.fencing.value < engine.highestFencing)
        this->recordViolation(engine.id.value
                              + ": received a fencing number lower than an earlier one");
    engine.highestFencing = std::max(engine.highestFencing, engineOrder.fencing.value);
    engine.lastOrderedBy = self;
    engine.lastOrderAt = this->now;
}

Span World::loadDuration(FakeEngine &engine, const ModelName &adapter)
{
    const auto held = std::find(engine.cachedAdapters.begin(), engine.cachedAdapters.end(),
                                adapter);
    const bool isHeld = held != engine.cachedAdapters.end();
    if (isHeld)
        engine.cachedAdapters.erase(held);
    engine.cachedAdapters.push_front(adapter);
    if (engine.cachedAdapters.size() > this->settings.cacheSize)
        engine.cachedAdapters.pop_back();
    if (isHeld)
        return this->settings.loadTime / 10;
    ++this->fetches;
    std::erase_if(this->fetchesEnd, [this](Instant end) { return end <= this->now; });
    const std::size_t others = this->fetchesEnd.size();
    const double slowdown = static_cast<double>(others + 1)
            / static_cast<double>(this->settings.fullSpeedLoads);
    const Span duration = fromSeconds(toSeconds(this->settings.loadTime) * std::max(slowdown, 1.0));
    this->fetchesEnd.push_back(this->now + duration);
    return duration;
}

void World::executeOrder(std::size_t index, const OrderEngine &engineOrder, FakeEngine &engine,
                         OrderEnded &ended)
{
    if (engineOrder.isLoad && engine.readyAt.contains(engineOrder.model)) {
        this->checkCoordinator(index, engine, engineOrder);
        ended.outcome = OrderOutcome::AlreadyDone;
        return;
    }
    if (engineOrder.expectedOrders != 0 && engineOrder.expectedOrders != engine.ordersTaken) {
        ended.outcome = OrderOutcome::Conflict;
        return;
    }
    this->checkCoordinator(index, engine, engineOrder);
    ended.outcome = OrderOutcome::Taken;
    if (engineOrder.model.isBase()) {
        engine.hasBase = true;
    } else if (engineOrder.isLoad) {
        if (engine.readyAt.size() >= this->settings.adapterSlots)
            this->recordViolation(
                    engine.id.value
                    + ": ordered to load an adapter while all adapter slots are occupied");
        engine.unused.insert(engineOrder.model);
        engine.readyAt[engineOrder.model] = this->now
                + this->loadDuration(engine, engineOrder.model);
        ++this->loads;
    } else {
        ++this->unloads;
        this->unusedLoads += engine.unused.erase(engineOrder.model);
        const auto held = engine.readyAt.find(engineOrder.model);
        if (held != engine.readyAt.end() && held->second > this->now) {
            // Nothing to unload yet; the load continues and keeps its slot.
            ended.outcome = OrderOutcome::AlreadyDone;
            return;
        }
        if (engine.running[engineOrder.model] > 0) {
            ++this->unloadsWhileInUse;
            engine.pendingUnloads.insert(engineOrder.model);
        } else {
            engine.readyAt.erase(engineOrder.model);
            ended.outcome = OrderOutcome::AlreadyDone;
        }
    }
    ++engine.ordersTaken;
    this->recordState(engine);
}

/// Whether the order is dropped: one of the first to load a base model, or one of a host without a
/// path to the engine. Its host is notified of the timeout after orderTimeout.
bool World::dropOrder(std::size_t index, const OrderEngine &engineOrder)
{
    const bool isLostBaseOrder = engineOrder.model.isBase() && this->settings.lostBaseOrders > 0;
    if (!this->isCut(index) && !isLostBaseOrder)
        return false;
    this->settings.lostBaseOrders -= isLostBaseOrder ? 1 : 0;
    this->endUnanswered(index, engineOrder);
    return true;
}

void World::endUnanswered(std::size_t index, const OrderEngine &engineOrder)
{
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    const OrderEnded ended{ engineOrder.engine,  engineOrder.model, engineOrder.isLoad,
                            engineOrder.version, this->now,         OrderOutcome::Unknown };
    this->schedule(this->now + orderTimeout, [this, index, incarnation, ended] {
        this->endOrder(index, incarnation, ended);
    });
}

Span World::orderLatency()
{
    std::uniform_real_distribution<double> part(0, 1);
    const bool isSlow = this->settings.slowOrderFraction > 0
            && part(this->random) < this->settings.slowOrderFraction;
    const Span latency = this->delayUpTo(this->settings.maxOrderDelay)
            + (isSlow ? slowOrderLatency + fromSeconds(part(this->random) * 0.3) : networkLatency);
    const bool isHeldUp = this->settings.heldUpOrderFraction > 0
            && part(this->random) < this->settings.heldUpOrderFraction;
    return isHeldUp ? latency + this->delayUpTo(this->settings.maxHoldUp) : latency;
}

void World::endOrder(std::size_t index, std::uint64_t incarnation, const OrderEnded &ended)
{
    this->whenScheduled(index, incarnation, [this, index, ended] {
        Actions actions;
        handle(this->hosts[index].state, ended, this->now, actions);
        this->applyActions(index, actions);
    });
}

void World::sendOrder(std::size_t index, const OrderEngine &engineOrder)
{
    if (this->dropOrder(index, engineOrder))
        return;
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    const Instant sentAt = this->now;
    const Span latency = this->orderLatency();
    const bool isAnswered = latency < orderTimeout;
    if (!isAnswered)
        this->endUnanswered(index, engineOrder);
    this->schedule(
            this->now + latency, [this, index, incarnation, engineOrder, sentAt, isAnswered] {
                FakeEngine &engine = *this->findEngine(engineOrder.engine);
                if (!engine.isUp)
                    return;
                OrderEnded ended{ engineOrder.engine,
                                  engineOrder.model,
                                  engineOrder.isLoad,
                                  engineOrder.version,
                                  sentAt,
                                  OrderOutcome::Refused };
                this->executeOrder(index, engineOrder, engine, ended);
                if (!isAnswered)
                    return;
                this->schedule(this->now + networkLatency, [this, index, incarnation, ended] {
                    this->endOrder(index, incarnation, ended);
                });
            });
}

EngineState World::stateOf(const FakeEngine &engine) const
{
    EngineState state;
    state.start = engine.start;
    state.ordersTaken = engine.ordersTaken;
    if (engine.hasBase)
        state.models.push_back(baseName);
    for (const auto &[name, readyAt] : engine.readyAt) {
        if (readyAt <= this->now)
            state.ready.push_back({ name, 1 });
        else
            state.loading.push_back({ name, {}, false });
    }
    return state;
}

void World::recordState(FakeEngine &engine)
{
    engine.stateHistory.emplace_back(this->now, this->stateOf(engine));
}

/// The state of \a engine that it reports now, some time ago.
EngineState World::reportedState(FakeEngine &engine)
{
    const Instant oldest = this->now - this->settings.reportLag - this->settings.reportLagJitter;
    while (engine.stateHistory.size() > 1 && engine.stateHistory[1].first <= oldest)
        engine.stateHistory.erase(engine.stateHistory.begin());
    const Instant at = oldest + this->delayUpTo(this->settings.reportLagJitter);
    const auto isLater = [at](const auto &entry) {
        return entry.first > at;
    };
    const auto next = std::find_if(engine.stateHistory.begin() + 1, engine.stateHistory.end(),
                                   isLater);
    return std::prev(next)->second;
}

void World::answerReport(std::size_t index, const QueryReport &query)
{
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    const Instant askedAt = this->now;
    this->schedule(this->now + networkLatency, [this, index, incarnation, query, askedAt] {
        FakeEngine &engine = *this->findEngine(query.engine);
        if (!engine.isUp || this->isCut(index))
            return;
        this->sendLeaving(index, engine);
        this->recordState(engine);
        const EngineState delayed = this->reportedState(engine);
        this->schedule(
                this->now + networkLatency, [this, index, incarnation, query, askedAt, delayed] {
                    if (this->now >= this->hosts[index].pausedUntil)
                        this->endReport(index, incarnation, { query.engine, askedAt, delayed });
                });
    });
}

void World::endReport(std::size_t index, std::uint64_t incarnation, const ReportRead &read)
{
    this->whenScheduled(index, incarnation, [this, index, read] {
        Actions actions;
        handle(this->hosts[index].state, read, this->now, actions);
        this->applyActions(index, actions);
    });
}

} // namespace azurewell::gateway
