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

void World::recordServed(const FakeRequest &request)
{
    if (request.forwardedBy) {
        this->endForward(*request.forwardedBy, ForwardOutcome::Answered);
        return;
    }
    ++this->answered;
    if (request.isCounted)
        ++this->triesOf(request).served;
}

void World::forward(std::size_t index, const Forward &sent)
{
    const FakeRun run{ index,
                       this->hosts[index].incarnation,
                       { sent.request, sent.attempt, {}, {}, {}, 0, {}, false } };
    this->schedule(this->now + networkLatency, [this, run, sent] {
        const std::size_t peer = this->hostAt.at(sent.address);
        FakeHost &host = this->hosts[peer];
        if (!host.isUp || this->partitionedHosts[run.host] || this->partitionedHosts[peer]
            || this->hosts[run.host].side != host.side) {
            this->endForward(run, ForwardOutcome::NotSent);
            return;
        }
        if (this->now < host.pausedUntil)
            return;
        FakeRequest copy = this->requests.at({ run.host, sent.request.value });
        copy.forwardedBy = run;
        RequestArrived arrival = this->arrivalOf(copy);
        arrival.key.reset();
        arrival.forwarded = sent.forwarded;
        this->requests[{ peer, arrival.request.value }] = copy;
        Actions actions;
        handle(host.state, arrival, this->now, actions);
        this->applyActions(peer, actions);
    });
}

void World::endForward(const FakeRun &run, ForwardOutcome outcome, const ForwardRefusal &refusal)
{
    this->schedule(this->now + networkLatency, [this, run, outcome, refusal] {
        if (!this->isIncarnationRunning(run.host, run.hostIncarnation))
            return;
        if (outcome == ForwardOutcome::Answered)
            this->recordServed(this->requests.at({ run.host, run.sent.request.value }));
        Actions actions;
        handle(this->hosts[run.host].state,
               ForwardEnded{ run.sent.request, run.sent.attempt, outcome, refusal,
                             outcome == ForwardOutcome::Answered },
               this->now, actions);
        this->applyActions(run.host, actions);
    });
}

TryCounts &World::triesOf(const FakeRequest &request)
{
    return request.isAtCutHost ? this->triesAtCutHosts : this->triesAtOtherHosts;
}

} // namespace azurewell::gateway
