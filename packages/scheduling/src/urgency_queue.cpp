#include "azurewell/scheduling/urgency_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace azurewell {

namespace {

/// Time constant of the decaying means. At 46 prompts a second (an engine at twice its capacity)
/// they vary by about a tenth; with 2 s the more urgent levels queued more than their part.
constexpr Span offeredMemory = std::chrono::seconds(3);

/// Interval of updates of means and shares: each takes one pass over the levels.
constexpr Span updateInterval = std::chrono::milliseconds(50);

/// Interval at which idle customers are forgotten: this takes a pass over the customers of every
/// level. With every update, an offer took 8 microseconds at 1,000 customers of 10 levels.
constexpr Span forgetInterval = std::chrono::seconds(1);

/// Minimum share of a level by its part of the demand: a quarter, and a third of that as a margin
/// for the error of the means.
constexpr double minimumPart = 0.33;

/// What the most urgent level keeps of what it would get alone: 0.95, and a margin for the error of
/// the means.
constexpr double urgentPart = 0.96;

/// How far a level's grants may fall behind its minimum share before it is granted ahead of more
/// urgent levels, in seconds of its share. With 0.5 s bursts of urgent prompts caused inversions
/// (10 % of the grants at 4 times the capacity) and made urgent prompts expire.
constexpr double overdueAfterSeconds = 2;

/// Levels that offer less than this are treated as idle.
constexpr double idlePerSecond = 1;

/// What a customer may queue at once, in seconds of its allowance. A customer that sends less than
/// the allowance on average sends a prompt now and then, each worth several seconds of allowance.
constexpr Span allowanceDepth = std::chrono::seconds(20);

/// The most that a customer can owe, in multiples of the depth: it is repaid within seconds once
/// the load ends, as the allowance of every customer then grows.
constexpr double mostOwed = 10;

/// A prompt is queued only if its expected wait is at most this part of what is left until its
/// latest start: the expectation is a mean, and bursts of more urgent prompts multiply it. With a
/// half, 6 to 8 % of the rejections at 1.2 times the capacity came after more than 150 ms.
constexpr double longestExpected = 0.25;

/// Tokens that may be too late, in relation to what the level may queue, before the allowances are
/// reduced. Prompts are too late for small and large customers alike, so the allowances have to be
/// the bound. With 0.15, utilisation at 1.2 times the capacity was below 0.95 in one of four runs.
constexpr double mostTooLate = 0.2;

/// Part of the window below which a prompt that finds an empty queue is queued whatever the
/// estimates say, for a customer that owes a full depth or more; up to 1 for one that owes nothing.
constexpr double dryWindowOwing = 0.03;

/// Lower bound of the share in estimates, for a level whose first prompt arrives between updates.
constexpr double leastShare = 0.02;

bool anyMayRun(const AdapterRef &)
{
    return true;
}

double tokensOf(const WaitingRequest &request)
{
    return static_cast<double>(request.cost.count);
}

void subtractRemoved(UrgencyQueue &queue, UrgencyLevel &level, const WaitingRequest &request)
{
    --queue.size;
    level.queuedTokens -= tokensOf(request);
    if (level.queue.size > 0)
        return;
    level.queuedTokens = 0;
    level.overdueTokens = 0; // an idle level gets no credit for the past
    dropIdleCustomers(level.queue);
}

/// The largest allowance of a customer of \a level, in tokens.
double fullAllowance(const UrgencyLevel &level)
{
    return level.customerPerSecond * toSeconds(allowanceDepth);
}

double allowanceAt(const UrgencyLevel &level, const CustomerAllowance &allowance, Instant now)
{
    const double refill = level.customerPerSecond * toSeconds(now - allowance.updatedAt);
    return std::min(fullAllowance(level), allowance.tokens + refill);
}

CustomerAllowance &allowanceOf(UrgencyLevel &level, const CustomerId &customer, Instant now)
{
    const auto [entry, isNew] = level.allowanceOf.try_emplace(
            customer, static_cast<std::uint32_t>(level.allowances.size()));
    if (isNew)
        level.allowances.push_back({ customer, fullAllowance(level), now });
    CustomerAllowance &allowance = level.allowances[entry->second];
    allowance.tokens = allowanceAt(level, allowance, now);
    allowance.updatedAt = now;
    return allowance;
}

/// Forgets customers whose allowance is full again: they equal new ones.
void dropFullAllowances(UrgencyLevel &level, Instant now)
{
    for (std::size_t index = level.allowances.size(); index-- > 0;) {
        CustomerAllowance &allowance = level.allowances[index];
        if (allowanceAt(level, allowance, now) < fullAllowance(level))
            continue;
        level.allowanceOf.erase(allowance.customer);
        if (index + 1 != level.allowances.size()) {
            allowance = std::move(level.allowances.back());
            level.allowanceOf[allowance.customer] = static_cast<std::uint32_t>(index);
        }
        level.allowances.pop_back();
    }
}

/// Adjusts what each customer may queue, so that the level queues \a bound tokens a second: large
/// customers queue the same amount, and small ones all that they offer.
void updateAllowance(UrgencyLevel &level, double bound, TokenRate rate, Span elapsed)
{
    constexpr double largestStep = 4;
    constexpr double opening = 1.3; // also where the means of offered and queued tokens agree
    const bool isUnderBound = level.offeredPerSecond <= bound;
    double step = bound / std::max(level.queuedPerSecond, 1.0);
    step = std::clamp(step, 1 / largestStep, largestStep);
    if (isUnderBound)
        step = std::max(step, opening);
    const double late = level.tooLatePerSecond / std::max(bound, 1.0);
    if (late > mostTooLate)
        step = std::min(step, std::exp(-std::min(1.0, largestStep * (late - mostTooLate))));
    const double customers = static_cast<double>(std::max<std::size_t>(1, level.allowances.size()));
    const double exponent = std::min(1.0, toSeconds(elapsed) / toSeconds(offeredMemory));
    const double amount = std::min(level.customerPerSecond, rate.perSecond);
    level.customerPerSecond = std::clamp(amount * std::pow(step, exponent),
                                         bound / customers / largestStep,
                                         isUnderBound ? rate.perSecond : bound);
}

void updateMinimumShares(UrgencyQueue &queue, TokenRate rate)
{
    double total = 0;
    const UrgencyLevel *first = nullptr;
    for (const UrgencyLevel &level : queue.levels) {
        total += level.offeredPerSecond;
        if (!first && level.offeredPerSecond > 0)
            first = &level;
    }
    if (!first)
        return;
    const double urgent = std::min(1.0, first->offeredPerSecond / rate.perSecond);
    const double others = (total - first->offeredPerSecond) / total;
    const double part = others > 0 ? std::min(minimumPart, (1 - urgentPart * urgent) / others) : 0;
    for (UrgencyLevel &level : queue.levels)
        level.minimumShare = &level == first ? 0 : part * level.offeredPerSecond / total;
}

void updateAvailableShares(UrgencyQueue &queue, TokenRate rate, Span elapsed)
{
    double reserved = 0;
    for (const UrgencyLevel &level : queue.levels)
        reserved += level.minimumShare;
    double left = 1;
    for (UrgencyLevel &level : queue.levels) {
        reserved = std::max(0.0, reserved - level.minimumShare);
        level.availableShare = std::max(left - reserved, level.minimumShare);
        level.strictShare = std::max(left, level.minimumShare);
        const double bound = level.availableShare * rate.perSecond;
        updateAllowance(level, bound, rate, elapsed);
        left -= std::min(level.offeredPerSecond / rate.perSecond, level.availableShare);
    }
}

void updateShares(UrgencyQueue &queue, TokenRate rate, Instant now)
{
    const Span elapsed = now - queue.updatedAt;
    if (elapsed < updateInterval || rate.perSecond <= 0)
        return;
    queue.updatedAt = now;
    queue.rate = rate;
    const double factor = std::exp(-toSeconds(elapsed) / toSeconds(offeredMemory));
    for (UrgencyLevel &level : queue.levels) {
        level.offeredPerSecond *= factor;
        level.queuedPerSecond *= factor;
        level.tooLatePerSecond *= factor;
        if (level.offeredPerSecond < idlePerSecond)
            level.offeredPerSecond = 0;
    }
    if (now - queue.forgottenAt >= forgetInterval) {
        queue.forgottenAt = now;
        for (UrgencyLevel &level : queue.levels) {
            dropFullAllowances(level, now);
            dropIdleCustomers(level.queue);
        }
    }
    updateMinimumShares(queue, rate);
    updateAvailableShares(queue, rate, elapsed);
}

/// The index of the level that is granted next; the number of levels if none waits.
std::size_t nextLevel(const UrgencyQueue &queue)
{
    const std::size_t none = queue.levels.size();
    std::size_t next = none;
    double mostOverdue = 1;
    for (std::size_t index = 0; index < none; ++index) {
        const UrgencyLevel &level = queue.levels[index];
        if (level.queue.size == 0)
            continue;
        if (next == none) {
            next = index;
            continue;
        }
        const double allowed = overdueAfterSeconds * level.minimumShare * queue.rate.perSecond;
        if (allowed > 0 && level.overdueTokens > allowed * mostOverdue) {
            mostOverdue = level.overdueTokens / allowed;
            next = index;
        }
    }
    return next;
}

/// Charges the minimum shares of the levels that wait for a grant of \a tokens to \a granted.
void chargeLevels(UrgencyQueue &queue, const UrgencyLevel &granted, double tokens)
{
    for (UrgencyLevel &level : queue.levels) {
        if (level.queue.size == 0)
            continue;
        level.overdueTokens += level.minimumShare * tokens;
        if (&level == &granted)
            level.overdueTokens = std::max(0.0, level.overdueTokens - tokens);
    }
}

std::optional<WaitingRequest> dropLast(UrgencyQueue &queue)
{
    for (std::size_t index = queue.levels.size(); index-- > 0;) {
        UrgencyLevel &level = queue.levels[index];
        std::optional<WaitingRequest> dropped = takeNewestOfLargest(level.queue);
        if (!dropped)
            continue;
        subtractRemoved(queue, level, *dropped);
        return dropped;
    }
    return std::nullopt;
}

/// Whether the engine may idle before further prompts arrive. A customer that owes part of its
/// allowance waits for a window that is emptier, so that those within theirs come first.
bool isRunningDry(const UrgencyQueue &queue, const UrgencyLevel &level,
                  const CustomerAllowance &allowance, const EngineCapacity &engine)
{
    const double owed = std::clamp(-allowance.tokens / fullAllowance(level), 0.0, 1.0);
    return queue.size == 0 && engine.unreadPart < std::max(dryWindowOwing, 1 - owed);
}

} // namespace

