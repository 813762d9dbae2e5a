#include "azurewell/limits/token_bucket.h"
#include "azurewell/routing/rendezvous.h"
#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// A process whose event loop handled nothing for this long was suspended: ticks arrive every 10
/// ms, and an event loop that is late by a hundred of them is not merely busy.
constexpr Span suspensionThreshold = fromSeconds(1);
/// After a suspension a host receives heartbeats for two of their intervals before it grants slots
/// or promises its view to peers.
constexpr Span listenDuration = fromSeconds(1);
/// Interval of membership updates: every fifth tick. Missing heartbeats are not detected more
/// precisely.
constexpr Span membershipUpdateInterval = fromSeconds(0.05);
/// How long a host that has read no host list (the configuration service is down) waits for
/// heartbeats of peers.
constexpr Span hostListTimeout = fromSeconds(0.5);

bool isSelfLeaving(const HostState &state)
{
    return state.process == ProcessState::Draining || state.process == ProcessState::Stopped;
}

/// The coordinator of \a engine among \a hosts of its zone; nullptr if there are none.
const HostId *coordinatorAmong(const std::vector<HostId> &hosts, const UpstreamId &engine)
{
    const HostId *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const HostId &host : hosts) {
        const std::uint64_t weight = rendezvousWeight(engine.value, host.value);
        if (!best || weight > bestWeight) {
            best = &host;
            bestWeight = weight;
        }
    }
    return best;
}

bool isSelfCoordinatorAmong(const HostState &state, const std::vector<HostId> &hosts,
                            const UpstreamId &engine)
{
    const HostId *best = coordinatorAmong(hosts, engine);
    return best && *best == state.self.id;
}

/// Whether \a zone has no host ordinals (`seats`) in the configuration in force; its engines are
/// coordinated from other zones.
bool isZoneWithoutHosts(const HostState &state, const ZoneId &zone)
{
    const auto found = state.inForce.zones.find(zone);
    return zone != state.self.zone
            && (found == state.inForce.zones.end() || found->second.seats == 0);
}

/// Sets when the first view of this incarnation may be adopted. Until every host of the zone
/// that may be running knows this one, any of them may order evictions without its promise, and
/// would evict adapters that its requests use. So it grants nothing until then, nor while an order
/// that was already sent can still arrive. Hosts that never answer are waited for until they would
/// count as gone.
void updateJoinTime(Step &step)
{
    CoordinationState &coordination = step.state.coordination;
    if (coordination.views.epoch > 0)
        return;
    const std::vector<HostId> possible = possiblyRunningHosts(step.state.membership,
                                                              step.state.self.zone);
    const bool isKnown = std::all_of(possible.begin(), possible.end(), [&](const HostId &host) {
        return coordination.acknowledgedBy.contains(host);
    });
    const bool hasWaited = step.now >= coordination.startedAt + goneAfter;
    const bool isPeerDiscoveryOver = coordination.hasHostList || !possible.empty()
            || step.now >= coordination.startedAt + hostListTimeout;
    if (!hasWaited && (!isKnown || !isPeerDiscoveryOver)) {
        coordination.joinAllowedAt = never;
        return;
    }
    const Span inFlight = possible.empty() ? Span{} : unloadTimeout + maxOrderTransit;
    coordination.joinAllowedAt = std::min(coordination.joinAllowedAt, step.now + inFlight);
}

