#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A host is in touch if it has run undisturbed for this long.
constexpr Span contactTime = std::chrono::seconds(4);

/// How often a host whose store is away asks for entries.
constexpr Span storeInterval = std::chrono::milliseconds(200);

/// From the entry that says so until a draining server ends, and from then until it starts again.
constexpr Span drainTime = std::chrono::seconds(3);
constexpr Span replacementTime = std::chrono::seconds(1);

/// A draining server that leaves for good serves up to this much longer.
constexpr Span maxLongerDrain = std::chrono::seconds(5);

constexpr Span minTimeToFirstEvent = std::chrono::milliseconds(5);
constexpr Span maxTimeToFirstEvent = std::chrono::milliseconds(60);
constexpr Span maxTimeToBreak = std::chrono::milliseconds(600);
constexpr Span maxStreamTime = std::chrono::milliseconds(1500);

/// A caller that reaches no host tries the next one within this time.
constexpr Span maxTimeToNextHost = std::chrono::milliseconds(150);

/// A caller that gets no event gives its attempt up after this time.
constexpr Span callersPatience = std::chrono::seconds(2);

constexpr std::uint64_t maxStreamAttempts = 8;

} // namespace

void World::moveToSide(std::size_t host, std::size_t side)
{
    if (this->hosts[host].side != side)
        this->hosts[host].stableSince = this->now;
    this->hosts[host].side = side;
}

void World::takeStoreAway(std::size_t host, bool isAway)
{
    this->hosts[host].isStoreAway = isAway;
    if (isAway)
        recordPlatformFailure(this->hosts[host].state, this->now);
    else
        recordPlatformAnswer(this->hosts[host].state, false, this->now);
    this->hosts[host].stableSince = this->now;
}

void World::relistAt(std::size_t host, std::size_t engine, Span delay)
{
    // A host that stood still has to ask the store again.
    if (this->now < this->hosts[host].pausedUntil)
        delay += this->hosts[host].pausedUntil - this->now;
    this->notifyHost(host, delay, [this, host, engine](GatewayState &state, Actions &) {
        if (this->hosts[host].isStoreAway)
            this->relistAt(host, engine, storeInterval);
        else if (this->engines[engine].isGone)
            removeUpstream(state, this->engines[engine].id, this->now);
        else
            listUpstream(state, this->listedOf(this->engines[engine]), this->now);
    });
}

void World::relistLater(std::size_t engine)
{
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->relistAt(host, engine, this->randomDelay(this->settings.maxEntryDelay));
}

void World::releaseEngine(std::size_t index, const std::string &version)
{
    this->engines[index].isDraining = true;
    this->relistLater(index);
    this->schedule(this->now + drainTime, [this, index] {
        this->engines[index].isUp = false;
        this->engines[index].start = this->now.micros / 1000;
    });
    this->schedule(this->now + drainTime + replacementTime, [this, index, version] {
        FakeEngine &engine = this->engines[index];
        engine.isUp = true;
        engine.isDraining = false;
        engine.softwareVersion = version;
        engine.start = this->now.micros / 1000;
        this->relistLater(index);
    });
}

void World::joinEngine(const std::string &version)
{
    FakeEngine engine;
    engine.id.value = "e" + std::to_string(this->engines.size());
    engine.zone.value = "z" + std::to_string(this->engines.size() % this->settings.zones);
    engine.softwareVersion = version;
    engine.start = this->now.micros / 1000;
    this->engines.push_back(engine);
    this->recordState(this->engines.back());
    this->relistLater(this->engines.size() - 1);
}

void World::drainEngine(std::size_t index)
{
    this->engines[index].isDraining = true;
    this->relistLater(index);
    this->schedule(this->now + drainTime + this->randomDelay(maxLongerDrain), [this, index] {
        this->engines[index].isUp = false;
        this->engines[index].isGone = true;
        this->engines[index].start = this->now.micros / 1000;
        this->relistLater(index);
    });
}

bool World::isInTouch(std::size_t host) const
{
    const FakeHost &asked = this->hosts[host];
    return asked.isUp && this->now >= asked.pausedUntil && asked.side == 0 && !asked.isStoreAway
            && !this->partitionedHosts[host] && !this->isCut(host)
            && this->now >= asked.stableSince + contactTime;
}

