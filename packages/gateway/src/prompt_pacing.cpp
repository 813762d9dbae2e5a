#include "azurewell/gateway/prompt_pacing.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Longest pause between events where routes state none.
constexpr Span defaultMaxPause = std::chrono::milliseconds(400);

/// A stated pause applies to the streams of its engine for this long: a request lasts some seconds.
constexpr Span maxPauseValidity = std::chrono::seconds(5);

/// Wait from which on another copy is worth its load.
constexpr Span copyWaitThreshold = std::chrono::milliseconds(60);

/// Longest wait of prompts without an objective; the host returns them at the request's deadline.
/// Equals the time-out of requests whose route states none.
constexpr Span maxWaitWithoutObjective = std::chrono::seconds(30);

/// Longest reserved wait of a prompt whose host does not know queues. Such hosts state no
/// objective; routes expect the first event within 0.8 s or more.
constexpr Span maxReservedWait = std::chrono::milliseconds(350);

/// From the admission to the first event beside the time to read: two messages of 3 ms, the way to
/// the engine and the steps of the event.
constexpr Span firstEventDelay = std::chrono::milliseconds(40);

Span pauseOf(const PromptPacer &pacer, Instant now)
{
    const bool isStated = pacer.maxPause > Span{} && now < pacer.maxPauseAt + maxPauseValidity;
    return isStated ? pacer.maxPause : defaultMaxPause;
}

void recordPause(PromptPacer &pacer, Span maxPause, Instant now)
{
    if (maxPause <= Span{} || maxPause > pauseOf(pacer, now))
        return;
    pacer.maxPause = maxPause;
    pacer.maxPauseAt = now;
}

/// Whether the host of \a request states nothing that hosts with queues state. Its prompts are not
/// queued, as it would send them at the estimated time.
bool isWithoutQueues(const AdmissionRequest &request)
{
    return request.customer.value.empty() && !request.priority && request.objectiveLeft <= Span{}
    && request.maxPause <= Span{};
}

RequestId idOf(std::uint64_t request)
{
    return RequestId{ std::to_string(request) };
}

PermitHolder holderOf(const WaitingRequest &waiting)
{
    return { waiting.requester, std::stoull(waiting.request.value) };
}

/// The time to admit \a request, so that it is read in time if the window is full then.
Instant latestStartOf(const AdmissionRequest &request, double rate, double windowSize, Instant now)
{
    if (request.objectiveLeft <= Span{})
        return now + maxWaitWithoutObjective;
    const double tokensToRead = std::max(windowSize, request.tokens);
    return now + request.objectiveLeft - fromSeconds(tokensToRead / rate) - firstEventDelay;
}

WaitingRequest waitingOf(const AdmissionRequest &request, const HostId &requester,
                         Instant latestStart, Instant now)
{
    WaitingRequest waiting;
    waiting.request = idOf(request.request);
    waiting.requester = requester;
    waiting.customer = request.customer;
    waiting.cost = Tokens{ static_cast<std::int64_t>(request.tokens) };
    waiting.latestStart = latestStart;
    waiting.deadline = latestStart;
    waiting.queuedAt = now;
    return waiting;
}

bool isCopyWanted(const PromptPacer &pacer, const ModelName &adapter, Span wait, double rate)
{
    const auto found = pacer.demand.find(adapter);
    const double perSecond = found == pacer.demand.end()
            ? 0
            : found->second.value / toSeconds(demandDecayTime);
    return wait >= copyWaitThreshold && perSecond > shareOfOneCopy * rate;
}

/// Counts the prompt of \a request, which is sent at \a sentAt, as unread.
void admitPromptOf(PromptPacer &pacer, const AdmissionRequest &request, const HostId &requester,
                   double rate, Instant sentAt, Instant now)
{
    admitUnread(pacer.window, requester, request.request, request.tokens, rate,
                request.isReported ? ReadReport::Expected : ReadReport::None, sentAt, now);
}

/// Removes the prompt of \a holder from the prompts that wait for an answer.
std::optional<QueuedAnswer> takeQueued(PromptPacer &pacer, const PermitHolder &holder)
{
    const auto found = pacer.queued.find(holder);
    if (found == pacer.queued.end())
        return std::nullopt;
    QueuedAnswer answer{ holder, std::move(found->second), {} };
    pacer.queued.erase(found);
    return answer;
}

void rejectQueued(PromptPacer &pacer, const PermitHolder &holder, Span wait,
                  PacingCounters &counters, std::vector<QueuedAnswer> &answers)
{
    std::optional<QueuedAnswer> answer = takeQueued(pacer, holder);
    if (!answer)
        return;
    answer->admission.isUnservable = true;
    answer->admission.wait = wait;
    ++counters.unservable[queuePriority(answer->request).level];
    answers.push_back(std::move(*answer));
}

void admitNext(PromptPacer &pacer, double rate, PacingCounters &counters, Instant now,
               std::vector<QueuedAnswer> &answers)
{
    const std::optional<WaitingRequest> next = takeNext(pacer.queue);
    std::optional<QueuedAnswer> answer = takeQueued(pacer, holderOf(*next));
    if (!answer)
        return;
    admitPromptOf(pacer, answer->request, answer->holder.host, rate, now, now);
    ++counters.admittedFromQueue[queuePriority(answer->request).level];
    answers.push_back(std::move(*answer));
}

} // namespace

