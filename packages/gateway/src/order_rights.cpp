#include "azurewell/gateway/order_rights.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Whether this host hears enough others to begin to order at \a engine while some are silent. Of
/// hosts that cannot hear each other at most one does: more than half of the engine's zone are with
/// it, or just half and more than half of all hosts. A host of another zone begins only where no
/// host of the engine's zone may be alive: behind the cut of a zone they hear each other and go on,
/// and the engine may be reached from both sides.
bool hearsEnough(const Upstream &engine, const Members &members, Instant now)
{
    const ZoneId &zone = engine.listed.zone;
    std::size_t zoneHeard = members.zone == zone ? 1 : 0;
    std::size_t zoneKnown = zoneHeard;
    for (const auto &[id, member] : members.others) {
        const bool isInside = !member.isLeaving && member.zone == zone;
        zoneKnown += isInside ? 1 : 0;
        zoneHeard += isInside && isHeard(members, member, now) ? 1 : 0;
    }
    const bool isMostOfAll = 2 * (countHeard(members, now) + 1) > countKnown(members) + 1;
    if (members.zone != zone)
        return zoneKnown == 0 && isMostOfAll;
    return 2 * zoneHeard > zoneKnown || (2 * zoneHeard == zoneKnown && isMostOfAll);
}

/// After a change among the hosts that are heard, the others have noticed it as well by this time,
/// and their last orders show in reports: the right is confirmed by a report that was asked for
/// later. Hosts notice a silence up to a heartbeat apart; a report is some 100 ms old, and may be
/// held up.
Span settlesAfter(const Members &members)
{
    constexpr Span reportsShowOrders = std::chrono::milliseconds(400);
    return members.plan.inZone + reportsShowOrders;
}

} // namespace

void noteReport(OrderRights &rights, const EngineState &engine, Instant askedAt, Instant now)
{
    const bool isOtherLife = engine.start != rights.start;
    const bool isUnwatched = rights.stillSince.micros == 0;
    const bool hasMoved = engine.ordersTaken > rights.expectedOrders;
    // A report is late by up to reportValidity, so a count below the expected one is an old view,
    // unless the engine has started anew.
    // A restart takes the count back to 0 and hides the last orders before it.
    const bool isHidden = isOtherLife && (!rights.isHolding || engine.ordersTaken != 0);
    if (isUnwatched || hasMoved || isHidden) {
        rights.stillSince = now;
        rights.isHolding = false;
        rights.expectedOrders = engine.ordersTaken;
    } else if (isOtherLife || askedAt > rights.lastOrderAt + reportValidity) {
        // An order that was answered as done may have changed nothing and not been counted.
        rights.expectedOrders = engine.ordersTaken;
    }
    rights.start = engine.start;
    rights.confirmedAt = std::max(rights.confirmedAt, askedAt);
}

void noteNews(OrderRights &rights, const EngineState &engine, Instant now)
{
    const bool isOtherLife = engine.start != rights.start;
    if (!isOtherLife && engine.ordersTaken <= rights.expectedOrders
        && rights.stillSince.micros != 0)
        return;
    rights.stillSince = now;
    rights.isHolding = false;
    rights.expectedOrders = engine.ordersTaken;
    rights.start = engine.start;
}

void noteOrderTaken(OrderRights &rights, Instant sentAt)
{
    ++rights.expectedOrders;
    rights.lastOrderAt = std::max(rights.lastOrderAt, sentAt);
}

HostId presumedHolder(const Upstream &engine, const Members &members, Instant now)
{
    return firstAlive(members, engine.listed.zone, engine.listed.id.value, now);
}

bool mayOrder(OrderRights &rights, const Upstream &engine, const Members &members,
              const OrderStart &start, FencingNumber newFencing, Instant now)
{
    if (now - members.lookedAt > pausedAfter)
        return false;
    if (presumedHolder(engine, members, now) != members.self) {
        rights.isHolding = false;
        return false;
    }
    if (rights.stillSince.micros == 0 || now - rights.confirmedAt > reportValidity)
        return false;
    if (rights.isHolding && now - rights.lastOrderAt < holdingLapse)
        return true;
    if (rights.confirmedAt < members.changedAt + settlesAfter(members))
        return false;
    if (isAnySilent(members, now) && !hearsEnough(engine, members, now))
        return false;
    const bool isFirst = start.isFirst && rights.expectedOrders == 0
            && now < start.startedAt + firstOrdersUntil;
    const bool isStill = now - rights.stillSince >= takeoverWait;
    const bool isDue = isFirst ? now >= start.startedAt + firstOrdersAfter : isStill;
    if (!rights.isHolding && !isDue)
        return false;
    if (!rights.isHolding)
        rights.fencing = newFencing;
    rights.isHolding = true;
    return true;
}

} // namespace azurewell::gateway
