#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

constexpr Span heartbeatInterval = fromSeconds(0.5);
/// Interval at which unchanged lists of loaded adapters are sent again.
constexpr Span fullListInterval = fromSeconds(5);
/// Interval of slot renewals: four lost in a row still leave a fifth of a ten-second lease. When
/// sent with each heartbeat, renewals were half of what a node sent under load.
constexpr Span renewalInterval = fromSeconds(2);
/// Heartbeats per second to all hosts of other zones together. Up to ten hosts there get one every
/// 0.5 s. With 347 of them (390 hosts in all), each gets one from this host every 17 s, and its
/// zone gets one from this zone forty times a second.
constexpr double remoteHeartbeatsPerSecond = 20;
/// If the heartbeat interval is longer, summaries would be too old for routing and are omitted.
constexpr Span maxSummaryInterval = fromSeconds(2);
/// Number of hosts of the own zone that get summaries with each heartbeat; if there are more, they
/// take turns.
constexpr double localPeersWithSummaries = 10;

bool receivesHeartbeats(const Peer &peer)
{
    return peer.isListed || peer.state != PeerState::Gone;
}

/// Interval of heartbeats to hosts of other zones, and of summaries to hosts of the own zone.
struct Intervals
{
    Span far{};
    Span summaries{};
};

Intervals intervalsOf(const HostState &state)
{
    double near = 0;
    double far = 0;
    for (const auto &[id, peer] : state.membership.peers) {
        if (receivesHeartbeats(peer))
            ++(peer.zone == state.self.zone ? near : far);
    }
    const Span spread = fromSeconds(far / remoteHeartbeatsPerSecond);
    const Span turn = fromSeconds(toSeconds(heartbeatInterval) * near / localPeersWithSummaries);
    return Intervals{ std::max(heartbeatInterval, spread), std::max(heartbeatInterval, turn) };
}

/// Records when each engine's list of loaded adapters last changed.
void recordLoadedAdapters(Step &step, const std::vector<EngineSummary> &summaries)
{
    std::map<UpstreamId, LoadedAdapters> loadedAdapters;
    for (const EngineSummary &summary : summaries) {
        const auto former = step.state.heartbeats.loadedAdapters.find(summary.engine);
        const bool isSame = former != step.state.heartbeats.loadedAdapters.end()
                && former->second.loaded == summary.loaded;
        loadedAdapters[summary.engine] = LoadedAdapters{ summary.loaded,
                                                         isSame ? former->second.changedAt
                                                                : step.now };
    }
    step.state.heartbeats.loadedAdapters = std::move(loadedAdapters);
}

/// The summaries for one host, without the lists that it already has.
std::vector<EngineSummary> summariesFor(Step &step, PeerHeartbeats &heartbeats,
                                        std::vector<EngineSummary> summaries)
{
    const bool isFull = step.now >= heartbeats.nextFullListsAt;
    if (isFull)
        heartbeats.nextFullListsAt = step.now + fullListInterval;
    for (EngineSummary &summary : summaries) {
        const Instant changedAt = step.state.heartbeats.loadedAdapters.at(summary.engine).changedAt;
        summary.isPartial = !isFull && changedAt < heartbeats.summariesSentAt;
        if (summary.isPartial)
            summary.loaded.clear();
    }
    heartbeats.summariesSentAt = step.now;
    return summaries;
}

/// Whether \a next is due; if so, sets it to one \a interval from now.
bool advanceIfDue(Instant &next, Span interval, Instant now)
{
    // Half a heartbeat interval early is better than a whole one late.
    if (now + heartbeatInterval / 2 < next)
        return false;
    next = now + interval;
    return true;
}

Heartbeat makeHeartbeat(Step &step)
{
    const HostState &state = step.state;
    Heartbeat beat;
    beat.ticket = state.inForce.ticket;
    beat.isLeaving = state.process == ProcessState::Draining
            || state.process == ProcessState::Stopped;
    beat.zone = state.self.zone;
    beat.seat = state.self.seat;
    beat.address = state.self.peerAddress;
    beat.highestFencing = state.fencing;
    beat.serial = nextSerial(step);
    beat.updateAge = updateAge(step);
    return beat;
}

} // namespace

void sendHeartbeats(Step &step)
{
    HostState &state = step.state;
    if (step.now < state.nextHeartbeat)
        return;
    state.nextHeartbeat = step.now + heartbeatInterval;

    const Intervals intervals = intervalsOf(state);
    const std::vector<EngineSummary> own = summarizeEngines(state);
    recordLoadedAdapters(step, own);
    Heartbeat beat = makeHeartbeat(step);
    for (const auto &[id, peer] : state.membership.peers) {
        if (!receivesHeartbeats(peer)) {
            state.heartbeats.peers.erase(id);
            continue;
        }
        PeerHeartbeats &heartbeats = state.heartbeats.peers[id];
        if (heartbeats.incarnation != peer.incarnation)
            heartbeats = PeerHeartbeats{ peer.incarnation, {}, {}, {}, {} };
        const bool isRemote = peer.zone != state.self.zone;
        const Span interval = isRemote ? intervals.far : heartbeatInterval;
        // A leaving host notifies all hosts at once.
        const bool isDue = !isRemote || advanceIfDue(heartbeats.nextHeartbeatAt, interval, step.now)
                || beat.isLeaving;
        if (!isDue)
            continue;
        const bool isUseful = !isRemote || interval <= maxSummaryInterval;
        const Span turn = isRemote ? interval : intervals.summaries;
        const bool hasSummaries = isUseful
                && advanceIfDue(heartbeats.nextSummariesAt, turn, step.now);
        beat.engines = hasSummaries ? summariesFor(step, heartbeats, own)
                                    : std::vector<EngineSummary>{};
        beat.nextHeartbeatTimeout = interval;
        addViewPromise(step, id, beat);
        step.actions.emplace_back(SendPeer{ id, peer.address, beat });
    }
    recordSummaries(step, own);
    if (step.now >= state.heartbeats.nextRenewal) {
        state.heartbeats.nextRenewal = step.now + renewalInterval;
        renewSlots(step);
    }
}

} // namespace azurewell::internal