/// Updates whether all hosts that may be running promise this host's view, that is to adopt no
/// other one until the promise expires. Updates for each engine from when a previous coordinator's
/// slot leases have certainly expired.
void updatePromiseCompleteness(Step &step)
{
    HostState &state = step.state;
    CoordinationState &coordination = state.coordination;
    const std::vector<HostId> possible = possiblyRunningHosts(state.membership, state.self.zone);
    coordination.hostsSinceComplete.insert(possible.begin(), possible.end());
    const bool isSettled = coordination.candidateHosts == coordination.views.adoptedHosts
            && step.now >= coordination.listenUntil;
    const bool hasAllPromises = isSettled
            && isPromisedByAll(coordination.views, possible,
                               step.now + membershipUpdateInterval + unloadTimeout
                                       + maxOrderTransit);
    const bool isNewlyComplete = hasAllPromises
            && (!coordination.hasAllPromises
                || coordination.views.lastCompleteEpoch != coordination.views.epoch);
    coordination.hasAllPromises = hasAllPromises;
    if (!isNewlyComplete)
        return;
    // A host that is gone now has not promised this view. It may be suspended or disconnected, and
    // slots that it granted by a view of its own last for one more lease.
    const bool hasLostHost = coordination.hostsSinceComplete.size() > possible.size();
    coordination.hostsSinceComplete = { possible.begin(), possible.end() };
    const bool isSoleGranter = recordAllPromises(coordination.views, possible) && !hasLostHost;
    // Includes engines that another host coordinates now and on which slots granted here are left.
    for (auto &[id, engineState] : state.coordinatedEngines) {
        if (engineState.evictionAllowedFrom == never || !isSoleGranter)
            engineState.evictionAllowedFrom = step.now + slotLease;
        if (!isSoleGranter)
            engineState.hasNoUnknownRequests = false;
    }
}

/// Hash of the usable hosts of all zones.
std::uint64_t usableHostsHash(const HostState &state)
{
    std::uint64_t number = isSelfLeaving(state) ? 1 : 2;
    for (const auto &[id, peer] : state.membership.peers) {
        if (peer.state == PeerState::Alive)
            number = number * 31 + std::hash<HostId>{}(id);
    }
    return number;
}

void adopt(Step &step)
{
    HostState &state = step.state;
    CoordinationState &coordination = state.coordination;
    const bool mayAdopt = coordination.views.epoch > 0 || step.now >= coordination.joinAllowedAt;
    if (!mayAdopt || step.now < coordination.listenUntil
        || !adoptView(coordination.views, coordination.candidateHosts, step.now))
        return;
    for (auto &[id, engineState] : state.coordinatedEngines) {
        if (!isSelfCoordinatorAmong(state, coordination.views.adoptedHosts, id))
            engineState.evictionAllowedFrom = never;
    }
}

} // namespace

void detectSuspension(Step &step)
{
    CoordinationState &coordination = step.state.coordination;
    if (coordination.startedAt == Instant{}) {
        coordination.startedAt = step.now;
        coordination.joinAllowedAt = never;
    } else if (step.now - coordination.lastEventAt > suspensionThreshold) {
        // The state dates from before the suspension. Leases and promises have deadlines and expire
        // by themselves; the heartbeat deadlines of peers must be extended, or every peer would
        // seem unreachable.
        ++step.state.counters.processSuspensions;
        coordination.listenUntil = step.now + listenDuration;
        coordination.hasAllPromises = false;
        extendHeartbeatDeadlines(step.state.membership, step.now);
        endLostSlots(step);
        step.state.nextHeartbeat = step.now;
    }
    coordination.lastEventAt = step.now;
}

void updateMembership(Step &step)
{
    HostState &state = step.state;
    CoordinationState &coordination = state.coordination;
    if (step.now < coordination.nextMembershipUpdate)
        return;
    coordination.nextMembershipUpdate = step.now + membershipUpdateInterval;
    // `charts.peer` is the state chart (state machine) of peers.
    updateUnreachablePeers(state.membership, state.charts.peer, step.now);
    const std::uint64_t number = usableHostsHash(state);
    if (number != coordination.usableHostsHash) {
        coordination.usableHostsHash = number;
        coordination.coordinators.clear();
    }
    coordination.candidateHosts = usableHosts(state.membership, state.self.id, isSelfLeaving(state),
                                              state.self.zone);
    updateJoinTime(step);
    adopt(step);
    updatePromiseCompleteness(step);
}