OfferResult offer(UrgencyQueue &queue, Priority priority, WaitingRequest request,
                  const EngineCapacity &engine, Instant now)
{
    UrgencyLevel &level = queue.levels[priority.level];
    const double tokens = tokensOf(request);
    level.offeredPerSecond += tokens / toSeconds(offeredMemory);
    updateShares(queue, engine.rate, now);
    CustomerAllowance &allowance = allowanceOf(level, request.customer, now);
    if (request.latestStart < now)
        return { OfferVerdict::TooLate, std::nullopt };
    if (engine.rate.perSecond > 0 && !isRunningDry(queue, level, allowance, engine)) {
        const double ahead = tokensAhead(queue, priority, request.customer, request.weight);
        const double left = toSeconds(request.latestStart - now) * engine.rate.perSecond;
        if (ahead > left * longestExpected) {
            if (allowance.tokens > 0)
                level.tooLatePerSecond += tokens / toSeconds(offeredMemory);
            return { OfferVerdict::TooLate, std::nullopt };
        }
        if (allowance.tokens <= 0)
            return { OfferVerdict::OverShare, std::nullopt };
    }
    allowance.tokens = std::max(allowance.tokens - tokens, -mostOwed * fullAllowance(level));
    level.queuedPerSecond += tokens / toSeconds(offeredMemory);
    request.queuedAt = now;
    return { OfferVerdict::Queued, enqueue(queue, priority, std::move(request)) };
}

