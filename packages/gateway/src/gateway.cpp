#include "internal.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace azurewell::gateway {

namespace {

/// A removed upstream is kept for this time, until nothing can be running there any more.
constexpr Span removalRetention = std::chrono::seconds(10);

constexpr Span removalCheckInterval = std::chrono::milliseconds(250);

/// An upstream whose entry is removed without notice serves for another 2 s. It is used for about
/// half of that, as entries can disappear for a moment.
constexpr Span removalGrace = std::chrono::milliseconds(800);

/// During an outage of the platform, entries of live upstreams expire; they come back within about
/// 2 s of its return. The platform may also have rejected only this host, with the entry gone for
/// good. In that case no new requests may be sent 2 s after the removal, of which half a second may
/// have passed already.
constexpr Span outageRemovalGrace = std::chrono::milliseconds(1200);
constexpr Span outageRecoveryTime = std::chrono::seconds(4);

/// Time for a request that is sent to reach its upstream, and between the platform's confirmation
/// and its answer.
constexpr Span removalMargin = std::chrono::milliseconds(150);

/// Hosts of a zone that read published state from the platform: two of them may be lost or
/// unreachable before this is noticed.
constexpr std::size_t readersPerZone = 3;
constexpr std::string_view readersKey = "readers of the platform";

/// A host that lacks published changes for this time reads them from the platform itself, as the
/// hosts that send them may not have all of them.
constexpr Span fallbackReadDelay = std::chrono::milliseconds(600);

/// A host that starts beside others gives them this time to tell what is in force before it reads
/// from the platform, which may lack what it has confirmed.
constexpr Span peersFirstTime = std::chrono::milliseconds(600);

bool awaitsPeers(const GatewayState &state, Instant now)
{
    const bool isBesideOthers = !state.self.isFirstStart && !state.self.seeds.empty();
    const bool knowsNothing = state.configuration.version == 0 && !isKnown(state.published.position)
            && state.platformReader.calls == 0;
    return isBesideOthers && knowsNothing && now < state.startedAt + peersFirstTime;
}

/// Hosts that read the platform notice within this time that it does not answer any more, and
/// others hear of it.
constexpr Span storeSilenceKnownAfter = std::chrono::milliseconds(1700);

bool isLagging(const GatewayState &state, Instant now)
{
    return state.changesLag.latest > state.published.position
            && now - state.changesLag.since >= fallbackReadDelay;
}

/// Whether \a entry was written before \a known. Entries can arrive out of order; a late one could
/// make a leaving upstream get new requests again.
bool isOutdated(const ListedUpstream &known, const ListedUpstream &entry)
{
    if (entry.engine.start != known.engine.start)
        return entry.engine.start < known.engine.start;
    return entry.serial < known.serial || (known.isLeaving && !entry.isLeaving);
}

/// Removes finished loads that no request waits for.
void dropUnneededLoads(GatewayState &state)
{
    std::set<ModelName> wanted;
    for (const RequestNumber &request : state.waiting)
        wanted.insert(state.requests.at(request).arrivedRequest.model);
    std::erase_if(state.awaitedLoads, [&](const auto &entry) {
        const auto engine = state.upstreams.find(entry.second.engine);
        const bool isDone = engine == state.upstreams.end()
                || engine->second.engine.findReady(entry.first) != nullptr;
        return isDone && !wanted.contains(entry.first);
    });
}

/// Removes upstreams that are gone, with the state that belongs to them.
void removeExpiredUpstreams(GatewayState &state, Instant now)
{
    if (now < state.nextRemovalCheckAt)
        return;
    state.nextRemovalCheckAt = now + removalCheckInterval;
    std::erase_if(state.upstreams, [now](const auto &entry) {
        const Upstream &upstream = entry.second;
        return upstream.usableUntil != never && now >= upstream.usableUntil + removalRetention
                && upstream.requestsInFlight == 0;
    });
    const auto isRemoved = [&state](const auto &entry) {
        return !state.upstreams.contains(entry.first);
    };
    std::erase_if(state.engines, isRemoved);
    removeUnusedPacers(state, now);
    std::erase_if(state.coordinators.entries, isRemoved);
    std::erase_if(state.ownEngines,
                  [&state](const UpstreamId &id) { return !state.upstreams.contains(id); });
}

/// Number of hosts of this zone that can read from the platform and rank before this one.
std::size_t countHigherRankedReaders(const GatewayState &state, Instant now)
{
    const std::uint64_t key = stableHash(readersKey);
    const std::uint64_t ownRank = rendezvousMix(key, stableHash(state.self.id.value));
    const auto &others = state.members.others;
    const auto readers = std::count_if(others.begin(), others.end(), [&](const auto &entry) {
        const Member &member = entry.second;
        return member.zone == state.self.zone && !member.isLeaving
                && member.platform != PlatformView::Failing
                && isMemberReachable(state.members, member, now)
                && rendezvousMix(key, member.idHash) > ownRank;
    });
    return static_cast<std::size_t>(readers);
}

/// Whether the store answers no host that is known to call it.
bool isStoreAway(const GatewayState &state, Instant now)
{
    if (state.published.held.empty() || state.platform == PlatformView::Answering)
        return false;
    bool isFailing = state.platform == PlatformView::Failing;
    for (const auto &[id, member] : state.members.others) {
        if (!isMemberReachable(state.members, member, now))
            continue;
        if (member.platform == PlatformView::Answering)
            return false;
        isFailing = isFailing || member.platform == PlatformView::Failing;
    }
    return isFailing;
}

/// Until when the store is known to have been there: a hold that ends later may end because the
/// store is away again.
Instant storeSeenAt(const GatewayState &state, Instant now)
{
    return state.platform == PlatformView::Answering ? state.platformReader.answeredAt
                                                     : now - storeSilenceKnownAfter;
}

void logReachability(Members &members, Instant now, Actions &actions)
{
    for (const HostId &id : std::exchange(members.reachabilityChanges, {})) {
        const auto found = members.others.find(id);
        if (found == members.others.end())
            continue;
        const Member &member = found->second;
        const Span silence = now - member.lastMessageAt;
        actions.logEvents.push_back(
                { member.wasReachable ? "peer_reachable_again" : "peer_unreachable",
                  { { "peer", id.value },
                    { "zone", member.zone.value },
                    { "silent_ms", std::to_string(inMilliseconds(silence)) },
                    { "leaving", member.isLeaving ? "true" : "false" } } });
    }
}

/// Until when an upstream whose entry has been removed without notice gets new requests. It serves
/// them for the propagation timeout after its removal, which came after this host's last view.
Instant usableAfterRemoval(const GatewayState &state, Instant now)
{
    const bool isOutage = state.platformFailedAt.micros != 0
            && now - state.platformFailedAt < outageRecoveryTime;
    const Instant latest = now + (isOutage ? outageRemovalGrace : removalGrace);
    const Instant deadline = state.platformViewAt + state.self.propagationTimeout - removalMargin;
    // With an older view, nothing is known of the time of the removal.
    const bool isBounded = state.platformViewAt.micros != 0 && now < deadline;
    return isBounded ? std::min(latest, deadline) : latest;
}

} // namespace

