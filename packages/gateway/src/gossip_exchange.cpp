#include "internal.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Between heartbeats to one host. Four are missed before a host counts as silent.
constexpr Span shortestHeartbeat = std::chrono::milliseconds(250);

/// Messages a host sends as heartbeats in a second at the most: with more hosts than this allows at
/// the shortest interval, heartbeats come less often.
constexpr double mostHeartbeatsPerSecond = 48;

/// Seeds are written to again while fewer hosts are known than the seeds name; later rarely, since
/// they may name hosts that are not there yet.
constexpr Span eagerSeedInterval = std::chrono::milliseconds(300);
constexpr Span calmSeedInterval = std::chrono::seconds(3);

/// Another host gets published changes from this one again no sooner: it may just read them itself.
constexpr Span changesInterval = std::chrono::milliseconds(200);

/// With up to so many others, each learns at the next tick of prompts sent to engines and of what
/// customers near their limit used. In a larger fleet that would be too many messages: each host
/// has a smaller part in it, and tells with its heartbeats.
constexpr std::size_t mostToldAtOnce = 12;

/// Items in one message are kept under this, in bytes: the rest follows with the next heartbeat.
constexpr std::size_t mostChangeBytes = 40ULL * 1024;

Gossip blank(const GatewayState &state)
{
    Gossip message;
    message.from = state.self.id;
    message.zone = state.self.zone;
    message.address = state.self.address;
    message.incarnation = state.self.incarnation;
    message.isLeaving = isStopping(state);
    message.revision = state.published.revision;
    message.highestFencing = state.highestFencing;
    return message;
}

void addMembers(const GatewayState &state, Gossip &message, Instant now)
{
    for (const auto &[id, member] : state.members.others) {
        if (!member.isLeaving && isHeard(member, now))
            message.members.push_back(
                    { id, member.zone, member.address, member.incarnation, now - member.heardAt });
    }
}

void addUses(const GatewayState &state, Gossip &message)
{
    for (const auto &[customer, meter] : state.meters) {
        if (meter.own.admitted > 0)
            message.uses.push_back({ customer, meter.own.admitted, meter.own.window.sum });
    }
}

EngineNews newsOf(const Upstream &upstream)
{
    return { upstream.listed.id, upstream.engine };
}

/// What this host sent to engines lately. Less than one small prompt says nothing.
std::vector<PromptWork> workOf(const GatewayState &state, Instant now)
{
    constexpr double fewestTokens = 200;
    std::vector<PromptWork> work;
    for (const auto &[id, upstream] : state.upstreams) {
        const double tokens = valueAt(upstream.ownPrompts, promptLife, now);
        if (tokens >= fewestTokens)
            work.push_back({ id, tokens });
    }
    return work;
}

/// All engines at which this host orders; only those with something new where \a isBrief.
std::vector<EngineNews> ownNews(const GatewayState &state, bool isBrief, Instant now)
{
    std::vector<EngineNews> news;
    for (const auto &[id, engine] : state.engines) {
        const auto upstream = state.upstreams.find(id);
        if (upstream == state.upstreams.end() || !upstream->second.engine.isSeen())
            continue;
        const bool isOwn = presumedHolder(upstream->second, state.members, now) == state.self.id;
        if (isOwn && (engine.isNews || !isBrief))
            news.push_back(newsOf(upstream->second));
    }
    return news;
}

/// The adapters in use here at engines where \a holder orders.
std::vector<AdapterUse> usesFor(GatewayState &state, const HostId &holder, Instant now)
{
    std::vector<AdapterUse> uses;
    for (const auto &[id, upstream] : state.upstreams) {
        if (presumedHolder(upstream, state.members, now) != holder)
            continue;
        const std::vector<AdapterUse> here = takeUntold(state.ownUses, id);
        uses.insert(uses.end(), here.begin(), here.end());
    }
    return uses;
}

/// Adapters that nobody asks for any more are forgotten, and so are uses at this host's own
/// engines, which nobody has to be told of.
void dropOldUses(GatewayState &state, Instant now)
{
    std::erase_if(state.adapterDemand,
                  [now](const auto &entry) { return valueAt(entry.second, demandLife, now) < 1; });
    usesFor(state, state.self.id, now);
}

std::vector<PromptWork> newWorkOf(const GatewayState &state, Instant now)
{
    std::vector<PromptWork> work = workOf(state, now);
    std::erase_if(work, [&](const PromptWork &one) { return !state.newWork.contains(one.engine); });
    return work;
}

Span heartbeatInterval(const GatewayState &state)
{
    const double others = static_cast<double>(state.members.others.size());
    return std::max(shortestHeartbeat, fromSeconds(others / mostHeartbeatsPerSecond));
}

bool isSmallFleet(const GatewayState &state)
{
    return state.members.others.size() <= mostToldAtOnce;
}

/// Uses of customers that have used much of their room.
std::vector<CustomerUse> urgentUses(const GatewayState &state)
{
    std::vector<CustomerUse> uses;
    const MeterLimits limits = currentLimits(state);
    for (const Customer &customer : state.configuration.customers) {
        const auto meter = state.meters.find(customer.id);
        if (meter == state.meters.end() || !isNearLimit(meter->second, customer, limits))
            continue;
        const HostUse &own = meter->second.own;
        uses.push_back({ customer.id, own.admitted, own.window.sum });
    }
    return uses;
}

