#include "internal.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// Seeds are written to again while fewer hosts are known than the seeds name; later rarely, since
/// they may name hosts that are not there yet.
constexpr Span eagerSeedInterval = std::chrono::milliseconds(300);
constexpr Span calmSeedInterval = std::chrono::seconds(3);

constexpr std::size_t mostOthersOfSmallFleet = 12;

/// In a larger fleet, uses of customers near their limit are told after this time at the latest.
constexpr Span usesToldEvery = std::chrono::milliseconds(200);

/// What such customers use is known everywhere after this time: it has first to be noticed that
/// they are near their limit, by hosts that each see a small part of their requests.
constexpr Span usesKnownWithin = std::chrono::milliseconds(600);

/// In a small fleet, hosts of other zones are told of an engine at each change, and otherwise after
/// this time: bytes between zones are paid for, and the lists of adapters are most of a heartbeat.
/// One word may be lost before the news are out of date.
constexpr Span enginesToldEvery = std::chrono::milliseconds(700);

/// Members named in one heartbeat to a host that is new here, which has to learn of all soon, and
/// to one that is known.
constexpr std::size_t mostMembersToNew = 12;
constexpr std::size_t mostMembersToKnown = 2;

/// A host is new for so long after it or this one was first heard.
constexpr Span newFor = std::chrono::seconds(3);

constexpr Span tidyInterval = std::chrono::milliseconds(250);

/// Members that are heard, in turn from message to message.
void addMembers(GatewayState &state, Gossip &message, std::size_t most, Instant now)
{
    const std::map<HostId, Member> &others = state.members.others;
    auto next = others.upper_bound(state.lastMemberTold);
    for (std::size_t seen = 0; seen < others.size() && message.members.size() < most; ++seen) {
        if (next == others.end())
            next = others.begin();
        const Member &member = next->second;
        if (!member.isLeaving && isHeard(state.members, member, now)) {
            message.members.push_back({ member.id, member.zone, member.address, member.incarnation,
                                        now - member.heardAt });
        }
        state.lastMemberTold = member.id;
        ++next;
    }
}

std::size_t membersToTell(const GatewayState &state, const Member &to, Instant now)
{
    const bool isNew = now - state.startedAt < newFor || now - to.firstHeardAt < newFor;
    return isNew ? mostMembersToNew : mostMembersToKnown;
}

void addUses(const GatewayState &state, Gossip &message)
{
    for (const auto &[customer, meter] : state.meters) {
        if (meter.own.window.sum > 0)
            message.uses.push_back({ customer, meter.own.admitted, meter.own.window.sum });
    }
}

EngineNews newsOf(const Upstream &upstream)
{
    return { upstream.listed.id, upstream.engine };
}

/// What this host sent to engines lately. Less than one small prompt says nothing.
std::vector<PromptWork> workOf(GatewayState &state, Instant now)
{
    constexpr double fewestTokens = 200;
    std::vector<PromptWork> work;
    std::erase_if(state.sentTo, [&](const UpstreamId &id) {
        const auto upstream = state.upstreams.find(id);
        const double tokens = upstream == state.upstreams.end()
                ? 0
                : valueAt(upstream->second.ownPrompts, promptLife, now);
        if (tokens >= fewestTokens)
            work.push_back({ id, tokens });
        return tokens < fewestTokens;
    });
    return work;
}

/// All engines at which this host orders; only those with something new where \a isBrief.
std::vector<EngineNews> ownNews(GatewayState &state, bool isBrief, Instant now)
{
    std::vector<EngineNews> news;
    for (const UpstreamId &id : state.ownEngines) {
        const auto upstream = state.upstreams.find(id);
        if (upstream == state.upstreams.end() || !upstream->second.engine.isSeen())
            continue;
        if ((!isBrief || state.changedEngines.contains(id))
            && isOwnEngine(state, upstream->second, now))
            news.push_back(newsOf(upstream->second));
    }
    return news;
}

/// The adapters in use here at engines where \a holder orders.
std::vector<AdapterUse> usesFor(GatewayState &state, const HostId &holder, Instant now)
{
    std::set<UpstreamId> used;
    for (const auto &[place, use] : state.ownUses)
        used.insert(place.first);
    std::vector<AdapterUse> uses;
    for (const UpstreamId &id : used) {
        const auto upstream = state.upstreams.find(id);
        if (upstream == state.upstreams.end()
            || askedHolder(state, upstream->second, now) != holder)
            continue;
        const std::vector<AdapterUse> here = takeUntold(state.ownUses, id);
        uses.insert(uses.end(), here.begin(), here.end());
    }
    return uses;
}

std::vector<PromptWork> newWorkOf(GatewayState &state, Instant now)
{
    std::vector<PromptWork> work = workOf(state, now);
    std::erase_if(work, [&](const PromptWork &one) { return !state.newWork.contains(one.engine); });
    return work;
}