std::optional<WaitingRequest> enqueue(UrgencyQueue &queue, Priority priority,
                                      WaitingRequest request)
{
    UrgencyLevel &level = queue.levels[priority.level];
    queue.nextExpiry = queue.size == 0 ? request.latestStart
                                       : std::min(queue.nextExpiry, request.latestStart);
    level.queuedTokens += tokensOf(request);
    enqueue(level.queue, std::move(request));
    ++queue.size;
    return queue.size > maxWaitingPrompts ? dropLast(queue) : std::nullopt;
}

const WaitingRequest *peekNext(const UrgencyQueue &queue)
{
    const std::size_t index = nextLevel(queue);
    return index == queue.levels.size() ? nullptr : peekNext(queue.levels[index].queue);
}

std::optional<WaitingRequest> takeNext(UrgencyQueue &queue)
{
    const std::size_t index = nextLevel(queue);
    if (index == queue.levels.size())
        return std::nullopt;
    UrgencyLevel &level = queue.levels[index];
    std::optional<WaitingRequest> taken = takeNext(level.queue, anyMayRun);
    chargeLevels(queue, level, tokensOf(*taken));
    subtractRemoved(queue, level, *taken);
    return taken;
}

bool remove(UrgencyQueue &queue, const HostId &requester, const RequestId &request)
{
    for (UrgencyLevel &level : queue.levels) {
        const std::optional<WaitingRequest> removed = takeRequest(level.queue, requester, request);
        if (!removed)
            continue;
        subtractRemoved(queue, level, *removed);
        return true;
    }
    return false;
}

std::vector<WaitingRequest> takeExpired(UrgencyQueue &queue, Instant now)
{
    std::vector<WaitingRequest> expired;
    if (queue.size == 0 || now < queue.nextExpiry)
        return expired;
    queue.nextExpiry = Instant{ std::numeric_limits<std::int64_t>::max() };
    for (UrgencyLevel &level : queue.levels) {
        for (WaitingRequest &request : takeExpired(level.queue, now)) {
            subtractRemoved(queue, level, request);
            level.tooLatePerSecond += tokensOf(request) / toSeconds(offeredMemory);
            expired.push_back(std::move(request));
        }
        if (const WaitingRequest *earliest = earliestToExpire(level.queue))
            queue.nextExpiry = std::min(queue.nextExpiry, earliest->latestStart);
    }
    return expired;
}

double tokensAhead(const UrgencyQueue &queue, Priority priority, const CustomerId &customer,
                   double weight)
{
    const UrgencyLevel &level = queue.levels[priority.level];
    double ahead = tokensAhead(level.queue, customer, weight);
    for (std::size_t index = 0; index < priority.level; ++index)
        ahead += queue.levels[index].queuedTokens;
    return ahead / std::max(level.strictShare, leastShare);
}

} // namespace azurewell
