#include "world.h"

#include "azurewell/gateway/gossip_codec.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace azurewell::gateway {

namespace {

/// Minimum run time at an engine; the rest is exponential with a mean of 250 ms. At 60 requests a
/// second 24 run at once, for 45 adapter slots.
constexpr Span minRunTime = std::chrono::milliseconds(150);
constexpr double runRate = 4;

constexpr Span crashingRequestsDelay = std::chrono::seconds(8);

/// Greater than the content digests of all other requests.
constexpr Span crashingPartsDelay = std::chrono::seconds(16);
constexpr std::uint64_t firstCrashingPart = 1ULL << 40U;
constexpr std::uint64_t firstCrashingContent = 1ULL << 40U;

Configuration configurationOf(const WorldSettings &settings)
{
    Configuration configuration;
    configuration.version = 1;
    Route route;
    route.name = "stream";
    route.host = "h";
    route.prefix = "/s/";
    route.repeat = RepeatPolicy::Stream;
    route.timeout = std::chrono::seconds(4);
    route.objective = std::chrono::seconds(1);
    route.services = { { ServiceId{ "engines" }, 1.0 } };
    configuration.routes.push_back(route);
    Service service;
    service.id.value = "engines";
    service.warmupTime = warmupTime;
    service.warmupPerSecond = settings.warmupPerSecond;
    service.engine = EngineLimits{};
    service.engine->batchSlots = 64;
    service.engine->maxLoadedAdapters = static_cast<std::uint32_t>(settings.adapterSlots);
    service.engine->models.push_back({ baseName, 70000, std::chrono::seconds(2) });
    if (settings.servesStreams) {
        configuration.routes.front().isResumable = true;
        configuration.routes.front().maxAttempts = 3;
        service.engine.reset();
    }
    configuration.services.push_back(service);
    Customer customer;
    customer.id.value = "c";
    customer.keys = { KeyHash{ "key" } };
    customer.countsTokens = true;
    customer.rate.perSecond = settings.tokenRate;
    customer.burst.count = static_cast<std::int64_t>(settings.tokenRate);
    configuration.customers.push_back(customer);
    return configuration;
}

Endpoint addressOf(std::size_t host)
{
    return { "host-" + std::to_string(host), 1 };
}

} // namespace

World::World(const WorldSettings &worldSettings)
    : settings(worldSettings)
    , random(worldSettings.seed)
{
    for (std::size_t rank = 1; rank <= this->settings.adapters; ++rank)
        this->adapterWeights.push_back(
                std::pow(static_cast<double>(rank), -this->settings.zipfExponent));
    for (std::size_t index = 0; index < this->settings.zones * this->settings.enginesPerZone;
         ++index) {
        FakeEngine engine;
        engine.id.value = "e" + std::to_string(index);
        engine.zone.value = "z" + std::to_string(index % this->settings.zones);
        engine.softwareVersion = "v"
                + std::to_string(1
                                 + index / this->settings.zones % this->settings.softwareVersions);
        this->engines.push_back(engine);
    }
    this->hosts.resize(this->settings.zones * this->settings.hostsPerZone);
    this->partitionedHosts.resize(this->hosts.size());
    this->engineCuts.resize(this->hosts.size());
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
        this->hostAt[addressOf(index)] = index;
    for (FakeEngine &engine : this->engines)
        this->recordState(engine);
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
        this->startFirst(index);
    this->schedule(this->now + this->settings.callersStart, [this] {
        if (this->settings.servesStreams)
            this->beginStream();
        else
            this->sendRandomRequest();
    });
    for (std::size_t index = 0; index < this->settings.crashingRequestCount; ++index) {
        const ContentDigest content{ firstCrashingContent + index };
        this->crashingRequests[content] = {};
        this->schedule(this->now + crashingRequestsDelay,
                       [this, content] { this->sendCrashingRequest(content); });
    }
    for (std::size_t index = 0; index < this->settings.crashingPartCount; ++index) {
        const PromptPartId part{ firstCrashingPart + index };
        this->crashingParts[part] = {};
        this->schedule(this->now + crashingPartsDelay,
                       [this, part] { this->sendCrashingPart(part); });
    }
}

