#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace azurewell {

/// How long a host stands by the view it has told another host, counted by that host from when it
/// sent the heartbeat that is answered. Six heartbeats, so that a lost one stops no eviction.
inline constexpr Span promiseLength = fromSeconds(3);
/// An order to unload is carried out within this time or given up.
inline constexpr Span unloadLifetime = fromSeconds(1);
/// How long an order that was given up can still be on its way: the bytes that the network or the
/// engine's accept queue hold when the connection is closed.
inline constexpr Span orderFlight = fromSeconds(0.5);
/// What a promise is cut by where it is relied on, for clocks that run at different rates.
inline constexpr double promiseDriftMargin = 0.02;

/// The last that another host of the zone promised to this one.
struct PeerPromise
{
    Incarnation incarnation;
    std::uint64_t view = 0;
    std::uint32_t epoch = 0;
    Instant until;
    bool isContinued = true; ///< Its earlier life was bound by its promise until this one spoke.
};

/// Who keeps the engines of this host's zone, and what the zone's hosts promised each other about
/// it. An engine's keeper follows from the view, the set of hosts that may keep engines, so that
/// one number stands for the keepers of all engines.
///
/// Two hosts with two views would each evict what the other one's requests run on. Therefore a host
/// grants slots only by the view that it has adopted, takes a new one only after every promise it
/// gave about the old one has run out, and evicts only while all hosts of the zone promise its
/// view.
struct KeeperViews
{
    std::vector<HostId> adopted; ///< Sorted.
    std::uint64_t view = 0;      ///< viewNumber() of `adopted`; 0 while none is.
    std::uint32_t epoch = 0;     ///< Views adopted in this life.
    Instant promisedUntil;       ///< Others may rely on `view` until then.
    std::map<HostId, PeerPromise> promises;
    /// The promises of when they last were complete, and this host's epoch then.
    std::map<HostId, PeerPromise> lastComplete;
    std::uint32_t lastCompleteEpoch = 0;
};

/// A number for the set \a hosts (sorted); equal on every host and build, and never 0.
std::uint64_t viewNumber(std::span<const HostId> hosts);

/// Adopts \a candidate if it differs and no promise about the present view runs any more. True
/// where a view was adopted.
bool adoptView(KeeperViews &views, const std::vector<HostId> &candidate, Instant now);

/// Notes a promise of \a host that holds until \a until.
void notePromise(KeeperViews &views, const HostId &host, Incarnation incarnation,
                 std::uint64_t view, std::uint32_t epoch, Instant until, Instant now);

/// Whether each of \a required promises the adopted view until \a until at least.
bool isPromisedByAll(const KeeperViews &views, std::span<const HostId> required, Instant until);

/// To be called when the promises are complete: whether none of \a required can have granted slots
/// of this host's engines since they were complete before. It compares the epochs: a host that has
/// gone straight from the last common view to this one had no view in between by which it was the
/// keeper itself.
bool noteComplete(KeeperViews &views, std::span<const HostId> required);

} // namespace azurewell
