#include "azurewell/http/accept_queue.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace azurewell {

namespace {

/// Share of the usual wait and time to spare until which a request is read, and the share of that
/// for which the queue may be long. The rest is for errors of the estimates.
constexpr double readableShare = 0.9;
constexpr double usedShareOfReadable = 0.8;

/// A host that is short of processor time may stand still for a tenth of a second at a time: with a
/// shorter queue it would have nothing to read when it runs.
constexpr Span shortestReadable = std::chrono::milliseconds(200);

/// Descriptors are limited, too.
constexpr std::size_t maxWaiting = 1024;

/// Time over which the rate of reading is averaged, and without which it counts as not known: a
/// process that shares its processor runs in turns of up to a tenth of a second.
constexpr double averagingSeconds = 1;
constexpr double minSecondsKnown = 0.2;

/// The rate may be another one when callers wait again.
constexpr Span rateValidity = std::chrono::seconds(2);

constexpr std::uint32_t maxTellable = 64;

/// Shares of the usual objective and wait that a queue may stand at.
constexpr double standingShareOfObjective = 1;
constexpr double standingShareOfWait = 0.5;

/// Steps by which a usual span follows those of callers. Their proportion makes it the value that a
/// tenth of them are below.
constexpr double stepUp = 1.01;
constexpr double stepDown = 0.91;

/// Callers whose waits are judged together. If more of them than a tenth have left, the usual wait
/// falls; if none has, it rises, by no more in a second than shows in the queue by then.
constexpr std::uint32_t sampleSize = 20;
constexpr std::uint32_t maxLeftOfSample = 2;
constexpr double waitStepDown = 0.7;
constexpr double waitRisePerSecond = 0.1;

Span scaled(Span span, double factor)
{
    return fromSeconds(toSeconds(span) * factor);
}

Span waitAfterLeaving(const AcceptQueue &queue)
{
    const Span shorter = scaled(queue.sample.shortestLeaving, readableShare);
    const Span least = std::max(shorter, shortestReadable);
    const Span lower = std::max(scaled(queue.usualWait, waitStepDown), least);
    return std::min(lower, queue.usualWait);
}

Span waitAfterStaying(const AcceptQueue &queue, Instant now)
{
    const double rise = waitRisePerSecond * toSeconds(now - queue.sample.beganAt);
    return std::min(queue.usualWait + fromSeconds(rise), queue.usualDeadline);
}

/// The time after its connection at which a request can still be read and answered in time.
Span readableWait(const AcceptQueue &queue)
{
    const Span wait = scaled(std::min(queue.usualWait, queue.usualSpare), readableShare);
    return std::max(wait, shortestReadable);
}

/// Moves \a usual towards \a span of one caller.
void follow(Span &usual, Span span)
{
    usual = usual <= Span{} ? span : scaled(usual, span < usual ? stepDown : stepUp);
}

/// The wait at which the queue may stand.
Span standingWait(const AcceptQueue &queue)
{
    return std::min(scaled(queue.usualObjective, standingShareOfObjective),
                    scaled(queue.usualWait, standingShareOfWait));
}

/// Requests that the host reads in a second while callers wait, if that is known.
std::optional<double> readingRate(const AcceptQueue &queue, Instant now)
{
    if (queue.readingSeconds < minSecondsKnown || now >= queue.rateKnownUntil)
        return std::nullopt;
    return queue.read / queue.readingSeconds;
}

/// Connections that can be read within \a wait; maxWaiting if that isn't known.
double capacityIn(const AcceptQueue &queue, Span wait, Instant now)
{
    const std::optional<double> rate = readingRate(queue, now);
    if (!rate || queue.usualWait <= Span{})
        return maxWaiting;
    return std::min<double>(*rate * toSeconds(wait), maxWaiting);
}

} // namespace

void learnDeadline(AcceptQueue &queue, Span objective, Span deadline)
{
    const bool isFirst = queue.usualDeadline <= Span{};
    follow(queue.usualObjective, objective);
    follow(queue.usualDeadline, deadline);
    queue.usualWait = isFirst ? deadline : std::min(queue.usualWait, queue.usualDeadline);
    if (isFirst)
        queue.usualSpare = deadline;
}

void learnSpare(AcceptQueue &queue, Span span)
{
    follow(queue.usualSpare, std::max(span, shortestReadable));
}

void learnWait(AcceptQueue &queue, Span waited, bool hasLeft, Instant now)
{
    if (waited <= standingWait(queue) / 2)
        queue.standingSince = Instant{};
    else if (queue.standingSince.micros == 0)
        queue.standingSince = now;
    WaitSample &sample = queue.sample;
    if (sample.stayed + sample.left == 0)
        sample.beganAt = now;
    if (hasLeft) {
        const bool isFirst = sample.left == 0;
        ++sample.left;
        sample.shortestLeaving = isFirst ? waited : std::min(sample.shortestLeaving, waited);
    } else {
        ++sample.stayed;
        sample.longestStay = std::max(sample.longestStay, waited);
    }
    if (sample.stayed + sample.left < sampleSize)
        return;
    if (sample.left > maxLeftOfSample)
        queue.usualWait = waitAfterLeaving(queue);
    else if (sample.left == 0 && sample.longestStay * 2 >= queue.usualWait)
        queue.usualWait = waitAfterStaying(queue, now);
    sample = {};
}

bool hasRoom(const AcceptQueue &queue, Instant now)
{
    const auto length = static_cast<double>(queue.waiting.size());
    const Span longest = scaled(readableWait(queue), usedShareOfReadable);
    const bool isStanding = queue.standingSince.micros != 0
            && now > queue.standingSince + queue.usualWait;
    const Span wait = isStanding ? std::min(standingWait(queue), longest) : longest;
    return queue.waiting.empty() || length < capacityIn(queue, wait, now);
}

std::size_t countExcess(const AcceptQueue &queue, Instant now)
{
    const double most = std::max(capacityIn(queue, readableWait(queue), now), 1.0);
    const auto length = static_cast<double>(queue.waiting.size());
    return length <= most ? 0 : static_cast<std::size_t>(length - most);
}

bool isOverdue(const AcceptQueue &queue, const UnreadCaller &caller, Instant now)
{
    return queue.usualWait > Span{} && now > caller.acceptedAt + readableWait(queue);
}

void endSlice(AcceptQueue &queue, std::uint32_t read, Instant now)
{
    queue.tellable = std::min(queue.tellable + read, maxTellable);
    if (queue.backloggedSince.micros != 0) {
        const double seconds = toSeconds(now - queue.backloggedSince);
        const bool isRecent = now < queue.rateKnownUntil;
        const double kept = isRecent ? std::exp(-seconds / averagingSeconds) : 0;
        queue.read = queue.read * kept + read;
        queue.readingSeconds = queue.readingSeconds * kept + seconds;
        queue.rateKnownUntil = now + rateValidity;
    }
    queue.backloggedSince = queue.waiting.empty() ? Instant{} : now;
    if (queue.waiting.empty())
        queue.standingSince = Instant{};
}

bool takeTelling(AcceptQueue &queue)
{
    if (queue.tellable == 0)
        return false;
    --queue.tellable;
    return true;
}

Span expectedWait(const AcceptQueue &queue, Instant now)
{
    const double rate = readingRate(queue, now).value_or(0);
    if (rate <= 0)
        return Span{};
    return fromSeconds(static_cast<double>(queue.waiting.size()) / rate);
}

} // namespace azurewell