ListedUpstream World::listedOf(const FakeEngine &engine) const
{
    ListedUpstream listed;
    listed.id = engine.id;
    listed.service.value = "engines";
    listed.address = { engine.id.value, 1 };
    listed.zone = engine.zone;
    listed.slots = 64;
    listed.engine.start = engine.start;
    listed.warmupLeft = std::max(engine.coldUntil - this->now, Span{});
    listed.softwareVersion.value = engine.softwareVersion;
    listed.isLeaving = engine.isDraining;
    return listed;
}

void World::schedule(Instant when, std::function<void()> callback)
{
    this->scheduled.push_back({ when, this->nextSequenceNumber++, std::move(callback) });
    std::push_heap(this->scheduled.begin(), this->scheduled.end(), std::greater<>());
}

void World::runFor(Span span)
{
    const Instant end = this->now + span;
    while (!this->scheduled.empty() && this->scheduled.front().at <= end) {
        std::pop_heap(this->scheduled.begin(), this->scheduled.end(), std::greater<>());
        const ScheduledEvent next = std::move(this->scheduled.back());
        this->scheduled.pop_back();
        this->now = std::max(this->now, next.at);
        next.callback();
    }
    this->now = end;
}

void World::recordViolation(const std::string &what)
{
    this->violations.push_back({ this->now, what });
}

bool World::isIncarnationRunning(std::size_t index, std::uint64_t incarnation) const
{
    return this->hosts[index].isUp && this->hosts[index].incarnation == incarnation;
}

void World::startHost(std::size_t index, bool isFirst)
{
    FakeHost &host = this->hosts[index];
    host.state = GatewayState{};
    host.isUp = true;
    host.buffered.clear();
    host.stableSince = this->now;
    ++host.incarnation;
    Identity self;
    self.id.value = "h" + std::to_string(index);
    self.zone.value = "z" + std::to_string(index % this->settings.zones);
    self.address = addressOf(index);
    self.incarnation.value = host.incarnation;
    self.isFirstStart = isFirst;
    self.randomSeed = this->random();
    self.propagationTimeout = propagationTime;
    self.evacuationTimeout = evacuationTimeout;
    self.warmupBound = { 1.5, 5 };
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, this->hosts.size()); ++seed)
        self.seeds.push_back(addressOf(seed));
    start(host.state, self, loadKnownCharts(AZUREWELL_CHARTS_DIR).value(), this->now);
    setConfiguration(host.state, configurationOf(this->settings));
    for (const FakeEngine &engine : this->engines) {
        if (!engine.isGone)
            listUpstream(host.state, this->listedOf(engine), this->now);
    }
    if (this->settings.servesStreams)
        recordPlatformAnswer(host.state, false, this->now);
    Actions actions;
    for (const auto &[zone, at] : this->evacuatedAt)
        beginEvacuation(host.state, zone, this->now, actions);
    this->tickHost(index);
}

void World::startFirst(std::size_t index)
{
    if (this->settings.firstStartSpread == Span{}) {
        this->startHost(index, true);
        return;
    }
    this->hosts[index].isUp = false;
    this->schedule(this->now + this->randomDelay(this->settings.firstStartSpread),
                   [this, index] { this->startHost(index, true); });
}

std::size_t World::countNeverStarted(Span span) const
{
    const auto isNeverStarted = [span](const auto &entry) {
        return entry.second.started == 0 && entry.second.lastAt - entry.second.firstAt >= span;
    };
    return static_cast<std::size_t>(std::count_if(this->adapterRequests.begin(),
                                                  this->adapterRequests.end(), isNeverStarted));
}

void World::killHost(std::size_t index)
{
    this->hosts[index].isUp = false;
}

void World::pauseHost(std::size_t index, Span span)
{
    this->hosts[index].pausedUntil = this->now + span;
    this->hosts[index].stableSince = this->now + span;
    this->schedule(this->hosts[index].pausedUntil, [this, index] { this->readBuffered(index); });
}

