#pragma once

#include "azurewell/gateway/members.h"
#include "azurewell/gateway/upstreams.h"

namespace azurewell::gateway {

/// Who may order an engine to load and unload.
///
/// Engines here do not check fencing numbers. Two hosts whose orders reach one engine evict each
/// other's adapters, and an adapter that one of them is about to use is gone. There is nothing to
/// write a lease to; what both can reach is the engine itself, which counts the orders that it
/// took.
///
/// So the host that ranks first for an engine among those that are heard orders there, and it
/// begins only after the engine's count has stood still for `takeoverWait`. While it goes on
/// ordering, the moving count keeps the others away. A host that was paused finds at its next
/// report that the count has moved without it, and waits like any other.
///
/// Where a host is silent it may be alive behind a cut, and both sides rank first in their own
/// eyes. Then only a host that hears most of the engine's zone begins. One on the smaller side goes
/// on with its orders while they follow each other closely enough for the other side to see them.
struct OrderRights
{
    std::uint64_t expectedOrders = 0; ///< The engine's count as far as this host moved it.
    std::int64_t start = 0;           ///< Of the engine's life that is counted.
    Instant stillSince;    ///< No other host's order was seen since; zero: not watched yet.
    Instant confirmedAt;   ///< The newest report that showed no other host's order.
    Instant lastOrderAt;   ///< This host's last order that the engine took.
    FencingNumber fencing; ///< Of the present period of ordering.
    bool isHolding = false;
};

/// How long an engine's count must stand still before another host begins. Orders of two hosts
/// within 3 s of each other count as a conflict; a report is some 100 ms old.
inline constexpr Span takeoverWait = std::chrono::milliseconds(3500);

/// A holder whose last order is older than this confirms its right like a new one if some host is
/// silent: that one may be about to begin, and sees an order here only after some 400 ms.
inline constexpr Span holdingLapse = std::chrono::milliseconds(1500);

/// A report older than this confirms nothing.
inline constexpr Span reportValidity = std::chrono::milliseconds(900);

/// Takes a report of the engine that was asked for at \a askedAt.
void noteReport(OrderRights &rights, const EngineState &engine, Instant askedAt, Instant now);

/// Takes what another host tells of an engine. It shows moves of the count, and confirms nothing.
void noteNews(OrderRights &rights, const EngineState &engine, Instant now);

/// The engine took an order of this host that was sent at \a sentAt.
void noteOrderTaken(OrderRights &rights, Instant sentAt);

/// What is known of this host's start.
struct OrderStart
{
    /// The whole system starts for the first time: nobody can have given orders before, so that
    /// there is nothing to wait for but the others' first messages.
    bool isFirst = false;
    Instant startedAt;
};

/// The others have been heard of by then after a first start. They start within 0.3 s of each other
/// and read late seeds again after a second.
inline constexpr Span firstOrdersAfter = std::chrono::milliseconds(2500);

/// Later, a count of 0 means that the engine has started again, and another host may order there.
inline constexpr Span firstOrdersUntil = std::chrono::milliseconds(6000);

/// Whether this host may order at \a engine now. Sets `isHolding`, and a new fencing number above
/// \a newFencing's inputs where ordering begins. A process that was paused and has not looked at
/// the members since does not order: it would act on what it believed before.
bool mayOrder(OrderRights &rights, const Upstream &engine, const Members &members,
              const OrderStart &start, FencingNumber newFencing, Instant now);

/// The host that orders at \a engine, as far as this host can tell: the first that is heard.
HostId presumedHolder(const Upstream &engine, const Members &members, Instant now);

} // namespace azurewell::gateway
