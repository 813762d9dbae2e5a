#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

constexpr Span answerLatency = std::chrono::milliseconds(100);

/// Hosts must comply with a limit from this long after an answer first stated it.
constexpr Span complianceDelay = std::chrono::seconds(3);
/// And from this long after they received an answer that states it.
constexpr Span receiveDelay = std::chrono::milliseconds(500);
/// Arrivals are counted in any window of this length.
constexpr Span limitWindow = std::chrono::seconds(4);

} // namespace

void World::limitEngine(std::size_t index, double perSecond)
{
    FakeEngine &engine = this->engines[index];
    engine.limitPerSecond = perSecond;
    engine.limitStatedAt = {};
    engine.limitReceivedAt.clear();
}

void World::recordLimitedArrival(std::size_t host, FakeEngine &engine)
{
    const auto received = engine.limitReceivedAt.find(host);
    const bool mustComply = engine.limitStatedAt.micros != 0
            && this->now >= engine.limitStatedAt + complianceDelay
            && received != engine.limitReceivedAt.end()
            && this->now >= received->second + receiveDelay
            && this->now >= this->hosts[host].stableSince + complianceDelay;
    if (mustComply)
        engine.arrivalsUnderLimit.push_back(this->now);
}

void World::sendLimit(const FakeRun &run, FakeEngine &engine, Instant sentAt)
{
    const double perSecond = limitFrom(engine.limitPerSecond,
                                       static_cast<double>(engine.maxRejections));
    if (perSecond > 0 && engine.limitStatedAt.micros == 0)
        engine.limitStatedAt = this->now;
    const UpstreamId id = engine.id;
    this->schedule(this->now + answerLatency, [this, run, id, perSecond, sentAt] {
        if (!this->isIncarnationRunning(run.host, run.hostIncarnation))
            return;
        if (perSecond > 0)
            this->findEngine(id)->limitReceivedAt.emplace(run.host, this->now);
        Actions actions;
        handle(this->hosts[run.host].state, LimitStated{ id, perSecond, sentAt, false }, this->now,
               actions);
        this->applyActions(run.host, actions);
    });
}

std::size_t World::maxArrivalsUnderLimit(std::size_t index) const
{
    const std::vector<Instant> &arrivals = this->engines[index].arrivalsUnderLimit;
    std::size_t maximum = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::find_if(first, arrivals.end(),
                                      [&](Instant at) { return at - *first >= limitWindow; });
        maximum = std::max(maximum, static_cast<std::size_t>(end - first));
    }
    return maximum;
}

} // namespace azurewell::gateway
