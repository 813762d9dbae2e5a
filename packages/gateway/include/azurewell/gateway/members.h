#pragma once

#include "azurewell/units/deadline_queue.h"
#include "azurewell/units/endpoint.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// Whether a host reads the platform's published items.
enum class PlatformView : std::uint8_t {
    NotRead, ///< Other hosts of its zone read them and send it the changes.
    Answering,
    Failing, ///< The platform does not answer this host.
};

/// Another host, as known to this one.
struct Member
{
    HostId id;
    ZoneId zone;
    Endpoint address; ///< Address from which it sends its messages.
    Incarnation incarnation;
    Instant lastMessageAt;     ///< Time of its last message received here.
    Instant lastAliveAt;       ///< The latest time at which this host or, as reported, another host
                               ///< received a message from it.
    bool isLeaving = false;    ///< It announced that it is shutting down.
    bool isOverloaded = false; ///< It turns callers away, as it states.
    bool wasReachable = false; ///< Reachability at the last check; see Members::changedAt.
    PlatformView platform = PlatformView::NotRead;
    Instant startedAt;     ///< Start of its process, as its message with the least delay tells.
    bool wasAlive = false; ///< Result of isAlive() at the last check; see Members::generation.
    std::uint64_t idHash = 0;
    Instant firstKnownAt;    ///< When its current incarnation first sent a message, or was first
                             ///< reported by another host.
    Instant returnedAt;      ///< When it last became reachable again after a timeout; zero: never.
    Instant heardAt;         ///< When this host last received a message of it; zero: never.
    Instant heardByAt;       ///< When it last received a message of this host, as it states; zero:
                             ///< it has stated nothing yet.
    Instant nextHeartbeatAt; ///< When this host sends it the next heartbeat.
    std::uint32_t linkMbps = 0;                 ///< Link speed in Mbit/s; 0: unknown.
    std::set<ServiceId> unreachableServices;    ///< It reaches none of their upstreams.
    std::map<ServiceId, Instant> mixedServices; ///< When their versions were last mixed, as it
                                                ///< states.
    Instant relayRequestedAt;   ///< First relay request sent to it since its last message; zero:
                                ///< none.
    Instant nextEngineUpdateAt; ///< When this host sends its engines' states again if nothing
                                ///< changes.
    Instant sentAt; ///< When its last message was sent, as its clock tells: messages wait for a
                    ///< process that stands still.
};

/// If two calls of updateMembers() are further apart than this, the process was paused in between.
inline constexpr Span pauseThreshold = std::chrono::milliseconds(300);

/// A member is removed if no message was received for this long. Until then it may be alive behind
/// a network partition, using its share of the customers' rates and its orders to engines.
inline constexpr Span memberRetention = std::chrono::seconds(45);

inline constexpr Span minHeartbeatInterval = std::chrono::milliseconds(250);

/// Four consecutive heartbeats at the minimum interval are missed.
inline constexpr Span minHeartbeatTimeout = std::chrono::milliseconds(1100);

/// Intervals at which hosts send heartbeats, and timeouts after which a host counts as unreachable.
///
/// Hosts of small fleets send to all others every 250 ms. In a large fleet that is more than a
/// small host can handle: 86 hosts at 250 ms are 340 messages a second each way. Hosts of one zone,
/// which take over each other's engines, then send to each other more often than to the rest.
struct HeartbeatPlan
{
    Span inZone = minHeartbeatInterval;
    Span inOtherZones = minHeartbeatInterval;
    Span timeoutInZone = minHeartbeatTimeout;
    Span timeoutElsewhere = minHeartbeatTimeout;
};

struct Members
{
    HostId self;
    ZoneId zone;
    std::map<HostId, Member> others;
    std::set<ServiceId> unreachableServices; ///< This host reaches none of their upstreams.
    HeartbeatPlan plan;
    DeadlineQueue<HostId> checks;     ///< When each member may time out or is due for removal.
    DeadlineQueue<HostId> heartbeats; ///< When this host sends each member the next heartbeat.
    bool isPlanStale = false; ///< Hosts were added, removed or moved since `plan` was computed.
    Instant lastUpdateAt;     ///< Time of the last updateMembers().
    Instant changedAt;        ///< When a host was last found, lost or back, or reached other
                              ///< services, or this process resumed after a pause.
    std::vector<HostId> reachabilityChanges; ///< Hosts that were lost or came back; to be logged.
    /// Incremented when the set of live hosts, or the services they reach, may have changed.
    std::uint64_t generation = 1;
};

/// Computes the plan for the given numbers of other hosts in this host's zone and in other zones.
HeartbeatPlan planHeartbeats(std::size_t inZone, std::size_t elsewhere);

/// Schedules the next heartbeat to \a member at \a at.
void setHeartbeat(Members &members, Member &member, Instant at);

/// Returns the interval of heartbeats to \a member.
Span heartbeatInterval(const Members &members, const Member &member);

bool isMemberReachable(const Members &members, const Member &member, Instant now);

/// Whether \a member is reachable and hears this host: messages can be lost in one direction only.
bool isMemberLinked(const Members &members, const Member &member, Instant now);

/// Records a message received from \a member. Returns false if it is of an earlier incarnation than
/// the known one, or of one host more than can be known.
bool recordMember(Members &members, const Member &member);

/// Records that another host received a message from \a member at its `lastMessageAt`. An unknown
/// member is sent a heartbeat and counts once it answers. For a known one it shows that the host is
/// alive, even if it is unreachable from here.
void recordReportedMember(Members &members, const Member &member);

/// Updates which members are reachable and removes those past their retention. Call at each tick.
void updateMembers(Members &members, Instant now);

/// Hosts, including this one, that have not announced that they leave.
struct ReachCounts
{
    std::size_t known = 0;
    std::size_t reachable = 0;
    std::size_t linked = 0; ///< Reachable, and hear this host.
};

ReachCounts countReach(const Members &members, Instant now);
ReachCounts countReach(const Members &members, const ZoneId &zone, Instant now);

/// Returns the number of other hosts that are reachable and not leaving.
std::size_t countReachable(const Members &members, Instant now);

/// Whether the majority of the reachable other hosts have been running since \a then.
bool haveMostRunSince(const Members &members, Instant then, Instant now);

/// Returns the number of other hosts that may be alive: reachable, or unreachable without having
/// announced that they leave.
std::size_t countKnown(const Members &members);

/// Returns the hosts of \a zone, including this one, that may coordinate there, ordered by their
/// rank for \a key and followed by the hosts of other zones. Unreachable hosts are included.
std::vector<HostId> rankedHosts(const Members &members, const ZoneId &zone, std::string_view key);

/// Returns the first of rankedHosts() that is alive. Hosts that reach no upstream of \a service
/// come last.
HostId firstLiveHost(const Members &members, const ZoneId &zone, std::string_view key, Instant now,
                     const ServiceId &service = {});

/// Whether \a host is this one, or is reachable from this host or from another one.
bool isAlive(const Members &members, const HostId &host, Instant now);

} // namespace azurewell::gateway