void World::partitionHost(std::size_t index, bool isPartitioned)
{
    this->partitionedHosts[index] = isPartitioned;
    this->hosts[index].wasPartitioned = this->hosts[index].wasPartitioned || isPartitioned;
    this->hosts[index].stableSince = this->now;
}

void World::restartEngine(std::size_t index)
{
    FakeEngine &engine = this->engines[index];
    engine.readyAt.clear();
    engine.pendingUnloads.clear();
    engine.running.clear();
    engine.runs.clear();
    engine.hasBase = false;
    engine.isLeaving = false;
    engine.leavingToldAt.clear();
    engine.ordersTaken = 0;
    engine.start = this->now.micros / 1000;
    engine.coldUntil = this->now + warmupTime;
    engine.stateHistory.clear();
    this->recordState(engine);
}

void World::relistEngine(const FakeEngine &engine)
{
    for (FakeHost &host : this->hosts) {
        if (host.isUp)
            listUpstream(host.state, this->listedOf(engine), this->now);
    }
}

void World::tickHost(std::size_t index)
{
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    const Instant wake = std::max(this->now, this->hosts[index].pausedUntil);
    this->schedule(wake + tickInterval, [this, index, incarnation] {
        this->whenScheduled(index, incarnation, [this, index] {
            FakeHost &host = this->hosts[index];
            if (this->now >= host.pausedUntil) {
                Actions actions;
                tick(host.state, this->now, actions);
                this->applyActions(index, actions);
                this->drawLag(index);
            }
            this->tickHost(index);
        });
    });
}

void World::sendRandomRequest()
{
    std::exponential_distribution<double> gap(this->settings.requestsPerSecond);
    this->schedule(this->now + fromSeconds(gap(this->random)),
                   [this] { this->sendRandomRequest(); });
    std::discrete_distribution<std::size_t> pick(this->adapterWeights.begin(),
                                                 this->adapterWeights.end());
    FakeRequest fakeRequest;
    fakeRequest.model = { baseName, "a" + std::to_string(pick(this->random)) };
    fakeRequest.content.value = this->nextRequest;
    if (!this->crashingParts.empty())
        fakeRequest.parts = this->soundParts();
    this->sendRequest(fakeRequest);
}

RequestArrived World::arrivalOf(const FakeRequest &fakeRequest)
{
    RequestArrived request;
    request.request.value = this->nextRequest++;
    request.host = "h";
    request.path = "/s/x";
    request.content = fakeRequest.content;
    request.promptParts = fakeRequest.parts;
    request.key = KeyHash{ "key" };
    request.model = fakeRequest.model;
    request.promptTokens.count = 1800;
    request.totalTokens = Tokens{ 2000 };
    request.allowed = std::chrono::seconds(4);
    if (fakeRequest.stream == 0)
        return request;
    const FakeStream &stream = this->streams[fakeRequest.stream];
    request.callerId = "s" + std::to_string(fakeRequest.stream) + "-"
            + std::to_string(fakeRequest.streamAttempt);
    if (!stream.begunBy.empty()) {
        const AttemptId begunBy{ this->namesAttempt(fakeRequest.stream) ? stream.begunBy : "" };
        request.resumption = StreamResumption{ begunBy, EventId{ "1" } };
    }
    return request;
}

void World::sendRequest(const FakeRequest &fakeRequest)
{
    const std::size_t index = this->random() % this->hosts.size();
    FakeHost &host = this->hosts[index];
    if (!host.isUp || this->now < host.pausedUntil)
        return;
    const RequestArrived request = this->arrivalOf(fakeRequest);
    this->requestsSent += this->crashingRequests.contains(fakeRequest.content) ? 0 : 1;
    FakeRequest &kept = this->requests[{ index, request.request.value }];
    kept = fakeRequest;
    kept.at = this->now;
    this->recordFirstTry(index, kept);
    if (this->isSound(kept) && this->soundTriesNow())
        ++this->soundTriesNow()->sent;
    AdapterRequests &known = this->adapterRequests[fakeRequest.model];
    known.firstAt = known.firstAt.micros == 0 ? this->now : known.firstAt;
    known.lastAt = this->now;
    Actions actions;
    handle(host.state, request, this->now, actions);
    this->applyActions(index, actions);
}

