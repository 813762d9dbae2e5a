#include "azurewell/scheduling/urgency_queue.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

namespace {

/// Time constant of the means of offered tokens. At 46 prompts a second (an engine at twice its
/// capacity) the means vary by 7 % of their value; shorter ones reject by noise.
constexpr Span offeredMemory = std::chrono::seconds(2);

/// Interval of updates of means and shares: each takes one pass over the customers.
constexpr Span updateInterval = std::chrono::milliseconds(50);

/// Minimum share of a level by its part of the demand: a quarter, and a fifth of that as a margin
/// for the error of the means.
constexpr double minimumPart = 0.3;

/// What the most urgent level keeps of what it would get alone: 0.95, and a margin for the error of
/// the means.
constexpr double urgentPart = 0.96;

/// How far a level's grants may fall behind its minimum share before it is granted ahead of more
/// urgent levels, in seconds of its share. A level between bursts of more urgent ones catches up
/// within this; half a second is under the shortest objective of a prompt (0.8 s).
constexpr double overdueAfterSeconds = 0.5;

/// The least urgent level of a busy queue may queue this much more than its share: capacity is lost
/// if the means are too low, and what is too much is rejected by the estimate of its wait.
constexpr double overfill = 1.1;

/// A customer that offers less than this is forgotten.
constexpr double forgottenPerSecond = 1;

/// Lower bound of the share in estimates, for a level whose first prompt arrives between updates.
constexpr double leastAvailable = 0.02;

constexpr double noBound = std::numeric_limits<double>::infinity();

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

OfferedByCustomer &offersOf(UrgencyLevel &level, const CustomerId &customer)
{
    const auto [entry, isNew] = level.offerOf.try_emplace(
            customer, static_cast<std::uint32_t>(level.offers.size()));
    if (isNew)
        level.offers.push_back({ customer, 0, 0 });
    return level.offers[entry->second];
}

void decayOffers(UrgencyLevel &level, double factor)
{
    level.offeredPerSecond *= factor;
    for (std::size_t index = level.offers.size(); index-- > 0;) {
        OfferedByCustomer &offered = level.offers[index];
        offered.perSecond *= factor;
        if (offered.perSecond >= forgottenPerSecond)
            continue;
        level.offerOf.erase(offered.customer);
        if (index + 1 != level.offers.size()) {
            offered = std::move(level.offers.back());
            level.offerOf[offered.customer] = static_cast<std::uint32_t>(index);
        }
        level.offers.pop_back();
    }
    if (level.offers.empty())
        level.offeredPerSecond = 0;
}

/// The largest amount for each customer with which all of them together offer at most \a perSecond:
/// those that offer less than the amount leave their rest to the others.
double amountForEach(const UrgencyLevel &level, double perSecond)
{
    if (level.offeredPerSecond <= perSecond)
        return noBound;
    double amount = perSecond / static_cast<double>(level.offers.size());
    constexpr int passes = 8; // each pass settles the customers below the amount
    for (int pass = 0; pass < passes; ++pass) {
        double left = perSecond;
        std::size_t larger = 0;
        for (const OfferedByCustomer &offered : level.offers) {
            if (offered.perSecond <= amount)
                left -= offered.perSecond;
            else
                ++larger;
        }
        if (larger == 0)
            break;
        const double next = left / static_cast<double>(larger);
        if (next <= amount)
            break;
        amount = next;
    }
    return amount;
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

void updateAvailableShares(UrgencyQueue &queue, TokenRate rate)
{
    double reserved = 0;
    std::size_t last = 0;
    for (std::size_t index = 0; index < queue.levels.size(); ++index) {
        reserved += queue.levels[index].minimumShare;
        if (queue.levels[index].offeredPerSecond > 0)
            last = index;
    }
    double left = 1;
    for (std::size_t index = 0; index < queue.levels.size(); ++index) {
        UrgencyLevel &level = queue.levels[index];
        reserved = std::max(0.0, reserved - level.minimumShare);
        level.availableShare = std::max(left - reserved, level.minimumShare);
        const double bound = level.availableShare * (index == last ? overfill : 1) * rate.perSecond;
        level.customerPerSecond = amountForEach(level, bound);
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
    for (UrgencyLevel &level : queue.levels)
        decayOffers(level, factor);
    updateMinimumShares(queue, rate);
    updateAvailableShares(queue, rate);
}

/// Records the offer. Returns whether the customer may queue it by its share of the level: the
/// rejected ones are spread evenly over its prompts.
bool recordOffer(UrgencyLevel &level, const WaitingRequest &request)
{
    const double tokens = tokensOf(request);
    OfferedByCustomer &offered = offersOf(level, request.customer);
    offered.perSecond += tokens / toSeconds(offeredMemory);
    level.offeredPerSecond += tokens / toSeconds(offeredMemory);
    if (offered.perSecond <= level.customerPerSecond) {
        offered.credit = 0;
        return true;
    }
    offered.credit += tokens * level.customerPerSecond / offered.perSecond;
    if (offered.credit <= 0)
        return false;
    offered.credit -= tokens;
    return true;
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

} // namespace

OfferResult offer(UrgencyQueue &queue, Priority priority, WaitingRequest request, TokenRate rate,
                  Instant now)
{
    UrgencyLevel &level = queue.levels[priority.level];
    const bool isWithinShare = recordOffer(level, request);
    updateShares(queue, rate, now);
    if (request.latestStart < now)
        return { OfferVerdict::TooLate, std::nullopt };
    if (queue.size > 0 && rate.perSecond > 0) {
        const double ahead = tokensAhead(queue, priority, request.customer, request.weight);
        if (toSeconds(request.latestStart - now) * rate.perSecond < ahead)
            return { OfferVerdict::TooLate, std::nullopt };
        if (!isWithinShare)
            return { OfferVerdict::OverShare, std::nullopt };
    }
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
            expired.push_back(std::move(request));
        }
        queue.nextExpiry = std::min(queue.nextExpiry, earliestExpiry(level.queue));
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
    return ahead / std::max(level.availableShare, leastAvailable);
}

} // namespace azurewell
