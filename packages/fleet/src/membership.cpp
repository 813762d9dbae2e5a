#include "azurewell/fleet/membership.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>

namespace azurewell {

namespace {

void applyPeerEvent(Peer &peer, const Chart &chart, PeerEvent event)
{
    peer.state = advance(chart, peer.state, event);
}

bool isUsableState(PeerState state)
{
    return state == PeerState::Alive;
}

} // namespace

void applyHostList(Membership &membership, const Chart &chart, const HostId &self,
                   const std::vector<ListedHost> &listed)
{
    if (listed.empty())
        return;
    for (auto &[id, peer] : membership.peers)
        peer.isListed = false;
    for (const ListedHost &host : listed) {
        if (host.id == self)
            continue;
        Peer &peer = membership.peers[host.id];
        peer.id = host.id;
        peer.zone = host.zone;
        peer.address = host.address;
        peer.isListed = true;
        applyPeerEvent(peer, chart, host.isLeaving ? PeerEvent::ListedLeaving : PeerEvent::Listed);
    }
    for (auto &[id, peer] : membership.peers) {
        if (!peer.isListed)
            applyPeerEvent(peer, chart, PeerEvent::Unlisted);
    }
}

bool recordHeartbeat(Membership &membership, const Chart &chart, const HostId &sender,
                     Incarnation incarnation, const Heartbeat &beat, Instant now)
{
    Peer &peer = membership.peers[sender];
    if (incarnation < peer.incarnation)
        return false;
    if (incarnation > peer.incarnation) {
        peer.state = PeerState::Unheard;
        peer.hasAnnouncedLeave = false;
    }
    peer.id = sender;
    peer.incarnation = incarnation;
    peer.zone = beat.zone;
    peer.seat = beat.seat;
    if (!beat.address.empty())
        peer.address = beat.address;
    peer.ticket = beat.ticket;
    peer.hasAnnouncedLeave = peer.hasAnnouncedLeave || beat.isLeaving;
    peer.suspectTimeout = std::max<Span>(suspectAfter, 4 * beat.nextHeartbeatTimeout);
    peer.suspectDeadline = now + peer.suspectTimeout;
    peer.goneDeadline = now + peer.suspectTimeout + (goneAfter - suspectAfter);
    applyPeerEvent(peer, chart, beat.isLeaving ? PeerEvent::LeaveAnnounced : PeerEvent::Heartbeat);
    return true;
}

void updateUnreachablePeers(Membership &membership, const Chart &chart, Instant now)
{
    for (auto &[id, peer] : membership.peers) {
        if (peer.state == PeerState::Unheard)
            continue;
        if (now >= peer.suspectDeadline)
            applyPeerEvent(peer, chart, PeerEvent::HeartbeatMissed);
        if (now >= peer.goneDeadline)
            applyPeerEvent(peer, chart, PeerEvent::SuspicionOver);
    }
}

void extendHeartbeatDeadlines(Membership &membership, Instant now)
{
    for (auto &[id, peer] : membership.peers) {
        const Span suspectTimeout = std::max<Span>(peer.suspectTimeout, suspectAfter);
        peer.suspectDeadline = std::max(peer.suspectDeadline, now + suspectTimeout);
        peer.goneDeadline = std::max(peer.goneDeadline,
                                     now + suspectTimeout + (goneAfter - suspectAfter));
    }
}

std::vector<HostId> usableHosts(const Membership &membership, const HostId &self,
                                bool isSelfLeaving, const ZoneId &zone)
{
    std::vector<HostId> hosts;
    if (!isSelfLeaving)
        hosts.push_back(self);
    for (const auto &[id, peer] : membership.peers) {
        if (peer.zone == zone && isUsableState(peer.state))
            hosts.push_back(id);
    }
    if (hosts.empty())
        hosts.push_back(self); // the last host of a zone coordinates its engines until it stops
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<HostId> possiblyRunningHosts(const Membership &membership, const ZoneId &zone)
{
    std::vector<HostId> hosts;
    for (const auto &[id, peer] : membership.peers) {
        const bool isPossiblyRunning = peer.state != PeerState::Unheard
                && peer.state != PeerState::Gone;
        if (peer.zone == zone && !peer.hasAnnouncedLeave && (peer.isListed || isPossiblyRunning))
            hosts.push_back(id);
    }
    return hosts;
}

bool isUsable(const Membership &membership, const HostId &id)
{
    const auto found = membership.peers.find(id);
    return found != membership.peers.end() && isUsableState(found->second.state);
}

std::optional<HostId> coordinatorOf(const Membership &membership, const HostId &self,
                                    const ZoneId &selfZone, bool isSelfLeaving,
                                    const UpstreamId &engine, const ZoneId &zone)
{
    std::optional<HostId> best;
    std::uint64_t bestWeight = 0;
    bool isBestInZone = false;
    const auto consider = [&](const HostId &host, const ZoneId &hostZone) {
        const bool isInZone = hostZone == zone;
        const std::uint64_t weight = rendezvousWeight(engine.value, host.value);
        const bool isBetter = !best || (isInZone && !isBestInZone)
                || (isInZone == isBestInZone && weight > bestWeight);
        if (isBetter) {
            best = host;
            bestWeight = weight;
            isBestInZone = isInZone;
        }
    };
    if (!isSelfLeaving)
        consider(self, selfZone);
    for (const auto &[id, peer] : membership.peers) {
        if (isUsableState(peer.state))
            consider(id, peer.zone);
    }
    return best;
}

} // namespace azurewell