void sendHeartbeats(GatewayState &state, Instant now, Actions &actions)
{
    dropOldUses(state, now);
    Gossip common = blank(state);
    addMembers(state, common, now);
    addUses(state, common);
    common.engines = ownNews(state, false, now);
    common.promptWork = workOf(state, now);
    for (const auto &[id, member] : state.members.others) {
        Gossip message = common;
        message.adapterUses = usesFor(state, id, now);
        actions.gossip.push_back({ member.address, std::move(message) });
    }
    for (auto &[id, engine] : state.engines)
        engine.isNews = false;
}

void sendNews(GatewayState &state, Instant now, Actions &actions)
{
    const bool isAny = std::any_of(state.engines.begin(), state.engines.end(),
                                   [](const auto &entry) { return entry.second.isNews; });
    const bool isWork = !state.newWork.empty() && isSmallFleet(state);
    if (!isAny && !isWork)
        return;
    Gossip message = blank(state);
    message.engines = ownNews(state, true, now);
    if (isWork) {
        message.promptWork = newWorkOf(state, now);
        message.uses = urgentUses(state);
    }
    for (auto &[id, engine] : state.engines)
        engine.isNews = false;
    state.newWork.clear();
    if (message.engines.empty() && message.promptWork.empty())
        return;
    for (const auto &[id, member] : state.members.others) {
        if (isHeard(member, now))
            actions.gossip.push_back({ member.address, message });
    }
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
            return entry.second.address == seed && isHeard(entry.second, now);
        });
        if (seed == state.self.address || isHeardOf)
            continue;
        Gossip message = blank(state);
        addMembers(state, message, now);
        actions.gossip.push_back({ seed, std::move(message) });
    }
}

/// Sends published changes to a host that lacks them.
void sendChanges(GatewayState &state, const Gossip &to, Instant now, Actions &actions)
{
    if (to.revision >= newestChange(state.published))
        return;
    Instant &sentAt = state.changesSentAt[to.from];
    if (now - sentAt < changesInterval)
        return;
    sentAt = now;
    PublishedChanges changes = changesAfter(state.published, to.revision);
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < changes.items.size()) {
        bytes += changes.items[kept].value.size() + changes.items[kept].key.size();
        if (kept > 0 && bytes > mostChangeBytes)
            break;
        ++kept;
    }
    if (kept < changes.items.size()) {
        changes.items.resize(kept);
        changes.upTo = changes.items.back().revision;
    }
    Gossip message = blank(state);
    message.changes.push_back(std::move(changes));
    actions.gossip.push_back({ to.address, std::move(message) });
}

/// Takes the news of the host that orders at an engine. News of what was seen earlier than what is
/// known here is dropped.
void takeNews(GatewayState &state, const EngineNews &news, Instant now)
{
    const auto found = state.upstreams.find(news.engine);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    noteNews(state.engines[news.engine].rights, news.state, now);
    if (news.state.seenAt < upstream.engine.seenAt)
        return;
    setEngine(upstream, news.state, now);
    if (news.state.seenAt > upstream.loadAt) {
        upstream.load = { news.state.running, news.state.waiting, upstream.listed.slots };
        upstream.loadAt = news.state.seenAt;
    }
}

void takeUses(GatewayState &state, const Gossip &message, Instant now)
{
    for (const AdapterUse &use : message.adapterUses) {
        OrderedEngine &engine = state.engines[use.engine];
        const AdapterRef ref = refOf(use.adapter);
        noteOtherUse(engine.otherUses, ref, message.from, use.isRunning, now);
        if (use.begun > 0 && engine.adapters.adapters.contains(ref))
            noteUses(engine.adapters, ref, use.begun, now);
    }
}

void answerLoadRequest(GatewayState &state, const LoadRequest &request, const Endpoint &asker,
                       Instant now, Actions &actions)
{
    const LoadProspect prospect = wantLoad(state, request, now);
    if (prospect == LoadProspect::Coming)
        return;
    const bool isStoreBusy = prospect == LoadProspect::StoreBusy;
    SendGossip reply{ asker, blank(state) };
    reply.message.loadRefusals.push_back({ request.engine, request.adapter, isStoreBusy });
    actions.gossip.push_back(std::move(reply));
}

/// A load that was asked for is not carried out.
void takeRefusal(GatewayState &state, const LoadRefusal &refusal, Instant now, Actions &actions)
{
    const auto awaited = state.awaitedLoads.find(refusal.adapter);
    if (awaited == state.awaitedLoads.end() || awaited->second.engine != refusal.engine)
        return;
    awaited->second.refusedBy.insert(refusal.engine);
    awaited->second.otherEngineAt = now;
    if (refusal.isStoreBusy)
        refuseWaiting(state, refusal.adapter, actions);
}

} // namespace

