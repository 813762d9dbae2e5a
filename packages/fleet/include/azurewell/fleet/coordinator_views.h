#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace azurewell {

/// How long a host's promise about its view is valid. The receiver counts it from when it sent the
/// heartbeat that the promise answers. Six heartbeats, so that one lost message blocks no eviction.
inline constexpr Span promiseDuration = fromSeconds(3);
/// An unload order is carried out within this time or abandoned.
inline constexpr Span unloadTimeout = fromSeconds(1);
/// How long an abandoned order can still be in transit: in the network or in the engine's accept
/// queue when the connection is closed.
inline constexpr Span maxOrderTransit = fromSeconds(0.5);
/// Fraction by which the relying host shortens a promise, to allow for clock drift.
inline constexpr double promiseDriftMargin = 0.02;

/// The newest promise that another host of the zone made to this one.
struct PeerPromise
{
    Incarnation incarnation;
    std::uint64_t view = 0;
    std::uint32_t epoch = 0;
    Instant until;
    /// Whether the host's previous incarnation was bound by a promise of this host's view until
    /// this incarnation sent its first one.
    bool isContinuous = true;
};

/// The view that assigns a coordinator to each engine of this host's zone, and the promises that
/// the zone's hosts made each other about it. A view is the set of hosts that may coordinate
/// engines. The coordinator of every engine follows from it, so the view's number identifies the
/// whole assignment.
///
/// Two hosts with different views would each evict adapters that the other one's requests use.
/// Therefore a host grants slots only by its adopted view, adopts a new view only after every
/// promise it made about the old one has expired, and evicts only while all hosts of the zone
/// promise its view.
struct CoordinatorViews
{
    std::vector<HostId> adoptedHosts; ///< Hosts of the adopted view, sorted.
    std::uint64_t view = 0;  ///< viewNumber() of `adoptedHosts`; 0 before the first adoption.
    std::uint32_t epoch = 0; ///< Number of views adopted in this incarnation.
    Instant promisedUntil;   ///< Other hosts may rely on `view` until then.
    std::map<HostId, PeerPromise> promises;
    /// The promises at the last time that all hosts promised this host's view, and this host's
    /// epoch then.
    std::map<HostId, PeerPromise> lastCompletePromises;
    std::uint32_t lastCompleteEpoch = 0;
};

/// Identifies the set \a hosts (sorted). Equal on every host and build, and never 0.
std::uint64_t viewNumber(std::span<const HostId> hosts);

/// Adopts \a candidate if it differs from the adopted view and no promise about that view is
/// still valid. Returns whether a view was adopted.
bool adoptView(CoordinatorViews &views, const std::vector<HostId> &candidate, Instant now);

/// Records a promise of \a host that is valid until \a until.
void recordPromise(CoordinatorViews &views, const HostId &host, Incarnation incarnation,
                   std::uint64_t view, std::uint32_t epoch, Instant until, Instant now);

/// Whether each host in \a required promises the adopted view at least until \a until.
bool isPromisedByAll(const CoordinatorViews &views, std::span<const HostId> required,
                     Instant until);

/// To be called when the promises become complete. Returns whether none of \a required can have
/// granted slots of this host's engines since they were complete before. It compares epochs: a host
/// that went straight from the last common view to this one adopted no view in between by
/// which it was a coordinator itself.
bool recordAllPromises(CoordinatorViews &views, std::span<const HostId> required);

} // namespace azurewell