/// Uses of customers that have used much of their room.
std::vector<CustomerUse> urgentUses(const GatewayState &state, Instant now)
{
    std::vector<CustomerUse> uses;
    const MeterLimits limits = currentLimits(state);
    const MeterStart start = meterStart(state, now);
    for (const Customer &customer : state.configuration.customers) {
        const auto meter = state.meters.find(customer.id);
        if (meter == state.meters.end()
            || !isNearLimit(meter->second, customer, limits, start, now))
            continue;
        const HostUse &own = meter->second.own;
        uses.push_back({ customer.id, own.admitted, own.window.sum });
    }
    return uses;
}

/// How often \a member is told of this host's engines though nothing changed there.
Span enginesInterval(const GatewayState &state, const Member &member)
{
    const bool isRarely = isSmallFleet(state) && member.zone != state.self.zone;
    return isRarely ? enginesToldEvery : Span{};
}

/// What this host tells regularly of engines, of work and of customers' uses. In a large fleet the
/// other zones are told by relays.
void addRegularNews(GatewayState &state, Gossip &message, Instant now)
{
    addUses(state, message);
    message.engines = ownNews(state, false, now);
    message.promptWork = workOf(state, now);
}

/// Sends to the members whose heartbeat is due all that this host tells regularly.
void sendHeartbeats(GatewayState &state, Instant now, Actions &actions)
{
    std::vector<Member *> due;
    while (const std::optional<HostId> id = state.members.heartbeats.takeDue(now))
        due.push_back(&state.members.others.at(*id));
    if (due.empty())
        return;
    const Gossip bare = blankGossip(state, now);
    Gossip full = bare;
    addRegularNews(state, full, now);
    for (Member *member : due) {
        setHeartbeat(state.members, *member, now + heartbeatInterval(state.members, *member));
        const bool isToldByRelay = !isSmallFleet(state) && member->zone != state.self.zone;
        Gossip message = isToldByRelay ? bare : full;
        if (now < member->nextEnginesAt)
            message.engines.clear();
        else
            member->nextEnginesAt = now + enginesInterval(state, *member);
        addMembers(state, message, membersToTell(state, *member, now), now);
        message.adapterUses = usesFor(state, member->id, now);
        send(state, member->address, member->zone, MessageKind::Heartbeat, std::move(message),
             actions);
    }
}

/// Uses of customers near their limit that the others were not told of yet.
std::vector<CustomerUse> newUrgentUses(GatewayState &state, Instant now)
{
    std::vector<CustomerUse> uses = urgentUses(state, now);
    std::erase_if(uses, [&](const CustomerUse &use) {
        return std::exchange(state.toldUses[use.customer], use.admitted) == use.admitted;
    });
    return uses;
}

/// Tells all hosts at once of what is new, as it is done in a small fleet.
void tellEachOther(GatewayState &state, Instant now, Actions &actions)
{
    Gossip message = blankGossip(state, now);
    message.engines = ownNews(state, true, now);
    if (!state.newWork.empty()) {
        message.promptWork = newWorkOf(state, now);
        message.uses = urgentUses(state, now);
        state.newWork.clear();
    }
    if (message.engines.empty() && message.promptWork.empty() && message.uses.empty())
        return;
    const MessageKind kind = message.engines.empty() ? MessageKind::CustomerUses
                                                     : MessageKind::EngineNews;
    const std::shared_ptr<const Gossip> shared = std::make_shared<const Gossip>(std::move(message));
    for (const auto &[id, member] : state.members.others) {
        if (now < member.nextHeartbeatAt && isHeard(state.members, member, now))
            send(state, member.address, member.zone, kind, shared, actions);
    }
}

/// Whether a host of another zone waits for a load at one of the engines of \a news.
bool isAwaitedBy(const GatewayState &state, const std::vector<EngineNews> &news, const HostId &host,
                 Instant now)
{
    return std::any_of(news.begin(), news.end(), [&](const EngineNews &one) {
        const auto &awaitedBy = state.engines.at(one.engine).awaitedBy;
        const auto found = awaitedBy.find(host);
        return found != awaitedBy.end() && now < found->second;
    });
}

/// Tells the hosts of this zone of changes at engines, and those of other zones that wait for them.
void tellOfEngines(GatewayState &state, const std::vector<EngineNews> &news, Instant now,
                   Actions &actions)
{
    Gossip message = blankGossip(state, now);
    message.engines = news;
    const std::shared_ptr<const Gossip> shared = std::make_shared<const Gossip>(std::move(message));
    for (const auto &[id, member] : state.members.others) {
        const bool isNear = member.zone == state.self.zone;
        if (isHeard(state.members, member, now) && (isNear || isAwaitedBy(state, news, id, now)))
            send(state, member.address, member.zone, MessageKind::EngineNews, shared, actions);
    }
}