double draw(GatewayState &state)
{
    return std::uniform_real_distribution<double>(0, 1)(state.random);
}

void start(GatewayState &state, const Identity &self, KnownCharts charts, Instant now)
{
    state.self = self;
    state.charts = std::move(charts);
    state.random.seed(self.randomSeed);
    state.startedAt = now;
    state.members.self = self.id;
    state.members.zone = self.zone;
    state.platformReader.times = planReads(self.propagationTimeout);
}

void setConfiguration(GatewayState &state, Configuration configuration)
{
    if (configuration.version <= state.configuration.version)
        return;
    indexKeys(configuration);
    indexPriorities(configuration);
    state.configuration = std::move(configuration);
    for (auto &[id, upstream] : state.upstreams) {
        // An entry that was read before the configuration counts as cold whatever its service is.
        const Service *service = findService(state.configuration, upstream.listed.service);
        if (service && service->warmupPerSecond <= 0)
            upstream.coldUntil = Instant{};
    }
    wakeEngines(state);
}

void listUpstream(GatewayState &state, const ListedUpstream &listed, Instant now)
{
    Upstream &upstream = state.upstreams[listed.id];
    if (isOutdated(upstream.listed, listed))
        return;
    wakeEngine(state, listed.id);
    const bool isRestarted = listed.engine.start != upstream.listed.engine.start;
    const bool isMoved = listed.address != upstream.listed.address;
    upstream.listed = listed;
    applyEvacuations(state.evacuations, upstream);
    // The entry of an earlier start says nothing of the one that a report has shown since.
    if (listed.engine.start >= upstream.reportedStart)
        markCold(state, upstream, listed.warmupLeft, now);
    upstream.usableUntil = listed.isLeaving ? std::min(now, upstream.usableUntil) : never;
    upstream.terminatedAt = listed.remaining > Span{} ? now + listed.remaining : never;
    if (isRestarted || isMoved) {
        upstream.replacedUntil = Instant{};
        upstream.pausedUntil = Instant{};
        upstream.avoidedUntil = Instant{};
        upstream.failuresInARow = 0;
        upstream.failureRate = 0;
        upstream.speed = {};
    }
    if (!upstream.engine.isSeen() || isRestarted) {
        upstream.engine = listed.engine;
        upstream.engine.seenAt = now;
    }
    checkVersions(state, listed.service, now);
}

