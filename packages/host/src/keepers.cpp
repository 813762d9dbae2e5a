#include "azurewell/limits/token_bucket.h"
#include "azurewell/routing/rendezvous.h"
#include "internal.h"

#include <algorithm>

namespace azurewell::internal {

namespace {

/// A process that hears nothing from its event loop for this long was stopped: ticks come every
/// 10 ms, and a loop that is late by a hundred of them is not merely busy.
constexpr Span wakeGap = fromSeconds(1);
/// After a stop a host listens for two heartbeats before it grants or promises anything.
constexpr Span listenTime = fromSeconds(1);
/// Membership is looked through every fifth tick; a heartbeat's absence is known no finer.
constexpr Span upkeepInterval = fromSeconds(0.05);
/// A host without any list (the platform is down) waits this long for peers to speak up.
constexpr Span listPatience = fromSeconds(0.5);

bool isSelfLeaving(const HostState &state)
{
    return state.process == ProcessState::Draining || state.process == ProcessState::Stopped;
}

/// The engine's keeper among \a hosts of its zone.
const HostId *bestOf(const std::vector<HostId> &hosts, const UpstreamId &engine)
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

bool isBestOf(const HostState &state, const std::vector<HostId> &hosts, const UpstreamId &engine)
{
    const HostId *best = bestOf(hosts, engine);
    return best && *best == state.self.id;
}

/// A zone without host places of its own; its engines are kept from other zones.
bool isZoneWithoutHosts(const HostState &state, const ZoneId &zone)
{
    const auto found = state.inForce.zones.find(zone);
    return zone != state.self.zone
            && (found == state.inForce.zones.end() || found->second.seats == 0);
}

/// Sets when the first view of this life may be adopted. Until every possible host of the zone has
/// heard of this one, any of them may order evictions without asking it, and would evict under the
/// requests that it sent; so it grants nothing before, and for as long as an order already given
/// can still arrive. Hosts that never answer are waited for until they would count as gone.
void tendJoin(Step &step)
{
    KeeperState &keepers = step.state.keepers;
    if (keepers.views.epoch > 0)
        return;
    const std::vector<HostId> possible = possibleHostsOf(step.state.membership,
                                                         step.state.self.zone);
    const bool isKnown = std::all_of(possible.begin(), possible.end(), [&](const HostId &host) {
        return keepers.knownBy.contains(host);
    });
    const bool hasWaited = step.now >= keepers.startedAt + goneAfter;
    const bool knowsPeers = keepers.isListRead || !possible.empty()
            || step.now >= keepers.startedAt + listPatience;
    if (!hasWaited && (!isKnown || !knowsPeers)) {
        keepers.joinAfter = never;
        return;
    }
    const Span inFlight = possible.empty() ? Span{} : unloadLifetime + orderFlight;
    keepers.joinAfter = std::min(keepers.joinAfter, step.now + inFlight);
}

/// Notes whether all possible hosts promise this host's view, and from when a former keeper's
/// leases have surely run out.
void tendCompleteness(Step &step)
{
    HostState &state = step.state;
    KeeperState &keepers = state.keepers;
    const std::vector<HostId> possible = possibleHostsOf(state.membership, state.self.zone);
    keepers.seen.insert(possible.begin(), possible.end());
    const bool isSettled = keepers.candidate == keepers.views.adopted
            && step.now >= keepers.listenUntil;
    const bool isComplete = isSettled
            && isPromisedByAll(keepers.views, possible,
                               step.now + upkeepInterval + unloadLifetime + orderFlight);
    const bool hasBecome = isComplete
            && (!keepers.isComplete || keepers.views.lastCompleteEpoch != keepers.views.epoch);
    keepers.isComplete = isComplete;
    if (!hasBecome)
        return;
    // A host that has gone meanwhile promised nothing at its end. It may be stopped or cut off, and
    // what it granted by a view of its own runs on for a lease.
    const bool hasLost = keepers.seen.size() > possible.size();
    keepers.seen = { possible.begin(), possible.end() };
    const bool isSteady = noteComplete(keepers.views, possible) && !hasLost;
    for (auto &[id, kept] : state.kept) {
        if (kept.evictFrom == never || !isSteady)
            kept.evictFrom = step.now + slotLease;
        if (!isSteady)
            kept.isQuiet = false;
    }
}

/// A number for all usable hosts of all zones.
std::uint64_t usableNumber(const HostState &state)
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
    KeeperState &keepers = state.keepers;
    const bool mayAdopt = keepers.views.epoch > 0 || step.now >= keepers.joinAfter;
    if (!mayAdopt || step.now < keepers.listenUntil
        || !adoptView(keepers.views, keepers.candidate, step.now))
        return;
    for (auto &[id, kept] : state.kept) {
        if (!isBestOf(state, keepers.views.adopted, id))
            kept.evictFrom = never;
    }
}

} // namespace