bool World::hasTwoServers(const std::string &version) const
{
    return std::count_if(this->engines.begin(), this->engines.end(),
                         [&](const FakeEngine &engine) {
                             return engine.softwareVersion == version && engine.isUp
                                     && !engine.isDraining;
                         })
            >= 2;
}

void World::beginStream()
{
    std::exponential_distribution<double> gap(this->settings.requestsPerSecond);
    this->schedule(this->now + fromSeconds(gap(this->random)), [this] { this->beginStream(); });
    this->streams.emplace_back();
    this->sendStream(this->streams.size() - 1);
}

void World::sendStreamLater(std::uint64_t stream, Span delay)
{
    this->schedule(this->now + delay, [this, stream] { this->sendStream(stream); });
}

void World::sendStream(std::uint64_t index)
{
    FakeStream &stream = this->streams[index];
    if (stream.isDone || stream.attempts >= maxStreamAttempts)
        return;
    ++stream.attempts;
    const std::uint64_t attempt = stream.attempts;
    const std::size_t at = this->random() % this->hosts.size();
    FakeHost &host = this->hosts[at];
    if (!host.isUp) {
        this->sendStreamLater(index, this->randomDelay(maxTimeToNextHost));
        return;
    }
    FakeRequest fakeRequest;
    fakeRequest.content.value = index;
    fakeRequest.stream = index;
    fakeRequest.streamAttempt = attempt;
    const bool isResumption = !stream.begunBy.empty();
    if ((attempt == 1 || isResumption) && this->isInTouch(at)
        && (!isResumption
            || (stream.isBegunInTouch && this->hasTwoServers(*stream.versions.begin()))))
        fakeRequest.streamTries = isResumption ? &this->resumptions : &this->newStreams;
    this->resumptionsSent += isResumption ? 1 : 0;
    if (fakeRequest.streamTries)
        ++fakeRequest.streamTries->sent;
    ++this->requestsSent;
    this->schedule(this->now + callersPatience, [this, index, attempt] {
        const FakeStream &waiting = this->streams[index];
        if (waiting.attempts == attempt && waiting.begunBy.empty())
            this->sendStream(index);
    });
    const Instant wake = std::max(this->now, host.pausedUntil);
    const std::uint64_t incarnation = host.incarnation;
    this->schedule(wake, [this, at, incarnation, fakeRequest] {
        if (!this->isIncarnationRunning(at, incarnation)) {
            this->breakStream(fakeRequest.stream, fakeRequest.streamAttempt, Span{});
            return;
        }
        const RequestArrived request = this->arrivalOf(fakeRequest);
        FakeRequest &kept = this->requests[{ at, request.request.value }];
        kept = fakeRequest;
        kept.at = this->now;
        Actions actions;
        handle(this->hosts[at].state, request, this->now, actions);
        this->applyActions(at, actions);
    });
}

/// The caller's attempt has ended without the end of the stream.
void World::breakStream(std::uint64_t stream, std::uint64_t attempt, Span delay)
{
    if (this->streams[stream].attempts == attempt)
        this->sendStreamLater(stream, delay + this->randomDelay(this->settings.maxTimeToResume));
}

bool World::namesAttempt(std::uint64_t stream) const
{
    constexpr std::uint64_t percent = 100;
    return static_cast<double>(stream % percent) >= this->settings.unnamedResumptions * percent;
}

void World::refuseStream(const FakeRequest &request, const Refuse &refusal)
{
    ++this->refusals[refusal.code];
    this->breakStream(request.stream, request.streamAttempt, refusal.retryAfter);
}

void World::runStream(const FakeRun &run)
{
    if (!this->isIncarnationRunning(run.host, run.hostIncarnation))
        return;
    FakeEngine &engine = *this->findEngine(run.sent.upstream);
    if (!engine.isUp) {
        this->endAttempt(run, AttemptOutcome::NotSent);
        return;
    }
    ++engine.runCount;
    const std::size_t at = static_cast<std::size_t>(&engine - this->engines.data());
    const Span delay = minTimeToFirstEvent
            + this->randomDelay(maxTimeToFirstEvent - minTimeToFirstEvent);
    this->schedule(this->now + delay + networkLatency,
                   [this, run, at, start = engine.start, version = engine.softwareVersion] {
                       if (this->engines[at].start == start)
                           this->passFirstEvent(run, at, version);
                       else
                           this->endAttempt(run, AttemptOutcome::Failed);
                   });
}

