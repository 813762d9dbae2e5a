#include "azurewell/gateway/order_rights.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Whether this host and enough others hear each other for it to order at an engine while some do
/// not: more than half of the engine's zone, or exactly half of it and more than half of all hosts.
/// At most one side of a partition qualifies. This is no vote: if only single pairs of hosts do not
/// hear each other, both hosts of a pair may qualify. A host of another zone qualifies only if no
/// host of the engine's zone may be alive: hosts of a partitioned zone reach each other and keep
/// ordering, and the engine may be reachable from both sides.
bool hasQuorum(const ReachCounts &zone, const ReachCounts &all, bool isInZone)
{
    const bool isMajority = 2 * all.linked > all.known;
    if (!isInZone)
        return zone.known == 0 && isMajority;
    return 2 * zone.linked > zone.known || (2 * zone.linked == zone.known && isMajority);
}

/// Whether this host and all others, or enough of them, hear each other.
bool hasQuorum(const Upstream &engine, const Members &members, Instant now)
{
    const ReachCounts all = countReach(members, now);
    if (all.linked == all.known)
        return true;
    const ZoneId &zone = engine.listed.zone;
    return hasQuorum(countReach(members, zone, now), all, members.zone == zone);
}

/// Time after a change of the reachable hosts by which the other hosts have noticed it and reports
/// show their last orders; a report requested later confirms the right to order. Hosts notice
/// that a host is unreachable up to one heartbeat apart; a report is some 100 ms old and may be
/// delayed.
Span settlingTime(const Members &members)
{
    constexpr Span orderReportDelay = std::chrono::milliseconds(400);
    return members.plan.inZone + orderReportDelay;
}

/// Whether another host may be about to order at an engine that has accepted no order and so checks
/// no count.
bool isClaimedElsewhere(const OrderRights &rights, const OrderTerms &terms, Instant now)
{
    return rights.expectedOrders == 0 && rights.claimedElsewhereAt.micros != 0
            && now - rights.claimedElsewhereAt < takeoverWait(terms);
}

/// Whether an unanswered first order may still arrive: the engine would carry it out whatever it
/// has accepted meanwhile, as it checks no count.
bool isFirstOrderOpen(const OrderRights &rights, Instant now)
{
    constexpr Span maxTransit = std::chrono::milliseconds(2500);
    return rights.expectedOrders == 0 && rights.doubtedAt.micros != 0
            && now - rights.doubtedAt < maxTransit;
}

/// Time in which the other hosts hear that this one orders, and stop. A heartbeat may be lost.
Span claimLead(const Members &members)
{
    return 2 * members.plan.inZone;
}

/// Whether others have heard that this host orders. Needed only where the engine checks no count.
bool isClaimHeard(const OrderRights &rights, const Members &members, Instant now)
{
    return rights.expectedOrders != 0 || now - rights.coordinatingSince >= claimLead(members);
}

/// Whether a recent report has shown the order count that this host's next order states.
bool isCountConfirmed(const OrderRights &rights, Instant now)
{
    if (rights.unchangedSince.micros == 0 || now - rights.confirmedAt > reportValidity)
        return false;
    return rights.confirmedAt >= rights.doubtedAt && !isFirstOrderOpen(rights, now);
}

/// Whether this host may begin to order: long enough after the last order of another host, or after
/// the first start of the system.
bool mayBegin(const OrderRights &rights, const Members &members, const OrderTerms &terms,
              Instant now)
{
    const bool isFirst = terms.isFirst && rights.expectedOrders == 0
            && now < terms.startedAt + firstStartWindow;
    const Instant firstClaimAt = terms.startedAt + firstStartDelay - claimLead(members);
    const bool isUnchanged = now - rights.unchangedSince >= takeoverWait(terms);
    const bool isDue = isFirst ? now >= firstClaimAt : isUnchanged;
    const bool isTooEarlyAlone = rights.expectedOrders == 0 && terms.isAlone
            && now < terms.startedAt + aloneWait;
    return isDue && !isTooEarlyAlone && !isClaimedElsewhere(rights, terms, now);
}

void recordSeen(OrderRights &rights, const EngineState &engine)
{
    if (engine.start == rights.start) {
        rights.seenOrders = std::max(rights.seenOrders, engine.ordersTaken);
        return;
    }
    rights.start = engine.start;
    rights.seenOrders = engine.ordersTaken;
    rights.fencing = FencingNumber{};
    rights.ordersAtBegin = 0;
    rights.fencingSurplus = 0;
}

} // namespace

std::string_view nameOf(OrderingEnd end)
{
    switch (end) {
    case OrderingEnd::OutOfRank:
        return "out_of_rank";
    case OrderingEnd::OrderSeen:
        return "order_seen";
    case OrderingEnd::PathChanged:
        return "path_changed";
    case OrderingEnd::ClaimSeen:
        return "claim_seen";
    case OrderingEnd::EngineRestart:
        break;
    }
    return "engine_restart";
}

Span takeoverWait(const OrderTerms &terms)
{
    constexpr Span margin = std::chrono::milliseconds(500);
    return terms.lease + margin;
}

