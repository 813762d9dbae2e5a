#include "world.h"

#include <algorithm>
#include <cstddef>

namespace azurewell::gateway {

namespace {

/// From the start of a crashing request to the crash of its engine.
constexpr Span timeToCrash = std::chrono::milliseconds(80);

/// Delay before a caller repeats a request whose answer was interrupted.
constexpr Span retryDelay = std::chrono::milliseconds(300);

constexpr std::size_t maxCrashes = 3;

void recordCrash(CrashRecord &record, const FakeEngine &engine, std::size_t running, Instant now)
{
    const bool isNew = record.crashedEngines.insert({ engine.id, engine.start }).second;
    if (!isNew || record.crashedEngines.size() != maxCrashes)
        return;
    record.thirdCrashAt = now;
    record.runningAtThirdCrash = running;
}

/// From a crash until the other hosts hear of it: one tick, and two messages on the way.
constexpr Span newsTime = std::chrono::milliseconds(25);

void recordSend(CrashRecord &record, Instant stableSince, Instant now)
{
    if (record.crashedEngines.size() < maxCrashes)
        return;
    record.sentBeforeNews += now <= record.thirdCrashAt + newsTime ? 1 : 0;
    const Instant since = std::max(record.thirdCrashAt, stableSince);
    record.sentAfterThirdCrash += now > since + propagationTime ? 1 : 0;
}

} // namespace

void World::crashEngine(std::size_t index)
{
    FakeEngine &engine = this->engines[index];
    if (!engine.isUp)
        return;
    const std::vector<FakeRun> runs = std::move(engine.runs);
    engine.runs.clear();
    engine.isUp = false;
    for (const FakeRun &run : runs) {
        const FakeRequest &fakeRequest = this->requests.at({ run.host, run.sent.request.value });
        const auto found = this->crashingRequests.find(fakeRequest.content);
        this->recordPartCrash(fakeRequest, engine);
        if (found == this->crashingRequests.end()) {
            ++this->interrupted;
        } else {
            CrashingRequest &request = found->second;
            const std::size_t running = this->countRuns(fakeRequest.content);
            recordCrash(request.byAll, engine, running, this->now);
            recordCrash(request.bySide[this->hosts[run.host].wasPartitioned], engine, running,
                        this->now);
        }
    }
    for (const FakeRun &run : runs)
        this->endAttempt(run, AttemptOutcome::Failed);
    this->schedule(this->now + this->settings.engineRestartTime, [this, index] {
        this->restartEngine(index);
        this->engines[index].isUp = true;
        this->relistEngine(this->engines[index]);
    });
}

std::size_t World::countRuns(const ContentDigest &content) const
{
    std::size_t runs = 0;
    for (const FakeEngine &engine : this->engines) {
        runs += static_cast<std::size_t>(
                std::count_if(engine.runs.begin(), engine.runs.end(), [&](const FakeRun &run) {
                    return this->requests.at({ run.host, run.sent.request.value }).content
                            == content;
                }));
    }
    return runs;
}

void World::startCrashingRun(std::size_t engine)
{
    const std::int64_t engineStart = this->engines[engine].start;
    this->schedule(this->now + timeToCrash, [this, engine, engineStart] {
        if (this->engines[engine].start == engineStart)
            this->crashEngine(engine);
    });
}

void World::sendCrashingRequest(const ContentDigest &content)
{
    std::exponential_distribution<double> gap(1
                                              / toSeconds(this->settings.crashingRequestInterval));
    this->schedule(this->now + fromSeconds(gap(this->random)),
                   [this, content] { this->sendCrashingRequest(content); });
    FakeRequest fakeRequest;
    fakeRequest.model = { "base", "a" + std::to_string(content.value % 10) };
    fakeRequest.content = content;
    this->sendRequest(fakeRequest);
}

void World::recordCrashingSend(std::size_t index, const FakeRequest &fakeRequest)
{
    const auto found = this->crashingRequests.find(fakeRequest.content);
    if (found == this->crashingRequests.end())
        return;
    const Instant stableSince = this->hosts[index].stableSince;
    recordSend(found->second.byAll, stableSince, this->now);
    recordSend(found->second.bySide[this->hosts[index].wasPartitioned], stableSince, this->now);
}

void World::retryAfterRefusal(const FakeRequest &fakeRequest, const Refuse &refusal)
{
    if (fakeRequest.forwardedBy) {
        this->endForward(*fakeRequest.forwardedBy, ForwardOutcome::Refused,
                         { refusal.code, refusal.isNotRun, refusal.retryAfter });
        return;
    }
    ++this->refused;
    if (fakeRequest.stream != 0) {
        this->refuseStream(fakeRequest, refusal);
        return;
    }
    if (this->crashingRequests.contains(fakeRequest.content) || this->crashingPartOf(fakeRequest))
        return;
    ++this->refusals[refusal.code];
    if (refusal.isNotRun || fakeRequest.sends >= this->settings.maxSends)
        return;
    FakeRequest again = fakeRequest;
    ++again.sends;
    this->schedule(this->now + retryDelay, [this, again] { this->sendRequest(again); });
}

} // namespace azurewell::gateway
