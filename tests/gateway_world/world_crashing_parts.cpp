#include "world.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// The first part of all prompts.
const PromptPartId firstPart{ 1 };

/// Second parts, which requests share, and third ones, which few do.
constexpr std::uint64_t firstCommonPart = 100;
constexpr std::uint64_t commonParts = 30;
constexpr std::uint64_t firstRarePart = 10'000;
constexpr std::uint64_t rareParts = 2'000;

/// From the start of a run to the first byte of its answer.
constexpr Span timeToFirstByte = std::chrono::milliseconds(100);

constexpr std::size_t maxCrashesOfPart = 5;

} // namespace

std::vector<PromptPartId> World::soundParts()
{
    return { firstPart, PromptPartId{ firstCommonPart + this->random() % commonParts },
             PromptPartId{ firstRarePart + this->random() % rareParts } };
}

void World::sendCrashingPart(const PromptPartId &part)
{
    std::exponential_distribution<double> gap(1 / toSeconds(this->settings.crashingPartInterval));
    this->schedule(this->now + fromSeconds(gap(this->random)),
                   [this, part] { this->sendCrashingPart(part); });
    FakeRequest fakeRequest;
    fakeRequest.model = { baseName, "a" + std::to_string(this->random() % 10) };
    fakeRequest.content.value = this->nextRequest;
    fakeRequest.parts = this->soundParts();
    fakeRequest.parts.push_back(part);
    this->sendRequest(fakeRequest);
}

CrashingPart *World::crashingPartOf(const FakeRequest &request)
{
    for (const PromptPartId &part : request.parts) {
        const auto found = this->crashingParts.find(part);
        if (found != this->crashingParts.end())
            return &found->second;
    }
    return nullptr;
}

void World::recordPartCrash(const FakeRequest &request, const FakeEngine &engine)
{
    CrashingPart *part = this->crashingPartOf(request);
    if (!part || !part->crashedEngines.insert({ engine.id, engine.start }).second)
        return;
    if (part->crashedEngines.size() == maxCrashesOfPart)
        part->fifthCrashAt = this->now;
    part->lastCrashAt = this->now;
}

void World::recordPartSend(std::size_t index, const FakeRequest &request)
{
    CrashingPart *part = this->crashingPartOf(request);
    if (!part || part->crashedEngines.size() < maxCrashesOfPart)
        return;
    const Instant since = std::max(part->fifthCrashAt, this->hosts[index].stableSince);
    part->sentAfterFifthCrash += this->now > since + propagationTime ? 1 : 0;
}

bool World::isSound(const FakeRequest &request)
{
    return !request.parts.empty() && !this->crashingPartOf(request);
}

TryCounts *World::soundTriesNow()
{
    bool hasCrashed = false;
    Instant countedFrom;
    for (const auto &[id, part] : this->crashingParts) {
        hasCrashed = hasCrashed || !part.crashedEngines.empty();
        const bool isFifth = part.crashedEngines.size() >= maxCrashesOfPart;
        countedFrom = std::max(countedFrom,
                               (isFifth ? part.fifthCrashAt : part.lastCrashAt)
                                       + 2 * propagationTime);
    }
    if (!hasCrashed)
        return &this->soundTries.before;
    return this->now >= countedFrom ? &this->soundTries.after : nullptr;
}

void World::beginAnswer(const FakeRun &run, std::size_t engine)
{
    const std::int64_t engineStart = this->engines[engine].start;
    this->schedule(this->now + timeToFirstByte, [this, run, engine, engineStart] {
        const FakeEngine &at = this->engines[engine];
        if (!at.isUp || at.start != engineStart || this->isCut(run.host)
            || !this->isIncarnationRunning(run.host, run.hostIncarnation))
            return;
        Actions actions;
        handle(this->hosts[run.host].state, AnswerBegan{ run.sent.request, run.sent.attempt },
               this->now, actions);
        this->applyActions(run.host, actions);
    });
}

} // namespace azurewell::gateway