double readRate(const PromptPacer &pacer, double serviceRate)
{
    return azurewell::readRate(pacer.window, serviceRate);
}

Priority queuePriority(const AdmissionRequest &request)
{
    if (request.objectiveLeft <= Span{} && !isWithoutQueues(request))
        return leastUrgent;
    return request.priority.value_or(defaultPriority);
}

PromptAdmission admitPrompt(PromptPacer &pacer, const AdmissionRequest &request,
                            const HostId &requester, double serviceRate, PacingCounters &counters,
                            Instant now)
{
    const double rate = readRate(pacer, serviceRate);
    const Priority priority = queuePriority(request);
    recordPause(pacer, request.maxPause, now);
    add(pacer.demand[request.adapter], request.tokens, demandDecayTime, now);
    const Span maxPause = pauseOf(pacer, now);
    const double windowSize = windowTokens(rate, maxPause);
    const double ahead = tokensAhead(pacer.queue, priority, request.customer, 1.0);
    const double unread = unreadTokens(pacer.window, rate, now);
    const double excess = std::max(0.0, unread + ahead + request.tokens - windowSize);
    const bool hasRoomNow = pacer.queue.size == 0
            && hasRoom(pacer.window, request.tokens, rate, maxPause, now);

    PromptAdmission admission;
    admission.wait = hasRoomNow ? Span{} : fromSeconds(excess / rate);
    admission.isCopyWanted = isCopyWanted(pacer, request.adapter, admission.wait, rate);
    if (isWithoutQueues(request)) {
        admission.wait = std::min(admission.wait, maxReservedWait);
        ++(admission.wait > Span{} ? counters.reserved : counters.admittedAtOnce[priority.level]);
        admitPromptOf(pacer, request, requester, rate, now + admission.wait, now);
        return admission;
    }
    const PermitHolder holder{ requester, request.request };
    releaseAdmission(pacer, holder);
    const Instant latestStart = latestStartOf(request, rate, windowSize, now);
    // A prompt that has room is offered as well, as shares follow from what is offered.
    const Instant offeredStart = hasRoomNow ? std::max(latestStart, now) : latestStart;
    const bool isTooLate = !hasRoomNow && now + admission.wait > latestStart;
    OfferResult result;
    if (isTooLate) {
        result.verdict = OfferVerdict::TooLate;
    } else {
        result = offer(pacer.queue, priority, waitingOf(request, requester, offeredStart, now),
                       { TokenRate{ rate }, std::clamp(unread / windowSize, 0.0, 1.0) }, now);
    }
    if (result.verdict != OfferVerdict::Queued
        || (result.dropped && holderOf(*result.dropped) == holder)) {
        admission.isUnservable = true;
        ++counters.unservable[priority.level];
        return admission;
    }
    if (result.dropped)
        pacer.dropped.push_back(holderOf(*result.dropped));
    if (hasRoomNow) {
        takeNext(pacer.queue);
        admitPromptOf(pacer, request, requester, rate, now, now);
        ++counters.admittedAtOnce[priority.level];
        return admission;
    }
    pacer.queued[holder] = request;
    admission.isQueued = true;
    ++counters.queued[priority.level];
    return admission;
}

std::vector<QueuedAnswer> admitQueued(PromptPacer &pacer, double serviceRate,
                                      PacingCounters &counters, Instant now)
{
    std::vector<QueuedAnswer> answers;
    counters.expired += removeExpired(pacer.window, now);
    const double rate = readRate(pacer, serviceRate);
    const Span readAll = fromSeconds(unreadTokens(pacer.window, rate, now) / rate);
    for (const PermitHolder &holder : std::exchange(pacer.dropped, {}))
        rejectQueued(pacer, holder, readAll, counters, answers);
    for (const WaitingRequest &expired : takeExpired(pacer.queue, now))
        rejectQueued(pacer, holderOf(expired), readAll, counters, answers);
    const Span maxPause = pauseOf(pacer, now);
    while (const WaitingRequest *next = peekNext(pacer.queue)) {
        const double tokens = static_cast<double>(next->cost.count);
        if (!hasRoom(pacer.window, tokens, rate, maxPause, now))
            break;
        admitNext(pacer, rate, counters, now, answers);
    }
    return answers;
}

void releaseAdmission(PromptPacer &pacer, const PermitHolder &holder)
{
    removeUnread(pacer.window, holder.host, holder.request, false);
    if (pacer.queued.erase(holder) > 0)
        remove(pacer.queue, holder.host, idOf(holder.request));
}

void handleRead(PromptPacer &pacer, const HostId &requester, const PromptRead &read,
                double serviceRate, Instant now)
{
    if (read.isFailed)
        removeUnread(pacer.window, requester, read.request, true);
    else
        recordRead(pacer.window, requester, read.request, serviceRate, now);
}

bool isIdle(const PromptPacer &pacer)
{
    return pacer.window.unread.empty() && pacer.queued.empty() && pacer.dropped.empty();
}

void tidy(PromptPacer &pacer, Instant now)
{
    std::erase_if(pacer.demand, [now](const auto &entry) {
        return valueAt(entry.second, demandDecayTime, now) < 1;
    });
}

} // namespace azurewell::gateway
