#pragma once

#include "azurewell/gateway/events.h"
#include "azurewell/gateway/members.h"
#include "azurewell/gateway/upstreams.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace azurewell::gateway {

/// Why a host stopped ordering at an engine.
enum class OrderingEnd : std::uint8_t {
    OutOfRank,     ///< Another live host ranks first for the engine.
    OrderSeen,     ///< The engine has accepted an order of another host.
    PathChanged,   ///< This host lost its path to the engines, or it came back.
    ClaimSeen,     ///< Another host stated that it orders at the engine.
    EngineRestart, ///< The engine restarted, which hides the last orders before.
};

std::string_view nameOf(OrderingEnd end);

/// The right of this host to order loads and unloads at an engine.
///
/// Two hosts that order at the same engine evict each other's adapters, including adapters that are
/// about to be used. There is no store for a lease, and hosts can disagree about who is alive for
/// as long as messages are lost or processes wait for a processor. So the engine decides: it counts
/// the orders that it accepts, each order states the count that its right was confirmed for, and
/// the engine refuses an order that states another one. An order is accepted only if no host had
/// one accepted since, however late it arrives.
///
/// The engine cannot tell how long ago the last order was. The coordinator of an engine is the
/// reachable host that ranks first for it, and it starts to order only after the engine's order
/// count has been unchanged for `takeoverWait`. While it keeps ordering, the changing count
/// prevents other hosts from starting. An order that was refused, or that was not answered, leaves
/// the count unknown until a report that was requested later.
///
/// An engine that has accepted no order yet does not check the count, and an order to load what is
/// loaded already neither changes nor needs it. There the hosts protect each other. A coordinator
/// states with each update that it orders, and one that hears this of another host stops: that host
/// has not heard it for a while, or it would not order. A host that does not hear this one, or is
/// not heard, may be alive on the other side of a network partition, where it also ranks first.
/// Then only a host that exchanges messages with most of the engine's zone starts to order. A
/// coordinator in the minority continues only while its orders follow each other closely enough for
/// the other side to see them.
struct OrderRights
{
    std::uint64_t expectedOrders = 0; ///< Order count expected from this host's orders.
    std::uint64_t seenOrders = 0;     ///< Highest count that a report or another host has shown.
    std::int64_t start = 0;           ///< The engine start that the counts belong to.
    Instant unchangedSince;     ///< Since when no other host's order was seen; zero: no report yet.
    Instant confirmedAt;        ///< The newest report that showed no order of another host.
    Instant lastOrderAt;        ///< Last order of this host that the engine accepted.
    Instant coordinatingSince;  ///< Start of the current period of ordering.
    Instant claimedElsewhereAt; ///< When another host last stated that it orders; zero: never.
    Instant doubtedAt;          ///< Reports requested before do not confirm the count.
    FencingNumber sentFencing;  ///< Of the last order that was sent.
    FencingNumber fencing;      ///< Highest of this host's orders that this engine start accepted.
    std::uint64_t ordersAtBegin = 0;  ///< Order count when the current period of ordering began.
    std::uint64_t fencingSurplus = 0; ///< Added to the count after refusals for a fencing number.
    bool isCoordinating = false;
    bool hasYielded = false; ///< The last period ended as another host stated that it orders.
    std::optional<OrderingEnd> end; ///< Why the last period of ordering ended, until it is logged.
};

/// Ends the period of ordering at an engine, if there is one.
void endOrdering(OrderRights &rights, OrderingEnd end);

/// A coordinator whose last order is older than this must confirm its right again if any host is
/// unreachable. That host may be about to start ordering, and sees an order of this host only after
/// some 400 ms.
inline constexpr Span maxOrderGap = std::chrono::milliseconds(1500);

/// Maximum age of a report that can confirm the right to order.
inline constexpr Span reportValidity = std::chrono::milliseconds(900);

/// Whether \a engine shows the engine as it was before a state that is known already. Reports can
/// overtake each other inside an engine; an outdated one would show slots as free that are not.
bool isOutdated(const OrderRights &rights, const EngineState &engine);

/// Whether an update of another host shows the engine as it was before, or an earlier start of it.
/// Only the engine itself is believed that its start has stepped back.
bool isOutdatedUpdate(const OrderRights &rights, const EngineState &engine);

/// Updates \a rights from a report of the engine that was requested at \a requestedAt.
void recordReport(OrderRights &rights, const EngineState &engine, Instant requestedAt, Instant now);

/// Updates \a rights from another host's update on the engine. It can show that the order count
/// changed, but cannot confirm the right to order.
void recordEngineUpdate(OrderRights &rights, const EngineState &engine, Instant now);

/// Records that another host states that it orders at the engine.
void recordClaim(OrderRights &rights, Instant now);

/// Records that the engine accepted an order of this host that was sent at \a sentAt.
void recordOrderAccepted(OrderRights &rights, Instant sentAt);

/// Records that the engine refused an order of this host, or did not answer it.
void recordOrderFailed(OrderRights &rights, OrderOutcome outcome, Instant now);

/// Returns the fencing number of the next order of \a host. It follows from the start of the engine
/// and its order count when the period of ordering began, so that it is higher than that of any
/// accepted order of another host before, without this host knowing of that order; clocks of hosts
/// play no part. It stays for the period: orders of one host may overtake each other.
FencingNumber nextFencing(const OrderRights &rights, const HostId &host);

/// What the right to order depends on apart from the engine and the other hosts.
struct OrderTerms
{
    /// The whole system starts for the first time: no orders can have been given before, so that
    /// only the first messages of the other hosts have to be awaited.
    bool isFirst = false;
    bool isAlone = false; ///< No host was heard yet, though there are seeds that may know some.
    Instant startedAt;
    Span lease = std::chrono::seconds(3); ///< Orders of two hosts closer together are a conflict.
};

/// How long the order count must be unchanged before another host starts to order.
Span takeoverWait(const OrderTerms &terms);

/// How long a host that has heard of no other one gives no first orders: others may be as alone,
/// and the engines check no count then.
inline constexpr Span aloneWait = std::chrono::seconds(15);

/// Time after a first start by which the other hosts are known. They start within 0.3 s of each
/// other and read late seeds again after a second.
inline constexpr Span firstStartDelay = std::chrono::milliseconds(2500);

/// After this time, an order count of 0 means that the engine has restarted and that another host
/// may be ordering there.
inline constexpr Span firstStartWindow = std::chrono::milliseconds(6000);

/// Whether this host may order at \a engine now. Sets `isCoordinating`. A process that was paused
/// and has not updated the members since may not order, as its view of the other hosts is outdated.
bool mayOrder(OrderRights &rights, const Upstream &engine, const Members &members,
              const OrderTerms &terms, Instant now);

/// The coordinator of \a engine as seen by this host: the reachable host that ranks first.
HostId presumedCoordinator(const Upstream &engine, const Members &members, Instant now);

} // namespace azurewell::gateway
