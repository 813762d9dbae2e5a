#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/fleet/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace azurewell {

/// One entry of the platform's host list.
struct ListedHost
{
    HostId id;
    ZoneId zone;
    std::string address; ///< IP address and port of the peer listener.
    bool isLeaving = false;
};

/// What this host knows of another host.
struct Peer
{
    HostId id;
    ZoneId zone;
    SeatNumber seat;
    std::string address;
    Incarnation incarnation;
    PeerState state = PeerState::Unheard;
    TicketNumber ticket;
    /// Time without a heartbeat after which the peer is suspect; derived from the heartbeat
    /// interval it announces.
    Span suspectTimeout{};
    Instant suspectDeadline; ///< Suspect if no heartbeat arrives by then.
    Instant goneDeadline;    ///< Gone if no heartbeat arrives by then.
    bool isListed = false;
    /// Whether the peer announced its stop; it grants no more slots in this incarnation.
    bool hasAnnouncedLeave = false;
};

/// The other hosts: the platform's list merged with the received heartbeats. The list lags by
/// seconds and may be stale for an hour; heartbeats alone do not reveal a host that never contacted
/// this one.
struct Membership
{
    std::map<HostId, Peer> peers;
};

/// A peer is suspect after this time without a heartbeat: four heartbeat intervals of 0.5 s.
inline constexpr Span suspectAfter = fromSeconds(2);
/// A peer is gone after this time without a heartbeat. Longer than every lease, so that the leases
/// it held have expired.
inline constexpr Span goneAfter = fromSeconds(10);

/// Applies the platform's host list. An empty list is ignored: the platform has lost its data, but
/// the hosts still run.
void applyHostList(Membership &membership, const Chart &chart, const HostId &self,
                   const std::vector<ListedHost> &listed);

/// Records a heartbeat. Returns false if the sender's incarnation is older than the newest known
/// one: the message comes from a process that was replaced and resumed later, and nothing in it may
/// be used.
bool recordHeartbeat(Membership &membership, const Chart &chart, const HostId &sender,
                     Incarnation incarnation, const Heartbeat &beat, Instant now);

/// Marks peers whose heartbeats are overdue as suspect or gone.
void updateUnreachablePeers(Membership &membership, const Chart &chart, Instant now);

/// To be called after this process was suspended. Extends the heartbeat deadlines, so that no peer
/// becomes suspect for the time in which this host received nothing.
void extendHeartbeatDeadlines(Membership &membership, Instant now);

/// This host, unless \a isSelfLeaving, and the usable peers of \a zone, sorted: the hosts that may
/// coordinate the zone's engines. Contains this host if it would otherwise be empty.
std::vector<HostId> usableHosts(const Membership &membership, const HostId &self,
                                bool isSelfLeaving, const ZoneId &zone);

/// The peers of \a zone that may still run and grant slots: listed or recently alive, also if
/// unreachable, except those that announced their stop.
std::vector<HostId> possiblyRunningHosts(const Membership &membership, const ZoneId &zone);

/// Whether new work may be requested from \a id.
bool isUsable(const Membership &membership, const HostId &id);

/// The coordinator of \a engine among this host and the usable peers: the host with the highest
/// rendezvous weight in \a zone, or over all zones if \a zone has no usable host. std::nullopt if
/// there is no usable host at all.
std::optional<HostId> coordinatorOf(const Membership &membership, const HostId &self,
                                    const ZoneId &selfZone, bool isSelfLeaving,
                                    const UpstreamId &engine, const ZoneId &zone);

} // namespace azurewell
