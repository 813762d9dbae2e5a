#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

constexpr Span answerLatency = std::chrono::milliseconds(100);

/// A request that a caller sent this long after its host had received an answer of a leaving engine
/// must not reach that engine.
constexpr Span drainTimeout = std::chrono::seconds(2);

/// Requests that arrive earlier after an answer that asks for a pause do not count.
constexpr Span pauseNoticeTime = std::chrono::milliseconds(500);

/// An engine has less room from this long after it began to state that it is brittle.
constexpr Span brittleNoticeTime = std::chrono::seconds(3);
constexpr Span rejectionWindow = std::chrono::seconds(1);

} // namespace

void World::stateLeaving(std::size_t index)
{
    this->engines[index].isLeaving = true;
}

void World::statePauses(std::size_t index, Span pause)
{
    this->engines[index].pause = pause;
}

void World::makeBrittle(std::size_t index, std::size_t room, std::size_t maxRejections)
{
    this->engines[index].maxRejections = maxRejections;
    this->schedule(this->now + brittleNoticeTime,
                   [this, index, room] { this->engines[index].room = room; });
}

bool World::rejectWithoutRoom(const FakeRun &run, FakeEngine &engine)
{
    if (engine.room == 0 || engine.runs.size() < engine.room)
        return false;
    std::erase_if(engine.rejections,
                  [this](Instant at) { return this->now - at >= rejectionWindow; });
    engine.rejections.push_back(this->now);
    this->schedule(this->now + answerLatency,
                   [this, run] { this->endAttempt(run, AttemptOutcome::NotRun); });
    if (engine.rejections.size() > engine.maxRejections) {
        engine.rejections.clear();
        ++this->crashesByRejections;
        this->crashEngine(static_cast<std::size_t>(&engine - this->engines.data()));
    }
    return true;
}

std::size_t World::maxArrivalsInPause() const
{
    std::size_t maximum = 0;
    for (const FakeEngine &engine : this->engines) {
        for (const auto &[host, pause] : engine.pauses)
            maximum = std::max({ maximum, pause.arrivals, pause.maxArrivals });
    }
    return maximum;
}

void World::recordArrival(std::size_t host, FakeEngine &engine, const FakeRequest &request)
{
    const auto told = engine.leavingToldAt.find(host);
    if (told != engine.leavingToldAt.end() && request.at > told->second + drainTimeout
        && told->second >= this->hosts[host].stableSince)
        ++this->arrivalsAtLeavingEngines;
    const auto paused = engine.pauses.find(host);
    if (paused == engine.pauses.end())
        return;
    StatedPause &pause = paused->second;
    const bool isCounted = this->now >= pause.statedAt + pauseNoticeTime && this->now < pause.until
            && pause.statedAt >= this->hosts[host].stableSince;
    pause.arrivals += isCounted ? 1 : 0;
}

void World::sendLeaving(std::size_t host, const FakeEngine &engine)
{
    if (!engine.isLeaving)
        return;
    const std::uint64_t incarnation = this->hosts[host].incarnation;
    this->schedule(this->now + answerLatency, [this, host, incarnation, id = engine.id] {
        if (!this->isIncarnationRunning(host, incarnation)
            || this->now < this->hosts[host].pausedUntil)
            return;
        this->findEngine(id)->leavingToldAt.emplace(host, this->now);
        Actions actions;
        handle(this->hosts[host].state, LeavingStated{ id }, this->now, actions);
        this->applyActions(host, actions);
    });
}

bool World::rejectInPause(const FakeRun &run, const FakeEngine &engine)
{
    if (engine.pause == Span{})
        return false;
    this->schedule(this->now + answerLatency, [this, run, id = engine.id, span = engine.pause] {
        if (!this->isIncarnationRunning(run.host, run.hostIncarnation))
            return;
        StatedPause &pause = this->findEngine(id)->pauses[run.host];
        if (this->now >= pause.until) {
            pause.maxArrivals = std::max(pause.maxArrivals, pause.arrivals);
            pause.arrivals = 0;
            pause.statedAt = this->now;
        }
        pause.until = this->now + span;
        Actions actions;
        handle(this->hosts[run.host].state, PauseStated{ id, span }, this->now, actions);
        this->applyActions(run.host, actions);
        this->endAttempt(run, AttemptOutcome::NotRun);
    });
    return true;
}

} // namespace azurewell::gateway
