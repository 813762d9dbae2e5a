#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Time after which a connection that does not open is given up.
constexpr Span connectTimeout = std::chrono::milliseconds(400);

constexpr Span refusalLatency = std::chrono::milliseconds(4);

} // namespace

Span World::timeToFail(std::size_t host) const
{
    return this->engineCuts[host] == EngineCut::Hang ? connectTimeout : refusalLatency;
}

void World::cutFromEngines(std::size_t host, EngineCut cut)
{
    this->engineCuts[host] = cut;
    this->cutAt = this->now;
    if (cut != EngineCut::Refuse)
        return;
    for (FakeEngine &engine : this->engines) {
        const std::vector<FakeRun> runs = engine.runs;
        for (const FakeRun &run : runs) {
            if (run.host == host)
                this->endAttempt(run, AttemptOutcome::Failed);
        }
    }
}

void World::answerProbe(std::size_t index, const ProbeUpstream &probe)
{
    const bool isOpen = !this->isCut(index) && this->findEngine(probe.upstream)->isUp;
    const bool isHanging = this->engineCuts[index] == EngineCut::Hang;
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    this->schedule(this->now + (isHanging ? probeTimeout : refusalLatency),
                   [this, index, incarnation, probe, isOpen] {
                       if (!this->isIncarnationRunning(index, incarnation))
                           return;
                       Actions actions;
                       handle(this->hosts[index].state,
                              ProbeEnded{ probe.service, probe.round, probe.upstream, isOpen },
                              this->now, actions);
                       this->applyActions(index, actions);
                   });
}

void World::recordFirstTry(std::size_t host, FakeRequest &request)
{
    request.isAtCutHost = this->isCut(host);
    request.isCounted = this->cutAt.micros != 0 && this->now >= this->cutAt + contactTimeOfCuts
            && this->hosts[host].isUp && this->now >= this->hosts[host].pausedUntil;
    if (request.isCounted)
        ++this->triesOf(request).sent;
}

TryCounts &World::triesOf(const FakeRequest &request)
{
    return request.isAtCutHost ? this->triesAtCutHosts : this->triesAtOtherHosts;
}

} // namespace azurewell::gateway
