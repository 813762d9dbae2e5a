#include "azurewell/gateway/choose_upstream.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <compare>

namespace azurewell::gateway {

namespace {

/// A stated load is ignored after this time.
constexpr Span statedLoadValidity = std::chrono::milliseconds(1500);

/// Wait behind each request that an upstream states as waiting, in seconds.
constexpr double waitPerQueuedRequest = 0.08;

/// Delay of a new request by a full batch, in seconds: each step of the batch takes longer.
constexpr double fullBatchDelay = 0.33;

/// Wait for a permit at a cold upstream, in seconds.
constexpr double coldDelay = 0.1;

/// Cost of an upstream in another availability zone, in seconds: higher latency, and paid traffic.
/// Less than the wait behind half a request.
constexpr double otherZonePenalty = 0.033;

/// Cost of an upstream that fails all requests, in seconds.
constexpr double failurePenalty = 2;

/// An engine loads no adapter if its wait exceeds both this and the minimum over the engines by
/// maxWaitAboveMin, even if it recently held the adapter. Loading the adapter at another engine
/// takes about as long. In seconds.
constexpr double maxWaitToLoad = 0.4;
constexpr double maxWaitAboveMin = 0.33;

/// Random range added to costs, in seconds, so that hosts with the same view do not all choose the
/// same upstream.
constexpr double tieBreakRange = 0.025;

/// Usual time of an answer of a plain service that has answered nothing yet, in seconds.
constexpr double initialAnswerSeconds = 0.06;

/// Weight of a queue at a plain server relative to what a known queue would cost: a mean occupancy
/// hides the peaks. In trials with six servers and 300 requests a second the 99th percentile was
/// 343 ms with 6, and 370 ms with 3.
constexpr double queuedWeight = 6;

/// Time for which the last stated load of a plain server is worth something, in times of an answer.
constexpr double loadMemory = 5;

/// Differences of expected times by this share of the usual time change the probability of a server
/// by a factor of e. An old load says too little for a larger preference.
constexpr double spreadShare = 0.5;

/// Difference of the expected waits at two engines that changes the probability by a factor of e,
/// in seconds. With less than the age of the figures all hosts follow them to the same engines, and
/// queues oscillate: the 95th percentile was 4.2 s with 0.05, and 370 to 390 ms with 0.2 to 2.
constexpr double engineWaitScale = 1;

/// Time for which the coordinator's figure of unread tokens replaces the prompts that other hosts
/// state.
constexpr Span unreadValidity = std::chrono::milliseconds(1500);

/// Rank of an engine as a place for an adapter; the highest is chosen.
struct LoadRank
{
    bool isLastEngine = false;
    bool isInOwnZone = false;
    std::uint64_t weight = 0; ///< Rendezvous weight; equal at all hosts.