void handle(GatewayState &state, const Gossip &message, Instant now, Actions &actions)
{
    ++state.counters.gossipReceived;
    const bool isNew = !state.members.others.contains(message.from);
    if (!noteMember(state.members,
                    { message.from, message.zone, message.address, message.incarnation, now, now,
                      message.isLeaving, false }))
        return;
    if (isNew) {
        actions.notes.push_back({ "peer_found", { { "peer", message.from.value } } });
        state.nextHeartbeatAt = std::min(state.nextHeartbeatAt, now);
    }
    state.highestFencing = std::max(state.highestFencing, message.highestFencing);
    for (const MemberNews &member : message.members) {
        noteRumour(state.members,
                   { member.id, member.zone, member.address, member.incarnation,
                     now - member.silentFor, now - member.silentFor, false, false });
    }
    for (const CustomerUse &use : message.uses)
        noteAdmittedElsewhere(state.meters[use.customer], message.from, message.incarnation,
                              use.admitted, use.inWindow, state.self.meterLimits, now);
    for (const EngineNews &news : message.engines)
        takeNews(state, news, now);
    takeUses(state, message, now);
    for (const PromptWork &work : message.promptWork) {
        const auto upstream = state.upstreams.find(work.engine);
        if (upstream != state.upstreams.end())
            upstream->second.otherPrompts[message.from] = { work.tokens, now };
    }
    for (const LoadRequest &request : message.loadRequests)
        answerLoadRequest(state, request, message.address, now, actions);
    for (const LoadRefusal &refusal : message.loadRefusals)
        takeRefusal(state, refusal, now, actions);
    for (const PublishedChanges &changes : message.changes) {
        const std::vector<PublishedItem> items = takeChanges(state.published, changes);
        state.undecoded.insert(state.undecoded.end(), items.begin(), items.end());
    }
    if (!message.engines.empty() || !message.loadRefusals.empty())
        placeWaiting(state, now, actions);
    sendChanges(state, message, now, actions);
}

LoadProspect awaitLoad(GatewayState &state, const ModelName &adapter, const UpstreamNeed &need,
                       Instant now, Actions &actions)
{
    /// A word to another host is repeated after this time: it may be lost.
    constexpr Span askAgain = std::chrono::milliseconds(150);
    /// Another engine is asked when the load has not come by then.
    constexpr Span otherEngineAfter = std::chrono::milliseconds(600);

    AwaitedLoad &awaited = state.awaitedLoads[adapter];
    const auto present = state.upstreams.find(awaited.engine);
    const bool isGone = present == state.upstreams.end() || !isUsable(present->second, now);
    if (isGone || now >= awaited.otherEngineAt) {
        UpstreamNeed other = need;
        other.excluded.insert(awaited.refusedBy.begin(), awaited.refusedBy.end());
        const Service *service = findService(state.configuration, need.service);
        const Upstream *engine = chooseEngineToLoad(
                state.upstreams, other, service->engine ? service->engine->adapterPlaces : 0, now);
        if (!engine) {
            state.awaitedLoads.erase(adapter);
            return LoadProspect::NotHere;
        }
        awaited.engine = engine->listed.id;
        awaited.otherEngineAt = now + otherEngineAfter;
        awaited.askAgainAt = now;
    }
    if (now < awaited.askAgainAt)
        return LoadProspect::Coming;
    awaited.askAgainAt = now + askAgain;
    const Upstream &engine = state.upstreams.at(awaited.engine);
    if (engine.engine.isLoading(adapter))
        return LoadProspect::Coming;
    const LoadRequest request{ awaited.engine, adapter };
    const HostId holder = presumedHolder(engine, state.members, now);
    if (holder == state.self.id) {
        const LoadProspect prospect = wantLoad(state, request, now);
        if (prospect == LoadProspect::NotHere) {
            awaited.refusedBy.insert(awaited.engine);
            awaited.otherEngineAt = now;
            return LoadProspect::Coming;
        }
        if (prospect == LoadProspect::StoreBusy)
            state.awaitedLoads.erase(adapter);
        return prospect;
    }
    Gossip message = blank(state);
    message.loadRequests.push_back(request);
    actions.gossip.push_back({ state.members.others.at(holder).address, std::move(message) });
    return LoadProspect::Coming;
}

void tellUse(GatewayState &state, const Upstream &engine, Instant now, Actions &actions)
{
    const HostId holder = presumedHolder(engine, state.members, now);
    if (holder == state.self.id)
        return;
    Gossip message = blank(state);
    message.adapterUses = takeUntold(state.ownUses, engine.listed.id);
    actions.gossip.push_back({ state.members.others.at(holder).address, std::move(message) });
}

MeterLimits currentLimits(const GatewayState &state)
{
    MeterLimits limits = state.self.meterLimits;
    limits.toldEvery = isSmallFleet(state) ? tickInterval : heartbeatInterval(state);
    return limits;
}

void runGossip(GatewayState &state, Instant now, Actions &actions)
{
    writeToSeeds(state, now, actions);
    if (now >= state.nextHeartbeatAt) {
        state.nextHeartbeatAt = now + heartbeatInterval(state);
        sendHeartbeats(state, now, actions);
    } else {
        sendNews(state, now, actions);
    }
}

} // namespace azurewell::gateway