void recordViewPromise(Step &step, const HostId &sender, Incarnation incarnation,
                       const Heartbeat &beat)
{
    HostState &state = step.state;
    CoordinationState &coordination = state.coordination;
    auto &[newestIncarnation, serial] = coordination.newestSerials[sender];
    if (incarnation > newestIncarnation)
        serial = 0;
    newestIncarnation = std::max(newestIncarnation, incarnation);
    serial = std::max(serial, beat.serial);
    const auto sent = state.serialSentAt.find(beat.echo);
    if (sent == state.serialSentAt.end())
        return;
    coordination.acknowledgedBy.insert(sender);
    const double relied = toSeconds(promiseDuration) * (1 - promiseDriftMargin);
    recordPromise(coordination.views, sender, incarnation, beat.view, beat.viewEpoch,
                  sent->second + fromSeconds(relied), step.now);
}

void addViewPromise(Step &step, const HostId &receiver, Heartbeat &beat)
{
    CoordinationState &coordination = step.state.coordination;
    const auto newest = coordination.newestSerials.find(receiver);
    beat.echo = newest == coordination.newestSerials.end() ? 0 : newest->second.second;
    const bool isSettled = coordination.views.view != 0
            && coordination.candidateHosts == coordination.views.adoptedHosts
            && step.now >= coordination.listenUntil;
    // The view is stated as a hash of its hosts; 0 promises nothing.
    beat.view = isSettled ? coordination.views.view : 0;
    beat.viewEpoch = coordination.views.epoch;
    if (isSettled)
        coordination.views.promisedUntil = step.now + promiseDuration;
}

std::optional<HostId> engineCoordinator(HostState &state, const Upstream &engine)
{
    const auto cached = state.coordination.coordinators.find(engine.id);
    if (cached != state.coordination.coordinators.end())
        return cached->second;
    const bool isAlone = engine.zone == state.self.zone
            && state.coordination.candidateHosts.size() == 1
            && state.coordination.candidateHosts.front() == state.self.id;
    if (isAlone)
        return state.self.id; // also while leaving: no other host can serve remaining requests
    std::optional<HostId> coordinator = coordinatorOf(state.membership, state.self.id,
                                                      state.self.zone, isSelfLeaving(state),
                                                      engine.id, engine.zone);
    if (coordinator && !isZoneWithoutHosts(state, engine.zone)) {
        const auto peer = state.membership.peers.find(*coordinator);
        const ZoneId &zone = peer == state.membership.peers.end() ? state.self.zone
                                                                  : peer->second.zone;
        // A host of another zone can't know whether the zone's own hosts are gone or only
        // disconnected.
        if (zone != engine.zone)
            coordinator = std::nullopt;
    }
    state.coordination.coordinators[engine.id] = coordinator;
    return coordinator;
}

bool mayGrant(HostState &state, const Upstream &engine, Instant now)
{
    if (state.process == ProcessState::Starting || now < state.coordination.listenUntil)
        return false;
    if (engine.zone != state.self.zone)
        return isZoneWithoutHosts(state, engine.zone)
                && engineCoordinator(state, engine) == state.self.id;
    return isSelfCoordinatorAmong(state, state.coordination.views.adoptedHosts, engine.id)
            && isSelfCoordinatorAmong(state, state.coordination.candidateHosts, engine.id);
}

bool mayEvict(const HostState &state, const CoordinatedEngine &engineState, const Upstream &engine,
              Instant now)
{
    if (engine.zone != state.self.zone)
        return false; // promises cover only engines of the host's own zone
    return state.coordination.hasAllPromises && now >= engineState.evictionAllowedFrom
            && engineState.hasNoUnknownRequests;
}

std::size_t listedHosts(const HostState &state)
{
    const auto listedPeers = std::count_if(state.membership.peers.begin(),
                                           state.membership.peers.end(),
                                           [](const auto &entry) { return entry.second.isListed; });
    return static_cast<std::size_t>(listedPeers) + 1; // and this host
}

} // namespace azurewell::internal