    auto operator<=>(const LoadRank &) const = default;
};

/// The sum of the prompts that this host and others sent.
double sentPromptTokens(const Upstream &upstream, Instant now)
{
    double prompts = valueAt(upstream.ownPrompts, promptDecayTime, now);
    for (const auto &[host, tokens] : upstream.otherPrompts)
        prompts += valueAt(tokens, promptDecayTime, now);
    return prompts;
}

/// Delays in seconds at \a upstream that no queue causes.
double fixedDelay(const Upstream &upstream, Instant now)
{
    return expectedLimitWait(upstream.limit, now) + (isCold(upstream, now) ? coldDelay : 0);
}

/// Expected time until \a upstream starts a request behind \a queuedTokens prompt tokens.
double waitBehind(const Upstream &upstream, double queuedTokens, double prefillTokensPerSecond,
                  Instant now)
{
    const double slots = std::max<double>(upstream.listed.slots, 1);
    const bool isCurrent = now - upstream.loadAt < statedLoadValidity;
    const StatedLoad stated = isCurrent ? upstream.load : StatedLoad{};
    const double runningRequests = std::max<double>(stated.running, upstream.requestsInFlight);
    return queuedTokens / expectedTokensPerSecond(upstream.speed, prefillTokensPerSecond, now)
            + (stated.waiting * waitPerQueuedRequest + fullBatchDelay * runningRequests / slots)
            * expectedFactor(upstream.speed, now)
            + fixedDelay(upstream, now);
}

/// Cost in seconds of what is wrong with \a upstream for \a need, apart from its load.
double penalty(const Upstream &upstream, const UpstreamNeed &need)
{
    return upstream.failureRate * failurePenalty
            + (upstream.listed.zone == need.zone ? 0 : otherZonePenalty);
}

/// Expected time in seconds that the request itself takes at \a upstream: until its prompt is read,
/// or its whole time at a plain service.
double ownTime(const Upstream &upstream, const UpstreamNeed &need, Instant now)
{
    if (need.model.model.empty())
        return need.answerSeconds * expectedFactor(upstream.speed, now);
    return need.promptTokens
            / expectedTokensPerSecond(upstream.speed, need.prefillTokensPerSecond, now);
}

/// Without the coordinator's figure of unread tokens: all hosts have the same one, which is up to
/// 1.3 s old, and would all choose the engine that was idle then.
double cost(const Upstream &upstream, const UpstreamNeed &need, Instant now)
{
    return waitBehind(upstream, sentPromptTokens(upstream, now), need.prefillTokensPerSecond, now)
            + ownTime(upstream, need, now) + penalty(upstream, need);
}

/// Turns the cost of a candidate, in units of the scale of its draw, into one whose minimum over
/// the candidates is a draw with weights weight * exp(-cost) (the Gumbel-max method). \a uniform is
/// in [0, 1).
double drawnCost(double scaledCost, double weight, double uniform)
{
    constexpr double margin = 1e-12;
    const double gumbel = -std::log(-std::log(std::clamp(uniform, margin, 1 - margin)));
    return scaledCost - std::log(weight) - gumbel;
}

double drawnServerCost(const Upstream &upstream, const UpstreamNeed &need, double uniform,
                       Instant now)
{
    const double usual = need.answerSeconds > 0 ? need.answerSeconds : initialAnswerSeconds;
    const double slots = std::max<double>(upstream.listed.slots, 1);
    const double stated = expectedOccupancy(upstream.speed, usual * loadMemory, now);
    const double occupancy = std::max(stated, upstream.requestsInFlight / slots);
    const double queued = queuedWeight * std::max(0.0, occupancy + 1 / slots - 1);
    const double time = usual * expectedFactor(upstream.speed, now) * (1 + queued)
            + penalty(upstream, need) + fixedDelay(upstream, now);
    return drawnCost(time / (usual * spreadShare), slots, uniform);
}

double drawnEngineCost(const Upstream &upstream, const UpstreamNeed &need, double uniform,
                       Instant now)
{
    const double rate = expectedTokensPerSecond(upstream.speed, need.prefillTokensPerSecond, now);
    const double fixed = fixedDelay(upstream, now);
    const double queue = expectedWait(upstream, need.prefillTokensPerSecond, now) - fixed;
    return drawnCost(queue / engineWaitScale + (penalty(upstream, need) + fixed) / tieBreakRange,
                     rate, uniform);
}

/// Whether upstreams of the service of \a need are drawn: only where they state slowdowns. Learnt
/// rates of equal engines differ by chance, and other services are to be chosen as before.
bool isDrawn(const UpstreamMap &upstreams, const UpstreamNeed &need)
{
    return std::any_of(upstreams.begin(), upstreams.end(), [&need](const auto &entry) {
        return entry.second.listed.service == need.service && statesSlowdown(entry.second.speed);
    });
}

} // namespace

std::uint64_t declaredVersion(const DeclaredVersions &versions, const ModelName &adapter)
{
    const auto found = versions.find(adapter);
    return found == versions.end() ? 0 : found->second;
}

bool fits(const Upstream &upstream, const UpstreamNeed &need, Instant now)
{
    return upstream.listed.service == need.service && isUsable(upstream, now)
            && now >= upstream.pausedUntil && !need.excluded.contains(upstream.listed.id)
            && !(need.isSentWithoutAdmission && isRateLimited(upstream, now))
            && (!need.softwareVersion
                || (isVersionKnown(upstream)
                    && upstream.listed.softwareVersion == *need.softwareVersion))
            && !need.heldVersions.contains(upstream.listed.softwareVersion)
            && (upstream.terminatedAt == never || now + need.duration < upstream.terminatedAt);
}

double queuedPromptTokens(const Upstream &upstream, Instant now)
{
    const CoordinatorFigures &figures = upstream.speed.coordinator;
    const bool isReported = figures.tokensPerSecond > 0 && now - figures.at < unreadValidity;
    if (!isReported)
        return sentPromptTokens(upstream, now);
    // The reported tokens include the own prompts of before the report. Prompts that need no
    // admission are not among them.
    const double own = valueAt(upstream.ownPrompts, promptDecayTime, now);
    const double ownSince = own - valueAt(upstream.ownPromptsReported, promptDecayTime, now);
    const double reported = expectedUnreadTokens(figures, now);
    return std::max(own, reported + ownSince);
}

double expectedWait(const Upstream &upstream, double prefillTokensPerSecond, Instant now)
{
    return waitBehind(upstream, queuedPromptTokens(upstream, now), prefillTokensPerSecond, now);
}

bool isReadyFor(const Upstream &upstream, const ModelName &model, const DeclaredVersions &versions)
{
    if (model.model.empty())
        return true;
    if (!upstream.engine.hasModel(model.model))
        return false;
    if (model.isBase())
        return true;
    const LoadedAdapter *loaded = upstream.engine.findReady(model);
    if (!loaded)
        return false;
    const auto declared = versions.find(model);
    return declared == versions.end() || loaded->version >= declared->second;
}

const Upstream *chooseUpstream(const UpstreamMap &upstreams, const UpstreamNeed &need,
                               const DeclaredVersions &versions, double draw, Instant now)
{
    const Upstream *best = nullptr;
    bool isBestAvoided = false;
    double minCost = 0;
    const bool isDrawnChoice = isDrawn(upstreams, need);
    const bool isPlain = need.model.model.empty();
    const std::uint64_t salt = static_cast<std::uint64_t>(draw * 1e9);
    for (const auto &[id, upstream] : upstreams) {
        if (!fits(upstream, need, now) || !isReadyFor(upstream, need.model, versions))
            continue;
        const bool isAvoided = now < upstream.avoidedUntil || isEvacuated(upstream);
        const double tieBreak = static_cast<double>(rendezvousMix(salt, stableHash(id.value)) >> 11)
                * 0x1p-53;
        const double ownCost = !isDrawnChoice ? cost(upstream, need, now) + tieBreak * tieBreakRange
                : isPlain                     ? drawnServerCost(upstream, need, tieBreak, now)
                                              : drawnEngineCost(upstream, need, tieBreak, now);
        const bool isBetter = !best || (isBestAvoided && !isAvoided)
                || (isBestAvoided == isAvoided && ownCost < minCost);
        if (!isBetter)
            continue;
        best = &upstream;
        isBestAvoided = isAvoided;
        minCost = ownCost;
    }
    return best;
}

const Upstream *chooseEngineWithFinishedLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                             const LoadTimes &times, Instant now)
{
    for (const auto &[id, upstream] : upstreams) {
        const auto load = upstream.loads.find(need.model);
        if (load != upstream.loads.end() && isEarlyAttemptDue(times, load->second, now)
            && fits(upstream, need, now) && now >= upstream.avoidedUntil)
            return &upstream;
    }
    return nullptr;
}

