#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/fleet/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace azurewell {

/// One line of the platform's host list.
struct ListedHost
{
    HostId id;
    ZoneId zone;
    std::string address; ///< The peer port: IP and port.
    bool isLeaving = false;
};

/// Another host, as this one sees it.
struct Peer
{
    HostId id;
    ZoneId zone;
    SeatNumber seat;
    std::string address;
    Incarnation incarnation;
    PeerState state = PeerState::Unheard;
    TicketNumber ticket;
    Span lateness{};     ///< Silence beyond which it is suspect; by its own word on its interval.
    Instant silentAfter; ///< Suspect when nothing is heard until then.
    Instant goneAfter;   ///< Gone when nothing is heard until then.
    bool isListed = false;
    /// It said itself that it stops: it grants no slots any more in this incarnation.
    bool hasAnnouncedLeave = false;
};

/// The other hosts: the platform's lagging list joined with what they say themselves. The list
/// alone is late by seconds and may be stale for an hour; heartbeats alone cannot tell of a host
/// that this one has never met.
struct Membership
{
    std::map<HostId, Peer> peers;
};

/// A peer is suspect after this silence: four lost heartbeats of half a second.
inline constexpr Span suspectAfter = fromSeconds(2);
/// A suspect is gone after this silence; longer than every lease, so that its leases have ended.
inline constexpr Span goneAfter = fromSeconds(10);

/// Takes over the platform's list. An empty list is ignored: the platform has lost its data, not
/// the fleet.
void applyHostList(Membership &membership, const Chart &chart, const HostId &self,
                   const std::vector<ListedHost> &listed);

/// Notes a heartbeat. False where the sender's incarnation is older than one already heard: a
/// process that was replaced and woke up late; nothing it says may be used.
bool noteHeartbeat(Membership &membership, const Chart &chart, const HostId &sender,
                   Incarnation incarnation, const Heartbeat &beat, Instant now);

/// Moves silent peers to suspect and gone.
void noteSilence(Membership &membership, const Chart &chart, Instant now);

/// After this process was stopped: no peer counts as silent for the time in which nobody listened.
void forgiveSilence(Membership &membership, Instant now);

/// This host, unless \a isSelfLeaving, and the usable peers of \a zone, sorted: those that may keep
/// the zone's engines. A leaving host that has no usable peer remains.
std::vector<HostId> usableHostsOf(const Membership &membership, const HostId &self,
                                  bool isSelfLeaving, const ZoneId &zone);

/// The peers of \a zone that can still be running and granting slots: listed or heard, also when
/// silent, but for those that announced their leave.
std::vector<HostId> possibleHostsOf(const Membership &membership, const ZoneId &zone);

/// Whether work may be asked of \a id.
bool isUsable(const Membership &membership, const HostId &id);

/// The host that keeps \a engine of \a zone, among this host and the usable peers: the highest
/// rendezvous weight in the engine's zone; if the zone has no host, over all zones.
std::optional<HostId> keeperOf(const Membership &membership, const HostId &self,
                               const ZoneId &selfZone, bool isSelfLeaving, const UpstreamId &engine,
                               const ZoneId &zone);

} // namespace azurewell