void World::passFirstEvent(const FakeRun &run, std::size_t engine, const std::string &version)
{
    const Instant wake = this->hosts[run.host].pausedUntil;
    if (this->now < wake) {
        this->schedule(
                wake, [this, run, engine, version] { this->passFirstEvent(run, engine, version); });
        return;
    }
    if (!this->isIncarnationRunning(run.host, run.hostIncarnation)) {
        const FakeRequest &lost = this->requests.at({ run.host, run.sent.request.value });
        this->breakStream(lost.stream, lost.streamAttempt, Span{});
        return;
    }
    if (this->isCut(run.host)) {
        this->endAttempt(run, AttemptOutcome::Failed);
        return;
    }
    this->takeFirstEvent(run, version);
    this->continueStream(run, engine, this->engines[engine].start);
}

/// The host of \a run passes on the first event of an attempt, to the caller or another host.
void World::takeFirstEvent(const FakeRun &run, const std::string &version)
{
    if (!this->isIncarnationRunning(run.host, run.hostIncarnation))
        return;
    GatewayState &state = this->hosts[run.host].state;
    Actions actions;
    handle(state, AnswerBegan{ run.sent.request, run.sent.attempt }, this->now, actions);
    this->applyActions(run.host, actions);
    const auto record = state.requests.find(run.sent.request);
    if (record == state.requests.end() || record->second.attempt != run.sent.attempt
        || !record->second.hasAnswerStarted)
        return;
    const FakeRequest request = this->requests.at({ run.host, run.sent.request.value });
    if (request.forwardedBy) {
        const FakeRun origin = *request.forwardedBy;
        if (this->hosts[origin.host].side == this->hosts[run.host].side) {
            this->schedule(this->now + networkLatency,
                           [this, origin, version] { this->takeFirstEvent(origin, version); });
        }
        return;
    }
    FakeStream &stream = this->streams[request.stream];
    if (stream.attempts != request.streamAttempt)
        return;
    if (stream.begunBy.empty()) {
        stream.begunBy = "s" + std::to_string(request.stream) + "-"
                + std::to_string(request.streamAttempt);
        stream.isBegunInTouch = this->hosts[run.host].side == 0
                && !this->hosts[run.host].isStoreAway;
    }
    const bool isSecond = stream.versions.insert(version).second && stream.versions.size() == 2;
    this->streamsOfTwoVersions += isSecond ? 1 : 0;
    if (request.streamTries)
        ++request.streamTries->gotEvents;
}

/// What follows the first event: the stream breaks, at either end, or ends.
void World::continueStream(const FakeRun &run, std::size_t engine, std::int64_t start)
{
    const bool isBroken = std::uniform_real_distribution<double>(0, 1)(this->random)
            < this->settings.brokenStreams;
    const bool isCallersEnd = std::uniform_real_distribution<double>(0, 1)(this->random) < 0.5;
    const Span delay = this->randomDelay(isBroken ? maxTimeToBreak : maxStreamTime);
    this->schedule(this->now + delay, [this, run, engine, start, isBroken, isCallersEnd] {
        const FakeRequest request = this->requests.at({ run.host, run.sent.request.value });
        const bool isHostLost = !this->isIncarnationRunning(run.host, run.hostIncarnation)
                || this->now < this->hosts[run.host].pausedUntil;
        if (isHostLost) {
            this->breakStream(request.stream, request.streamAttempt, Span{});
            return;
        }
        const bool isServerLost = this->engines[engine].start != start
                || !this->engines[engine].isUp || this->isCut(run.host);
        if (isServerLost || (isBroken && !isCallersEnd)) {
            this->endAttempt(run, AttemptOutcome::Failed);
            return;
        }
        if (isBroken && !request.forwardedBy) {
            Actions actions;
            handle(this->hosts[run.host].state, CallerDisconnected{ run.sent.request }, this->now,
                   actions);
            this->applyActions(run.host, actions);
            this->breakStream(request.stream, request.streamAttempt, Span{});
            return;
        }
        if (this->streams[request.stream].attempts == request.streamAttempt)
            this->streams[request.stream].isDone = true;
        if (request.forwardedBy)
            this->endForward(*request.forwardedBy, ForwardOutcome::Answered);
        else
            ++this->answered;
        Actions actions;
        handle(this->hosts[run.host].state,
               AttemptEnded{ run.sent.request, run.sent.attempt, AttemptOutcome::Done, true,
                             false },
               this->now, actions);
        this->applyActions(run.host, actions);
    });
}

} // namespace azurewell::gateway
