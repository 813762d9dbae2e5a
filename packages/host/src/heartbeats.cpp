#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

constexpr Span heartbeatInterval = fromSeconds(0.5);
/// Unchanged lists of loaded adapters are said again this often.
constexpr Span fullInterval = fromSeconds(5);
/// Slots are renewed this often: four renewals lost in a row still leave a fifth of a lease of ten
/// seconds. At each heartbeat they were half of what a node sent under load.
constexpr Span renewalInterval = fromSeconds(2);
/// Heartbeats to other zones, all together. Up to ten hosts there are told each half second; of 347
/// at 390 hosts each hears this one every 17 s, and its zone hears from ours forty times a second.
constexpr double farPerSecond = 20;
/// Beyond this interval summaries are too old to route by, and are left out.
constexpr Span oldestSummary = fromSeconds(2);
/// Hosts of the own zone that get summaries with each heartbeat; more get them in turn.
constexpr double nearWithSummaries = 10;

bool isBeatenTo(const Peer &peer)
{
    return peer.isListed || peer.state != PeerState::Gone;
}

/// How often hosts of other zones are beaten to, and those of the own zone get summaries.
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
        if (isBeatenTo(peer))
            ++(peer.zone == state.self.zone ? near : far);
    }
    const Span spread = fromSeconds(far / farPerSecond);
    const Span turn = fromSeconds(toSeconds(heartbeatInterval) * near / nearWithSummaries);
    return Intervals{ std::max(heartbeatInterval, spread), std::max(heartbeatInterval, turn) };
}

/// Notes when each engine's list of loaded adapters last changed.
void noteLists(Step &step, const std::vector<EngineSummary> &summaries)
{
    std::map<UpstreamId, LoadedList> lists;
    for (const EngineSummary &summary : summaries) {
        const auto former = step.state.heartbeats.lists.find(summary.engine);
        const bool isSame = former != step.state.heartbeats.lists.end()
                && former->second.loaded == summary.loaded;
        lists[summary.engine] = LoadedList{ summary.loaded,
                                            isSame ? former->second.changedAt : step.now };
    }
    step.state.heartbeats.lists = std::move(lists);
}

/// The summaries for one host, without the lists that it has already.
std::vector<EngineSummary> summariesFor(Step &step, PeerBeats &beats,
                                        std::vector<EngineSummary> summaries)
{
    const bool isFull = step.now >= beats.nextFull;
    if (isFull)
        beats.nextFull = step.now + fullInterval;
    for (EngineSummary &summary : summaries) {
        const Instant changedAt = step.state.heartbeats.lists.at(summary.engine).changedAt;
        summary.isPartial = !isFull && changedAt < beats.summariesAt;
        if (summary.isPartial)
            summary.loaded.clear();
    }
    beats.summariesAt = step.now;
    return summaries;
}

/// Whether \a next has come; moves it on.
bool takeTurn(Instant &next, Span interval, Instant now)
{
    // Half a heartbeat early rather than a whole one late.
    if (now + heartbeatInterval / 2 < next)
        return false;
    next = now + interval;
    return true;
}

Heartbeat beatOf(Step &step)
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
    beat.newsAge = newsAge(step);
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
    noteLists(step, own);
    Heartbeat beat = beatOf(step);
    for (const auto &[id, peer] : state.membership.peers) {
        if (!isBeatenTo(peer)) {
            state.heartbeats.peers.erase(id);
            continue;
        }
        PeerBeats &beats = state.heartbeats.peers[id];
        if (beats.life != peer.incarnation)
            beats = PeerBeats{ peer.incarnation, {}, {}, {}, {} };
        const bool isFar = peer.zone != state.self.zone;
        const Span interval = isFar ? intervals.far : heartbeatInterval;
        // A leaving host tells everybody at once.
        const bool isDue = !isFar || takeTurn(beats.nextBeat, interval, step.now) || beat.isLeaving;
        if (!isDue)
            continue;
        const bool isUseful = !isFar || interval <= oldestSummary;
        const Span turn = isFar ? interval : intervals.summaries;
        const bool hasSummaries = isUseful && takeTurn(beats.nextSummaries, turn, step.now);
        beat.engines = hasSummaries ? summariesFor(step, beats, own) : std::vector<EngineSummary>{};
        beat.nextWithin = interval;
        addKeeperPromise(step, id, beat);
        step.actions.emplace_back(SendPeer{ id, peer.address, beat });
    }
    noteSummaries(step, own);
    if (step.now >= state.heartbeats.nextRenewal) {
        state.heartbeats.nextRenewal = step.now + renewalInterval;
        renewSlots(step);
    }
}

} // namespace azurewell::internal