void World::applyActions(std::size_t index, Actions &actions)
{
    for (const Refuse &refusal : actions.refusals)
        this->retryAfterRefusal(this->requests.at({ index, refusal.request.value }), refusal);
    for (const Dispatch &toSend : actions.dispatches)
        this->dispatch(index, toSend);
    for (const OrderEngine &engineOrder : actions.orders)
        this->sendOrder(index, engineOrder);
    this->reports += actions.reports.size();
    for (const QueryReport &query : actions.reports)
        this->answerReport(index, query);
    for (const Forward &toSend : actions.forwards)
        this->forward(index, toSend);
    for (const ProbeUpstream &probe : actions.probes)
        this->answerProbe(index, probe);
    for (const SendGossip &gossip : actions.gossip)
        this->deliver(index, gossip);
}

void World::deliver(std::size_t from, const SendGossip &gossip)
{
    ++this->messages;
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(this->random)
            < this->settings.messageLossRate;
    if (this->settings.countsBytes) {
        const std::size_t bytes = encodeGossip(*gossip.message, this->now).size();
        this->messageBytes += bytes;
        countSent(this->sentByKind, gossip.kind, gossip.isToOtherZone, bytes);
    }
    const auto found = this->hostAt.find(gossip.to);
    if (found == this->hostAt.end() || isLost)
        return;
    const std::size_t to = found->second;
    if (this->partitionedHosts[from] || this->partitionedHosts[to] || this->hosts[from].isUnheard
        || this->hosts[from].side != this->hosts[to].side)
        return;
    const std::uint64_t incarnation = this->hosts[to].incarnation;
    this->schedule(this->now + networkLatency, [this, to, incarnation, message = gossip.message] {
        if (this->now < this->hosts[to].pausedUntil) {
            if (this->hosts[to].buffered.size() < this->settings.messageBuffer)
                this->hosts[to].buffered.push_back(message);
            return;
        }
        this->whenScheduled(to, incarnation, [this, to, message] {
            Actions actions;
            handle(this->hosts[to].state, *message, this->now, actions);
            this->applyActions(to, actions);
        });
    });
}

FakeEngine *World::findEngine(const UpstreamId &id)
{
    const auto found = std::find_if(this->engines.begin(), this->engines.end(),
                                    [&](const FakeEngine &engine) { return engine.id == id; });
    return found == this->engines.end() ? nullptr : &*found;
}

