#include "internal.h"

#include <algorithm>
#include <utility>

namespace azurewell::gateway {

namespace {

/// In a larger fleet, the uses of customers near their limit are sent at this interval.
constexpr Span usesUpdateInterval = std::chrono::milliseconds(200);

void addUses(const GatewayState &state, Gossip &message)
{
    for (const auto &[customer, meter] : state.meters) {
        if (meter.own.window.sum > 0)
            message.uses.push_back({ customer, meter.own.admitted, meter.own.window.sum });
    }
}

/// Adds what the coordinator has learnt from the prompts that it admitted.
void addPacing(const GatewayState &state, const Upstream &upstream, EngineUpdate &update,
               Instant now)
{
    const auto pacer = state.pacers.find(upstream.listed.id);
    if (pacer == state.pacers.end())
        return;
    const ReadWindow &window = pacer->second.window;
    const double rate = readRate(window, prefillRateOf(state, upstream.listed.service));
    if (window.readSeconds > 0)
        update.tokensPerSecond = static_cast<std::uint32_t>(rate);
    update.unreadTokens = static_cast<std::uint32_t>(unreadTokens(window, rate, now));
}

EngineUpdate updateOf(const GatewayState &state, const Upstream &upstream, Instant now)
{
    const auto engine = state.engines.find(upstream.listed.id);
    const bool isOrdering = engine != state.engines.end() && engine->second.rights.isCoordinating
            && !isStopping(state);
    EngineUpdate update{ upstream.listed.id, upstream.engine, isOrdering };
    addPacing(state, upstream, update, now);
    return update;
}

/// Returns the prompt tokens that this host recently sent to engines. Amounts below one small
/// prompt are left out.
std::vector<PromptWork> promptWorkOf(GatewayState &state, Instant now)
{
    constexpr double minTokens = 200;
    std::vector<PromptWork> work;
    std::erase_if(state.recentUpstreams, [&](const UpstreamId &id) {
        const auto upstream = state.upstreams.find(id);
        const double tokens = upstream == state.upstreams.end()
                ? 0
                : valueAt(upstream->second.ownPrompts, promptDecayTime, now);
        if (tokens >= minTokens)
            work.push_back({ id, tokens });
        return tokens < minTokens;
    });
    return work;
}

/// Returns the states of the engines that this host coordinates. If \a isChangedOnly, only those of
/// changed engines are returned.
std::vector<EngineUpdate> ownEngineUpdates(GatewayState &state, bool isChangedOnly, Instant now)
{
    std::vector<EngineUpdate> updates;
    for (const UpstreamId &id : state.ownEngines) {
        const auto upstream = state.upstreams.find(id);
        if (upstream == state.upstreams.end() || !upstream->second.engine.isSeen())
            continue;
        if ((!isChangedOnly || state.changedEngines.contains(id))
            && isOwnEngine(state, upstream->second, now)) {
            updates.push_back(updateOf(state, upstream->second, now));
            updates.back().slowdown = recentSlowdown(upstream->second.speed, now);
        }
    }
    return updates;
}

std::vector<PromptWork> newPromptWorkOf(GatewayState &state, Instant now)
{
    std::vector<PromptWork> work = promptWorkOf(state, now);
    std::erase_if(work, [&](const PromptWork &one) {
        return !state.enginesWithNewPrompts.contains(one.engine);
    });
    return work;
}

/// Returns this host's uses of the customers near their limit.
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

/// Returns the uses of customers near their limit that were not sent yet.
std::vector<CustomerUse> newUrgentUses(GatewayState &state, Instant now)
{
    std::vector<CustomerUse> uses = urgentUses(state, now);
    std::erase_if(uses, [&](const CustomerUse &use) {
        return std::exchange(state.sentUses[use.customer], use.admitted) == use.admitted;
    });
    return uses;
}

/// Sends new updates to all hosts directly, as small fleets do.
void sendUpdatesDirectly(GatewayState &state, Instant now, Actions &actions)
{
    Gossip message = messageHeader(state, now);
    message.engines = ownEngineUpdates(state, true, now);
    if (!state.enginesWithNewPrompts.empty()) {
        message.promptWork = newPromptWorkOf(state, now);
        message.uses = urgentUses(state, now);
        state.enginesWithNewPrompts.clear();
    }
    if (message.engines.empty() && message.promptWork.empty() && message.uses.empty())
        return;
    const MessageKind kind = message.engines.empty() ? MessageKind::CustomerUses
                                                     : MessageKind::EngineUpdate;
    const std::shared_ptr<const Gossip> shared = std::make_shared<const Gossip>(std::move(message));
    for (const auto &[id, member] : state.members.others) {
        if (now < member.nextHeartbeatAt && isMemberReachable(state.members, member, now))
            send(state, member.address, member.zone, kind, shared, actions);
    }
}

/// Whether \a host, which is in another zone, waits for a load at one of the engines of \a updates.
bool isLoadAwaitedBy(const GatewayState &state, const std::vector<EngineUpdate> &updates,
                     const HostId &host, Instant now)
{
    return std::any_of(updates.begin(), updates.end(), [&](const EngineUpdate &one) {
        const auto &requestingHosts = state.engines.at(one.engine).requestingHosts;
        const auto found = requestingHosts.find(host);
        return found != requestingHosts.end() && now < found->second;
    });
}

/// Sends changes at engines to the hosts of this zone and to those of other zones that wait for
/// them.
void sendEngineUpdates(GatewayState &state, const std::vector<EngineUpdate> &updates, Instant now,
                       Actions &actions)
{
    Gossip message = messageHeader(state, now);
    message.engines = updates;
    const std::shared_ptr<const Gossip> shared = std::make_shared<const Gossip>(std::move(message));
    for (const auto &[id, member] : state.members.others) {
        const bool isInZone = member.zone == state.self.zone;
        if (isMemberReachable(state.members, member, now)
            && (isInZone || isLoadAwaitedBy(state, updates, id, now)))
            send(state, member.address, member.zone, MessageKind::EngineUpdate, shared, actions);
    }
}

/// Sends new updates to the hosts of a large fleet: directly within the zone, through relays to
/// other zones.
void sendUpdatesByRelay(GatewayState &state, Instant now, Actions &actions)
{
    RelayedUpdate update;
    update.engines = ownEngineUpdates(state, true, now);
    if (!update.engines.empty())
        sendEngineUpdates(state, update.engines, now, actions);
    if (!state.enginesWithNewPrompts.empty() && now >= state.nextUsesAt) {
        update.uses = newUrgentUses(state, now);
        state.nextUsesAt = now + usesUpdateInterval;
        state.enginesWithNewPrompts.clear();
    }
    if (now >= state.nextFullUpdateAt) {
        Gossip all;
        addUses(state, all);
        update.uses = std::move(all.uses);
        update.engines = ownEngineUpdates(state, false, now);
        state.nextFullUpdateAt = now + state.members.plan.inOtherZones;
    }
    if (!update.engines.empty() || !update.uses.empty())
        sendToFleet(state, std::move(update), now, actions);
}

/// Reports the end of uses to the coordinators of the engines. With the next heartbeat it would
/// come up to seconds late, and the adapter would keep its slot without any use.
void sendEndedUses(GatewayState &state, Instant now, Actions &actions)
{
    for (const UpstreamId &id : std::exchange(state.enginesWithEndedUses, {})) {
        const auto engine = state.upstreams.find(id);
        if (engine != state.upstreams.end())
            sendAdapterUses(state, engine->second, now, actions);
    }
}

} // namespace

void addPeriodicUpdates(GatewayState &state, Gossip &message, Instant now)
{
    addUses(state, message);
    message.engines = ownEngineUpdates(state, false, now);
    message.promptWork = promptWorkOf(state, now);
}

void sendUpdates(GatewayState &state, Instant now, Actions &actions)
{
    markSlowedEngines(state, now);
    if (isSmallFleet(state))
        sendUpdatesDirectly(state, now, actions);
    else
        sendUpdatesByRelay(state, now, actions);
    sendEndedUses(state, now, actions);
    sendSuspicions(state, now, actions);
    sendLimits(state, now, actions);
    state.changedEngines.clear();
}

} // namespace azurewell::gateway
