#include "internal.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Interval of messages to unreachable seeds while fewer hosts are reachable than there are seeds;
/// later it is longer, since the seeds may name hosts that do not exist yet.
constexpr Span shortSeedInterval = std::chrono::milliseconds(300);
constexpr Span longSeedInterval = std::chrono::seconds(3);

constexpr std::size_t maxOthersInSmallFleet = 12;

/// In a larger fleet, the use of a customer near its limit is known everywhere after this time. It
/// includes the time to detect that the customer is near its limit, by hosts that each see a small
/// part of its requests.
constexpr Span usesPropagationTime = std::chrono::milliseconds(600);

/// In a small fleet, hosts of other zones receive an engine's state at each change, and otherwise
/// at this interval: traffic between zones is billed, and the lists of adapters are most of a
/// heartbeat. One message may be lost before the state is out of date.
constexpr Span engineUpdateInterval = std::chrono::milliseconds(700);

/// Members listed in one heartbeat to a new host, which has to learn all of them quickly, and to a
/// known one.
constexpr std::size_t maxMembersToNew = 12;
constexpr std::size_t maxMembersToKnown = 2;

/// A host is new for this long after its first message, after its return from a timeout, and after
/// the start of this host.
constexpr Span newMemberPeriod = std::chrono::seconds(3);

constexpr Span cleanupInterval = std::chrono::milliseconds(250);

/// Adds up to \a max reachable members, continuing in each message after the last one added.
void addMembers(GatewayState &state, Gossip &message, std::size_t max, Instant now)
{
    const std::map<HostId, Member> &others = state.members.others;
    auto next = others.upper_bound(state.lastMemberSent);
    for (std::size_t visited = 0; visited < others.size() && message.members.size() < max;
         ++visited) {
        if (next == others.end())
            next = others.begin();
        const Member &member = next->second;
        if (!member.isLeaving && isMemberReachable(state.members, member, now)) {
            message.members.push_back({ member.id, member.zone, member.address, member.incarnation,
                                        now - member.lastMessageAt });
        }
        state.lastMemberSent = member.id;
        ++next;
    }
}

bool isNewHere(const GatewayState &state, const Member &member, Instant now)
{
    return now - state.startedAt < newMemberPeriod || now - member.firstKnownAt < newMemberPeriod
            || now - member.returnedAt < newMemberPeriod;
}

std::size_t maxMembersTo(const GatewayState &state, const Member &to, Instant now)
{
    return isNewHere(state, to, now) ? maxMembersToNew : maxMembersToKnown;
}

/// Returns the adapters that this host uses at engines coordinated by \a coordinator.
std::vector<AdapterUse> usesAtEnginesOf(GatewayState &state, const HostId &coordinator, Instant now)
{
    std::set<UpstreamId> used;
    for (const auto &[place, use] : state.ownUses)
        used.insert(place.first);
    std::vector<AdapterUse> uses;
    for (const UpstreamId &id : used) {
        const auto upstream = state.upstreams.find(id);
        if (upstream == state.upstreams.end()
            || coordinatorOf(state, upstream->second, now) != coordinator)
            continue;
        const std::vector<AdapterUse> here = takeUnreported(state.ownUses, id);
        uses.insert(uses.end(), here.begin(), here.end());
    }
    return uses;
}

/// Returns the interval at which \a member receives the states of this host's engines if nothing
/// changes; 0: with each heartbeat.
Span engineIntervalTo(const GatewayState &state, const Member &member)
{
    const bool isLessOften = isSmallFleet(state) && member.zone != state.self.zone;
    return isLessOften ? engineUpdateInterval : Span{};
}