/// Tells the hosts of a large fleet of what is new: those near at once, the others by relays.
void tellByRelays(GatewayState &state, Instant now, Actions &actions)
{
    RelayedNews news;
    news.engines = ownNews(state, true, now);
    if (!news.engines.empty())
        tellOfEngines(state, news.engines, now, actions);
    if (!state.newWork.empty() && now >= state.nextUsesAt) {
        news.uses = newUrgentUses(state, now);
        state.nextUsesAt = now + usesToldEvery;
        state.newWork.clear();
    }
    if (now >= state.nextOwnNewsAt) {
        Gossip all;
        addUses(state, all);
        news.uses = std::move(all.uses);
        news.engines = ownNews(state, false, now);
        state.nextOwnNewsAt = now + state.members.plan.elsewhere;
    }
    if (!news.engines.empty() || !news.uses.empty())
        tellFleet(state, std::move(news), now, actions);
}

void sendNews(GatewayState &state, Instant now, Actions &actions)
{
    if (isSmallFleet(state))
        tellEachOther(state, now, actions);
    else
        tellByRelays(state, now, actions);
    state.changedEngines.clear();
}

void writeToSeeds(GatewayState &state, Instant now, Actions &actions)
{
    if (now < state.nextSeedsAt)
        return;
    const bool isAlone = countHeard(state.members, now) < state.self.seeds.size();
    state.nextSeedsAt = now + (isAlone ? eagerSeedInterval : calmSeedInterval);
    for (const Endpoint &seed : state.self.seeds) {
        const auto &others = state.members.others;
        const bool isHeardOf = std::any_of(others.begin(), others.end(), [&](const auto &entry) {
            return entry.second.address == seed && isHeard(state.members, entry.second, now);
        });
        if (seed == state.self.address || isHeardOf)
            continue;
        Gossip message = blankGossip(state, now);
        addMembers(state, message, mostMembersToNew, now);
        // A seed's zone is not known yet.
        send(state, seed, state.self.zone, MessageKind::ToSeed, std::move(message), actions);
    }
}

/// Adapters that nobody asks for any more are forgotten, and so are uses at this host's own
/// engines, which nobody has to be told of.
void tidyUses(GatewayState &state, Instant now)
{
    if (now < state.nextTidyAt)
        return;
    state.nextTidyAt = now + tidyInterval;
    std::erase_if(state.adapterDemand,
                  [now](const auto &entry) { return valueAt(entry.second, demandLife, now) < 1; });
    usesFor(state, state.self.id, now);
    std::erase_if(state.ownUses, [&](const auto &entry) {
        return entry.second.running == 0 && !state.upstreams.contains(entry.first.first);
    });
    for (auto &[id, engine] : state.engines) {
        tidy(engine.pacer, now);
        std::erase_if(engine.awaitedBy, [now](const auto &asker) { return now >= asker.second; });
        std::erase_if(engine.awaitedUntil, [now](const auto &load) { return now >= load.second; });
    }
    for (auto &[customer, meter] : state.meters)
        slide(meter.own.window, state.self.meterLimits.window, now);
}

} // namespace

bool isSmallFleet(const GatewayState &state)
{
    return state.members.others.size() <= mostOthersOfSmallFleet;
}

void send(const GatewayState &state, const Endpoint &address, const ZoneId &zone, MessageKind kind,
          const std::shared_ptr<const Gossip> &message, Actions &actions)
{
    actions.gossip.push_back({ address, message, kind, zone != state.self.zone });
}

void send(const GatewayState &state, const Endpoint &address, const ZoneId &zone, MessageKind kind,
          Gossip message, Actions &actions)
{
    send(state, address, zone, kind, std::make_shared<const Gossip>(std::move(message)), actions);
}

void sendTo(const GatewayState &state, const HostId &host, MessageKind kind, Gossip message,
            Actions &actions)
{
    const Member &member = state.members.others.at(host);
    send(state, member.address, member.zone, kind, std::move(message), actions);
}

Gossip blankGossip(const GatewayState &state, Instant now)
{
    Gossip message;
    message.from = state.self.id;
    message.zone = state.self.zone;
    message.address = state.self.address;
    message.incarnation = state.self.incarnation;
    message.linkMbps = state.self.linkMbps;
    message.isLeaving = isStopping(state);
    message.runningFor = now - state.startedAt;
    message.platform = state.platform;
    message.revision = state.published.revision;
    message.newestChange = state.published.newestChange;
    message.highestFencing = state.highestFencing;
    return message;
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
    limits.toldEvery = isSmallFleet(state) ? tickInterval : usesKnownWithin;
    return limits;
}

void runGossip(GatewayState &state, Instant now, Actions &actions)
{
    tidyUses(state, now);
    writeToSeeds(state, now, actions);
    sendNews(state, now, actions);
    runRelay(state, now, actions);
    sendHeartbeats(state, now, actions);
}

} // namespace azurewell::gateway