void noteWake(Step &step)
{
    KeeperState &keepers = step.state.keepers;
    if (keepers.startedAt == Instant{}) {
        keepers.startedAt = step.now;
        keepers.joinAfter = never;
    } else if (step.now - keepers.handledAt > wakeGap) {
        // Everything below was believed before the stop. Leases and promises are deadlines and have
        // run out by themselves; the membership has not, and would make every peer seem silent.
        ++step.state.counters.lateWakes;
        keepers.listenUntil = step.now + listenTime;
        keepers.isComplete = false;
        forgiveSilence(step.state.membership, step.now);
        endLostSlots(step);
        step.state.nextHeartbeat = step.now;
    }
    keepers.handledAt = step.now;
}

void tendMembership(Step &step)
{
    HostState &state = step.state;
    KeeperState &keepers = state.keepers;
    if (step.now < keepers.nextUpkeep)
        return;
    keepers.nextUpkeep = step.now + upkeepInterval;
    noteSilence(state.membership, state.charts.peer, step.now);
    const std::uint64_t number = usableNumber(state);
    if (number != keepers.usableNumber) {
        keepers.usableNumber = number;
        keepers.keepers.clear();
    }
    keepers.candidate = usableHostsOf(state.membership, state.self.id, isSelfLeaving(state),
                                      state.self.zone);
    tendJoin(step);
    adopt(step);
    tendCompleteness(step);
}

void noteKeeperPromise(Step &step, const HostId &sender, Incarnation incarnation,
                       const Heartbeat &beat)
{
    HostState &state = step.state;
    KeeperState &keepers = state.keepers;
    auto &[life, serial] = keepers.newestSerials[sender];
    if (incarnation > life)
        serial = 0;
    life = std::max(life, incarnation);
    serial = std::max(serial, beat.serial);
    const auto sent = state.serialSentAt.find(beat.echo);
    if (sent == state.serialSentAt.end())
        return;
    keepers.knownBy.insert(sender);
    const double relied = toSeconds(promiseLength) * (1 - promiseDriftMargin);
    notePromise(keepers.views, sender, incarnation, beat.view, beat.viewEpoch,
                sent->second + fromSeconds(relied), step.now);
}

void addKeeperPromise(Step &step, const HostId &receiver, Heartbeat &beat)
{
    KeeperState &keepers = step.state.keepers;
    const auto newest = keepers.newestSerials.find(receiver);
    beat.echo = newest == keepers.newestSerials.end() ? 0 : newest->second.second;
    const bool isSettled = keepers.views.view != 0 && keepers.candidate == keepers.views.adopted
            && step.now >= keepers.listenUntil;
    beat.view = isSettled ? keepers.views.view : 0;
    beat.viewEpoch = keepers.views.epoch;
    if (isSettled)
        keepers.views.promisedUntil = step.now + promiseLength;
}

std::optional<HostId> engineKeeper(HostState &state, const Upstream &engine)
{
    const auto cached = state.keepers.keepers.find(engine.id);
    if (cached != state.keepers.keepers.end())
        return cached->second;
    const bool isAlone = engine.zone == state.self.zone && state.keepers.candidate.size() == 1
            && state.keepers.candidate.front() == state.self.id;
    if (isAlone)
        return state.self.id; // also while leaving: there is no other to serve what still comes
    std::optional<HostId> keeper = keeperOf(state.membership, state.self.id, state.self.zone,
                                            isSelfLeaving(state), engine.id, engine.zone);
    if (keeper && !isZoneWithoutHosts(state, engine.zone)) {
        const auto peer = state.membership.peers.find(*keeper);
        const ZoneId &zone = peer == state.membership.peers.end() ? state.self.zone
                                                                  : peer->second.zone;
        // A host of another zone cannot know whether the zone's own hosts are gone or only cut off.
        if (zone != engine.zone)
            keeper = std::nullopt;
    }
    state.keepers.keepers[engine.id] = keeper;
    return keeper;
}

bool mayGrant(HostState &state, const Upstream &engine, Instant now)
{
    if (state.process == ProcessState::Starting || now < state.keepers.listenUntil)
        return false;
    if (engine.zone != state.self.zone)
        return isZoneWithoutHosts(state, engine.zone)
                && engineKeeper(state, engine) == state.self.id;
    return isBestOf(state, state.keepers.views.adopted, engine.id)
            && isBestOf(state, state.keepers.candidate, engine.id);
}

bool mayEvict(const HostState &state, const KeptEngine &kept, const Upstream &engine, Instant now)
{
    if (engine.zone != state.self.zone)
        return false; // kept from another zone: nobody could promise to leave it alone
    return state.keepers.isComplete && now >= kept.evictFrom && kept.isQuiet;
}

std::size_t listedHosts(const HostState &state)
{
    const auto listed = std::count_if(state.membership.peers.begin(), state.membership.peers.end(),
                                      [](const auto &entry) { return entry.second.isListed; });
    return static_cast<std::size_t>(listed) + 1;
}

} // namespace azurewell::internal