void endOrdering(OrderRights &rights, OrderingEnd end)
{
    if (rights.isCoordinating)
        rights.end = end;
    rights.isCoordinating = false;
}

bool isOutdated(const OrderRights &rights, const EngineState &engine)
{
    return engine.start == rights.start && engine.ordersTaken < rights.seenOrders;
}

bool isOutdatedUpdate(const OrderRights &rights, const EngineState &engine)
{
    return engine.start < rights.start || isOutdated(rights, engine);
}

void recordReport(OrderRights &rights, const EngineState &engine, Instant requestedAt, Instant now)
{
    const bool isRestarted = engine.start != rights.start;
    const bool isFirstReport = rights.unchangedSince.micros == 0;
    const bool hasMoved = engine.ordersTaken > rights.expectedOrders;
    // A report is delayed by up to reportValidity, so a count below the expected one is an old view
    // unless the engine has restarted. A restart resets the count to 0 and hides the last orders
    // before it.
    const bool mayHideOrders = isRestarted && (!rights.isCoordinating || engine.ordersTaken != 0);
    if (isFirstReport || hasMoved || mayHideOrders) {
        rights.unchangedSince = now;
        endOrdering(rights, hasMoved ? OrderingEnd::OrderSeen : OrderingEnd::EngineRestart);
        rights.expectedOrders = engine.ordersTaken;
    } else if (isRestarted || requestedAt > rights.lastOrderAt + reportValidity) {
        // An order that was answered as done may have had no effect and not been counted.
        rights.expectedOrders = engine.ordersTaken;
    }
    recordSeen(rights, engine);
    rights.confirmedAt = std::max(rights.confirmedAt, requestedAt);
}

void recordEngineUpdate(OrderRights &rights, const EngineState &engine, Instant now)
{
    const bool isRestarted = engine.start != rights.start;
    recordSeen(rights, engine);
    if (!isRestarted && engine.ordersTaken <= rights.expectedOrders
        && rights.unchangedSince.micros != 0)
        return;
    rights.unchangedSince = now;
    endOrdering(rights, isRestarted ? OrderingEnd::EngineRestart : OrderingEnd::OrderSeen);
    rights.expectedOrders = engine.ordersTaken;
}

void recordClaim(OrderRights &rights, Instant now)
{
    rights.claimedElsewhereAt = now;
    rights.hasYielded = rights.hasYielded || rights.isCoordinating;
    if (rights.hasYielded)
        rights.unchangedSince = now;
    endOrdering(rights, OrderingEnd::ClaimSeen);
}

void recordOrderAccepted(OrderRights &rights, Instant sentAt)
{
    ++rights.expectedOrders;
    rights.fencing = std::max(rights.fencing, rights.sentFencing);
    rights.lastOrderAt = std::max(rights.lastOrderAt, sentAt);
}

void recordOrderFailed(OrderRights &rights, OrderOutcome outcome, Instant now)
{
    if (outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Unknown)
        rights.doubtedAt = std::max(rights.doubtedAt, now);
    constexpr std::uint64_t maxSurplus = 1ULL << 30U;
    if (outcome == OrderOutcome::OldFencing)
        rights.fencingSurplus = std::clamp<std::uint64_t>(2 * rights.fencingSurplus, 1, maxSurplus);
}

FencingNumber nextFencing(const OrderRights &rights, const HostId &host)
{
    // Distinguishes hosts that order at the same count, of which the engine accepts one. Starts are
    // in milliseconds, and an engine accepts fewer orders than one a millisecond: the numbers of
    // its next start are higher. All fit into the 53 bits that JSON readers keep.
    constexpr std::uint64_t hostSuffixes = 4096;
    const std::uint64_t start = rights.start > 0 ? static_cast<std::uint64_t>(rights.start) : 0;
    const std::uint64_t count = start + rights.ordersAtBegin + rights.fencingSurplus;
    const FencingNumber next{ count * hostSuffixes + stableHash(host.value) % hostSuffixes };
    return std::max(rights.fencing, next);
}

HostId presumedCoordinator(const Upstream &engine, const Members &members, Instant now)
{
    return firstLiveHost(members, engine.listed.zone, engine.listed.id.value, now,
                         engine.listed.service);
}

bool mayOrder(OrderRights &rights, const Upstream &engine, const Members &members,
              const OrderTerms &terms, Instant now)
{
    if (now - members.lastUpdateAt > pauseThreshold)
        return false;
    if (presumedCoordinator(engine, members, now) != members.self) {
        endOrdering(rights, OrderingEnd::OutOfRank);
        return false;
    }
    if (!isCountConfirmed(rights, now))
        return false;
    if (rights.isCoordinating && now - rights.lastOrderAt < maxOrderGap)
        return true;
    if (rights.confirmedAt < members.changedAt + settlingTime(members))
        return false;
    if (!hasQuorum(engine, members, now))
        return false;
    if (!rights.isCoordinating && !mayBegin(rights, members, terms, now))
        return false;
    if (!std::exchange(rights.isCoordinating, true)) {
        rights.coordinatingSince = now;
        rights.ordersAtBegin = rights.expectedOrders;
    }
    rights.hasYielded = false;
    return isClaimHeard(rights, members, now);
}

} // namespace azurewell::gateway