void removeUpstream(GatewayState &state, const UpstreamId &id, Instant now)
{
    const auto found = state.upstreams.find(id);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    wakeEngine(state, id);
    if (upstream.usableUntil == never)
        upstream.usableUntil = usableAfterRemoval(state, now);
}

void declareVersion(GatewayState &state, const ModelName &adapter, std::uint64_t version)
{
    std::uint64_t &known = state.versions[adapter];
    if (version <= known)
        return;
    known = version;
    wakeEngines(state);
}

void recordPlatformFailure(GatewayState &state, Instant now)
{
    state.platform = PlatformView::Failing;
    state.platformFailedAt = now;
}

void recordPlatformView(GatewayState &state, Instant viewAt)
{
    state.platformViewAt = std::max(state.platformViewAt, viewAt);
}

void recordPlatformAnswer(GatewayState &state, bool isNew, Instant now)
{
    state.platform = PlatformView::Answering;
    if (!isNew)
        return;
    for (auto &[id, member] : state.members.others) {
        if (member.zone == state.self.zone && member.platform == PlatformView::NotRead)
            setHeartbeat(state.members, member, std::min(member.nextHeartbeatAt, now));
    }
}

bool readsPlatform(GatewayState &state, Instant now)
{
    if (awaitsPeers(state, now))
        return false;
    const bool isNeeded = state.configuration.version == 0
            || countHigherRankedReaders(state, now) < readersPerZone || isLagging(state, now)
            || needsListing(state.published, stableHash(state.self.id.value), now);
    if (!isNeeded)
        state.platform = PlatformView::NotRead;
    return isNeeded;
}

bool isStopping(const GatewayState &state)
{
    return state.stopAskedAt.micros != 0;
}

bool isReady(const GatewayState &state)
{
    return state.configuration.version != 0 && !isStopping(state);
}

void beginStop(GatewayState &state, Instant now, Actions &actions)
{
    state.stopAskedAt = now;
    for (auto &[id, member] : state.members.others)
        setHeartbeat(state.members, member, now);
    runGossip(state, now, actions);
}

void tick(GatewayState &state, Instant now, Actions &actions)
{
    if (isStoreAway(state, now))
        postponeHolds(state.published, now);
    const std::vector<PublishedItem> ended = endHolds(state.published, storeSeenAt(state, now));
    state.undecoded.insert(state.undecoded.end(), ended.begin(), ended.end());
    removeExpiredUpstreams(state, now);
    removeExpiredSuspicions(state.quarantine, now);
    updateMembers(state.members, now);
    logReachability(state.members, now, actions);
    resolveEarlyAttempts(state, now);
    checkPaths(state, now, actions);
    checkCrashes(state, now, actions);
    runOrigins(state, now, actions);
    placeWaiting(state, now, actions);
    endOverdue(state, now, actions);
    runAllAdmissions(state, now, actions);
    dropUnneededLoads(state);
    pollEngines(state, now, actions);
    runGossip(state, now, actions);
}

} // namespace azurewell::gateway