const Upstream *chooseEngineToLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                   const LastEngines &lastEngines, std::uint32_t maxLoadedAdapters,
                                   Instant now)
{
    std::vector<std::pair<const Upstream *, double>> candidates; ///< With the wait in seconds.
    double minWait = 0;
    for (const auto &[id, upstream] : upstreams) {
        const bool isCandidate = fits(upstream, need, now) && now >= upstream.avoidedUntil
                && !isEvacuated(upstream) && upstream.engine.hasModel(need.model.model)
                && upstream.engine.loading.size() < maxLoadedAdapters;
        if (!isCandidate)
            continue;
        const double wait = expectedWait(upstream, need.prefillTokensPerSecond, now);
        minWait = candidates.empty() ? wait : std::min(minWait, wait);
        candidates.emplace_back(&upstream, wait);
    }
    const std::string name = need.model.model + "/" + need.model.adapter;
    const UpstreamId *lastEngine = findLastEngine(lastEngines, need.model);
    const Upstream *best = nullptr;
    LoadRank highest;
    for (const auto &[upstream, wait] : candidates) {
        if (wait > std::max(minWait + maxWaitAboveMin, maxWaitToLoad))
            continue;
        const UpstreamId &id = upstream->listed.id;
        const LoadRank rank{ lastEngine && *lastEngine == id, upstream->listed.zone == need.zone,
                             rendezvousWeight(name, id.value) };
        if (best && rank <= highest)
            continue;
        best = upstream;
        highest = rank;
    }
    return best;
}

} // namespace azurewell::gateway