/// Sends the regular updates of this host to the members whose heartbeat is due.
void sendHeartbeats(GatewayState &state, Instant now, Actions &actions)
{
    std::vector<Member *> due;
    while (const std::optional<HostId> id = state.members.heartbeats.takeDue(now))
        due.push_back(&state.members.others.at(*id));
    if (due.empty())
        return;
    Gossip bare = messageHeader(state, now);
    bare.leavingUpstreams = leavingToSend(state);
    Gossip full = bare;
    addPeriodicUpdates(state, full, now);
    for (Member *member : due) {
        setHeartbeat(state.members, *member, now + heartbeatInterval(state.members, *member));
        const bool isRelayed = !isSmallFleet(state) && member->zone != state.self.zone;
        Gossip message = isRelayed ? bare : full;
        if (now < member->nextEngineUpdateAt)
            message.engines.clear();
        else
            member->nextEngineUpdateAt = now + engineIntervalTo(state, *member);
        addMembers(state, message, maxMembersTo(state, *member, now), now);
        if (member->heardAt.micros != 0)
            message.heardAgo = now - member->heardAt;
        if (isNewHere(state, *member, now))
            message.crashes = severeSuspicions(state.quarantine);
        message.adapterUses = usesAtEnginesOf(state, member->id, now);
        send(state, member->address, member->zone, MessageKind::Heartbeat, std::move(message),
             actions);
    }
}

void contactSeeds(GatewayState &state, Instant now, Actions &actions)
{
    if (now < state.nextSeedsAt)
        return;
    const bool isAlone = countReachable(state.members, now) < state.self.seeds.size();
    state.nextSeedsAt = now + (isAlone ? shortSeedInterval : longSeedInterval);
    for (const Endpoint &seed : state.self.seeds) {
        const auto &others = state.members.others;
        const bool hasAnswered = std::any_of(others.begin(), others.end(), [&](const auto &entry) {
            return entry.second.address == seed
                    && isMemberReachable(state.members, entry.second, now);
        });
        if (seed == state.self.address || hasAnswered)
            continue;
        Gossip message = messageHeader(state, now);
        addMembers(state, message, maxMembersToNew, now);
        // The zone of a seed is still unknown.
        send(state, seed, state.self.zone, MessageKind::ToSeed, std::move(message), actions);
    }
}

/// Removes the demand of adapters that are no longer requested, uses at this host's own engines,
/// which need not be sent to any host, and other expired state.
void removeExpired(GatewayState &state, Instant now)
{
    if (now < state.nextTidyAt)
        return;
    state.nextTidyAt = now + cleanupInterval;
    std::erase_if(state.adapterDemand, [now](const auto &entry) {
        return valueAt(entry.second, demandDecayTime, now) < 1;
    });
    usesAtEnginesOf(state, state.self.id, now);
    std::erase_if(state.ownUses, [&](const auto &entry) {
        return entry.second.running == 0 && !state.upstreams.contains(entry.first.first);
    });
    for (auto &[id, pacer] : state.pacers)
        tidy(pacer, now);
    for (auto &[id, engine] : state.engines) {
        removeAbandoned(engine.wanted, now);
        std::erase_if(engine.requestingHosts,
                      [now](const auto &requester) { return now >= requester.second; });
        std::erase_if(engine.awaitedUntil, [now](const auto &load) { return now >= load.second; });
    }
    for (auto &[customer, meter] : state.meters)
        slide(meter.own.window, state.self.meterLimits.window, now);
}

} // namespace

bool isSmallFleet(const GatewayState &state)
{
    return state.members.others.size() <= maxOthersInSmallFleet;
}

MeterStart meterStart(const GatewayState &state, Instant now)
{
    const Instant windowAgo = now - state.self.meterLimits.window;
    return { state.self.isFirstStart, state.startedAt,
             !isSmallFleet(state) && !haveMostRunSince(state.members, windowAgo, now) };
}

MeterLimits currentLimits(const GatewayState &state)
{
    MeterLimits limits = state.self.meterLimits;
    limits.updateInterval = isSmallFleet(state) ? tickInterval : usesPropagationTime;
    return limits;
}

void runGossip(GatewayState &state, Instant now, Actions &actions)
{
    removeExpired(state, now);
    contactSeeds(state, now, actions);
    sendUpdates(state, now, actions);
    sendWaitingChanges(state, now, actions);
    runRelay(state, now, actions);
    sendHeartbeats(state, now, actions);
}

} // namespace azurewell::gateway
