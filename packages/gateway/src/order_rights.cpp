#include "azurewell/gateway/order_rights.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Of its turn, a host uses this middle part: both ends are left for the difference between what
/// two hosts saw of the engine's count.
constexpr Span turnMargin = std::chrono::milliseconds(300);

/// Whether it is this host's turn to begin, in a cycle with one turn for each host of the engine's
/// zone and one for the first of the others.
bool isOwnTurn(const Upstream &engine, const Members &members, Instant stillSince, Instant now)
{
    const ZoneId &zone = engine.listed.zone;
    const std::vector<HostId> ranked = rankedHosts(members, zone, engine.listed.id.value);
    std::size_t inside = members.zone == zone ? 1 : 0;
    for (const auto &[id, member] : members.others)
        inside += !member.isLeaving && member.zone == zone ? 1 : 0;
    const auto found = std::find(ranked.begin(), ranked.end(), members.self);
    const std::size_t rank = std::min(static_cast<std::size_t>(found - ranked.begin()), inside);
    const Span since = now - (stillSince + takeoverWait);
    const std::int64_t turn = since / turnLength;
    const Span within = since % turnLength;
    return turn % static_cast<std::int64_t>(inside + 1) == static_cast<std::int64_t>(rank)
            && within >= turnMargin && within < turnLength - turnMargin;
}

} // namespace

void noteReport(OrderRights &rights, const EngineState &engine, Instant askedAt, Instant now)
{
    const bool isOtherLife = engine.start != rights.start;
    const bool isUnwatched = rights.stillSince.micros == 0;
    const bool hasMoved = engine.ordersTaken > rights.expectedOrders;
    // A report is late by up to reportValidity, so a count below the expected one is an old view,
    // unless the engine has started anew.
    if (isUnwatched || hasMoved || (isOtherLife && engine.ordersTaken != 0)) {
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
    for (const HostId &host : rankedHosts(members, engine.listed.zone, engine.listed.id.value)) {
        if (isAlive(members, host, now))
            return host;
    }
    return members.self;
}

bool mayOrder(OrderRights &rights, const Upstream &engine, const Members &members,
              const OrderStart &start, FencingNumber newFencing, Instant now)
{
    if (presumedHolder(engine, members, now) != members.self) {
        rights.isHolding = false;
        return false;
    }
    if (rights.stillSince.micros == 0 || now - rights.confirmedAt > reportValidity)
        return false;
    const bool isRecent = now - rights.lastOrderAt < holdingLapse;
    if (rights.isHolding && (isRecent || !isAnySilent(members, now)))
        return true;
    const bool isFirst = start.isFirst && rights.expectedOrders == 0;
    const bool isStill = now - rights.stillSince >= takeoverWait;
    if (isFirst ? now < start.startedAt + firstOrdersAfter : !isStill)
        return false;
    const Instant lastMove = std::max(rights.stillSince, rights.lastOrderAt);
    if (!isFirst && isAnySilent(members, now)
        && (now - lastMove < takeoverWait || !isOwnTurn(engine, members, lastMove, now)))
        return false;
    if (!rights.isHolding)
        rights.fencing = newFencing;
    rights.isHolding = true;
    return true;
}

} // namespace azurewell::gateway
