#pragma once

#include "azurewell/scheduling/fair_queue.h"
#include "azurewell/units/priority.h"

#include <array>

namespace azurewell {

/// What a customer may queue at one level before its next prompt is rejected; refilled over time.
struct CustomerAllowance
{
    CustomerId customer;
    double tokens = 0;
    Instant updatedAt;
};

/// Prompts of one priority.
struct UrgencyLevel
{
    FairQueue queue;
    double queuedTokens = 0;
    double offeredPerSecond = 0; ///< Decaying mean of the tokens offered, queued or not.
    double minimumShare = 0;     ///< Of the granted tokens.
    double availableShare = 1;   ///< Of the granted tokens, after more urgent levels.
    double strictShare = 1;      ///< The same without what is kept for less urgent levels.
    double tooLatePerSecond = 0; ///< Decaying mean of the tokens that could not be granted in time.
    double overdueTokens = 0;    ///< Owed by the minimum share while prompts wait.
    double queuedPerSecond = 0;  ///< Decaying mean of the tokens queued.
    /// Refill of each customer's allowance; customers that offer less queue all of it.
    double customerPerSecond = 1e9;            // no bound until the rate of the engine is known
    std::vector<CustomerAllowance> allowances; ///< Only those that are not full.
    std::unordered_map<CustomerId, std::uint32_t> allowanceOf; ///< Index in \ref allowances.
};

/// The prompts that wait for capacity at one engine: levels of fair queues, the more urgent first.
///
/// Load pattern: prompts of several priorities arrive at more than the engine's rate. In one queue
/// the urgent ones wait behind the others; with strict priority alone the least urgent get nothing.
///
/// Three rules apply:
/// - Prompts are granted in strict order of levels, and by customer within a level.
/// - Each level that is less urgent than the most urgent one has a minimum share of the granted
///   tokens. It is kept on arrival: more urgent levels queue no more than what the shares of the
///   others leave, so that the queue drains to the less urgent levels without inversions. Only a
///   level whose share is overdue is granted before more urgent ones (the arrival rates are
///   estimates, and lag behind a change by offeredMemory).
/// - What a level may not queue is rejected for the customers that offer the most: each has the
///   same allowance, refilled at a rate at which the level queues what it may. FairQueue alone
///   can't do this, as only a few prompts can wait until their latest start (five at a quarter of
///   an engine).
///
/// Minimum shares. Let d(i) be the fraction of the demand that is of level i, L the demand in
/// multiples of the capacity, and 0 the most urgent level with demand. The overall served fraction
/// is 1/L, so a quarter of it for level i is d(i)/4 of the capacity. Alone, level 0 would get
/// min(1, L d(0)); both targets hold if
///
///     0.95 min(1, L d(0)) <= 1 - (1 - d(0)) / 4
///
/// that is if L <= (0.75 / d(0) + 0.25) / 0.95, or d(0) >= 0.8. With demands of 15, 35 and 50 %
/// they hold up to L = 5.5: at L = 4 level 0 needs 0.57 of the capacity and the quarters leave
/// 0.79. At L = 4 they hold for d(0) up to 0.21, at L = 2 up to 0.45, at L = 1.2 always. Where both
/// can't hold, the most urgent level keeps its 0.95, and the others share the rest by their demand:
/// none starves, but they get less than a quarter.
///
/// Inversions. If more urgent levels were backlogged, each grant by minimum share would be one:
/// 12.5 % of the grants for d = 15, 35 and 50 % at L = 2 or 4. Therefore the shares are kept on
/// arrival.
struct UrgencyQueue
{
    std::array<UrgencyLevel, leastUrgent.level + 1> levels;
    std::size_t size = 0;
    Instant updatedAt;    ///< When the decaying means were updated.
    Instant forgottenAt;  ///< When idle customers were forgotten.
    TokenRate rate;       ///< Of the engine, at the last update.
    Instant nextExpiry{}; ///< No waiting prompt expires earlier.
};

/// What offer() decided.
enum class OfferVerdict : std::uint8_t {
    Queued,
    TooLate,   ///< By the estimate it would be granted after its latest start.
    OverShare, ///< Its customer has used its part of what its level may queue.
};

struct OfferResult
{
    OfferVerdict verdict = OfferVerdict::Queued;
    /// The prompt that was dropped as the queue was full; may be the offered one.
    std::optional<WaitingRequest> dropped;
};

/// What the coordinator knows about the engine when a prompt arrives.
struct EngineCapacity
{
    TokenRate rate;        ///< Prompt tokens that it prefills.
    double unreadPart = 1; ///< Of its window that admitted prompts occupy, 0 to 1.
};

/// The most prompts that wait at one engine. An engine that prefills 26 tokens a millisecond reads
/// 47 prompts of 1,110 tokens in the longest objective (2 s); the bound leaves five times that for
/// shorter prompts, and keeps 61 engines of one coordinator (3,900 engines, 64 hosts) near 10 MB.
inline constexpr std::size_t maxWaitingPrompts = 256;

/// Decides at \a now about a prompt that arrives at an engine which prefills \a rate, and queues it
/// unless it is rejected. Every arriving prompt is offered, also if it can be granted at once:
/// minimum shares follow from what is offered. If the queue is empty and the engine's window
/// empties too, a prompt is queued whatever the estimates say, so that no capacity is lost by them.
OfferResult offer(UrgencyQueue &queue, Priority priority, WaitingRequest request,
                  const EngineCapacity &engine, Instant now);

/// Adds \a request without a decision. If the queue is full, drops and returns the newest prompt of
/// the customer with the most waiting tokens in the least urgent level: it would be granted last,
/// and a customer's burst costs only its own prompts.
std::optional<WaitingRequest> enqueue(UrgencyQueue &queue, Priority priority,
                                      WaitingRequest request);

/// The prompt that takeNext() would take: of the level whose minimum share is most overdue, else of
/// the most urgent level. Null if the queue is empty.
const WaitingRequest *peekNext(const UrgencyQueue &queue);

/// Removes the next prompt and charges its customer and level.
std::optional<WaitingRequest> takeNext(UrgencyQueue &queue);

/// Removes the prompt \a request of \a requester, whose caller disconnected or which was sent
/// without admission. Returns false if it is not in the queue.
bool remove(UrgencyQueue &queue, const HostId &requester, const RequestId &request);

/// Removes and returns the prompts whose latest start is past at \a now.
std::vector<WaitingRequest> takeExpired(UrgencyQueue &queue, Instant now);

/// Tokens that are granted before a new prompt of \a customer with \a weight would be: those that
/// wait in more urgent levels and before it in its own, and those that more urgent levels queue in
/// the meantime, which the minimum share of the level bounds.
double tokensAhead(const UrgencyQueue &queue, Priority priority, const CustomerId &customer,
                   double weight);

} // namespace azurewell