void World::dispatch(std::size_t index, const Dispatch &toSend)
{
    const std::uint64_t incarnation = this->hosts[index].incarnation;
    const FakeRequest fakeRequest = this->requests[{ index, toSend.request.value }];
    if (this->isCut(index)) {
        this->schedule(this->now + this->timeToFail(index), [this, index, incarnation, toSend] {
            this->endAttempt({ index, incarnation, toSend }, AttemptOutcome::NotSent);
        });
        return;
    }
    if (fakeRequest.stream != 0) {
        if (!this->streams[fakeRequest.stream].begunBy.empty() && toSend.attempt == 1)
            this->resumptionWaits.push_back(this->now - fakeRequest.at);
        this->schedule(this->now + networkLatency, [this, index, incarnation, toSend] {
            this->runStream({ index, incarnation, toSend });
        });
        return;
    }
    this->schedule(this->now + networkLatency, [this, index, incarnation, toSend, fakeRequest] {
        FakeEngine &engine = *this->findEngine(toSend.upstream);
        if (!engine.isUp) {
            this->endAttempt({ index, incarnation, toSend }, AttemptOutcome::NotSent);
            return;
        }
        this->recordCrashingSend(index, fakeRequest);
        this->recordPartSend(index, fakeRequest);
        this->recordArrival(index, engine, fakeRequest);
        if (this->rejectInPause({ index, incarnation, toSend }, engine))
            return;
        this->sendLeaving(index, engine);
        this->recordLimitedArrival(index, engine);
        this->sendLimit({ index, incarnation, toSend }, engine, this->now - networkLatency);
        if (this->rejectWithoutRoom({ index, incarnation, toSend }, engine))
            return;
        const auto loaded = engine.readyAt.find(fakeRequest.model);
        const bool isFault = this->settings.faultFraction > 0
                && std::uniform_real_distribution<double>(0, 1)(this->random)
                        < this->settings.faultFraction;
        if (isFault) {
            this->endWithFault(index, incarnation, toSend);
            return;
        }
        const bool isLoaded = engine.hasBase && loaded != engine.readyAt.end();
        const bool isReady = isLoaded && loaded->second <= this->now
                && !engine.pendingUnloads.contains(fakeRequest.model);
        this->recordZoneArrival(index, engine, isReady);
        if (isReady) {
            ++engine.running[fakeRequest.model];
            ++this->adapterRequests[fakeRequest.model].started;
            engine.unused.erase(fakeRequest.model);
            engine.runs.push_back({ index, incarnation, toSend });
            ++engine.runCount;
            this->startDelaySeconds.push_back(toSeconds(this->now - fakeRequest.at));
            this->admittedTokens[this->now] += 2000;
        }
        this->rejectedNotReady += isReady ? 0 : 1;
        const Span duration = isReady ? minRunTime
                        + fromSeconds(std::exponential_distribution<double>(runRate)(this->random))
                                      : Span{};
        const std::size_t at = static_cast<std::size_t>(&engine - this->engines.data());
        const std::int64_t engineStart = engine.start;
        const bool isCrashing = this->crashingRequests.contains(fakeRequest.content)
                || this->crashingPartOf(fakeRequest);
        if (isReady && isCrashing) {
            this->startCrashingRun(at);
            return;
        }
        // A stream has a first event, from which hosts and coordinators learn that its prompt was
        // read. The runs of worlds with crashing requests are interrupted before it.
        if (isReady && (this->crashingRequests.empty() || !this->crashingParts.empty()))
            this->beginAnswer({ index, incarnation, toSend }, at);
        this->schedule(this->now + duration + networkLatency,
                       [this, index, incarnation, toSend, at, isReady, isLoaded, fakeRequest,
                        engineStart] {
                           if (isReady) {
                               if (this->engines[at].start == engineStart)
                                   this->finish(index, incarnation, toSend, at, fakeRequest.model);
                               return;
                           }
                           this->endAttempt({ index, incarnation, toSend },
                                            isLoaded ? AttemptOutcome::NotRun
                                                     : AttemptOutcome::NotThere);
                       });
    });
}

void World::endWithFault(std::size_t index, std::uint64_t incarnation, const Dispatch &sent)
{
    this->schedule(this->now + networkLatency, [this, index, incarnation, sent] {
        this->endAttempt({ index, incarnation, sent }, AttemptOutcome::FaultStated);
    });
}

void World::endAttempt(const FakeRun &run, AttemptOutcome outcome)
{
    if (!this->isIncarnationRunning(run.host, run.hostIncarnation))
        return;
    const bool isInterrupted = outcome == AttemptOutcome::Failed;
    Actions actions;
    handle(this->hosts[run.host].state,
           AttemptEnded{ run.sent.request, run.sent.attempt, outcome, false, isInterrupted },
           this->now, actions);
    this->applyActions(run.host, actions);
}

void World::finish(std::size_t index, std::uint64_t incarnation, const Dispatch &sent,
                   std::size_t engine, const ModelName &model)
{
    FakeEngine &at = this->engines[engine];
    std::erase_if(at.runs, [&](const FakeRun &run) {
        return run.host == index && run.sent.request == sent.request;
    });
    if (--at.running[model] == 0 && at.pendingUnloads.erase(model) > 0)
        at.readyAt.erase(model);
    if (!this->isIncarnationRunning(index, incarnation) || this->isCut(index))
        return;
    const FakeRequest &served = this->requests.at({ index, sent.request.value });
    this->recordServed(served);
    if (this->isSound(served) && this->soundTriesNow())
        ++this->soundTriesNow()->served;
    Actions actions;
    handle(this->hosts[index].state,
           AttemptEnded{ sent.request, sent.attempt, AttemptOutcome::Done, true, false }, this->now,
           actions);
    this->applyActions(index, actions);
}

} // namespace azurewell::gateway
