#include "internal.h"

#include <set>

namespace azurewell::gateway {

namespace {

/// Returns the part of \a update that the origin has not sent to the hosts of its zone itself.
RelayedUpdate forOwnZone(const RelayedUpdate &update)
{
    return { update.origin, update.incarnation, update.uses, {}, update.crashes, update.limits };
}

std::shared_ptr<const Gossip> messageOf(const GatewayState &state,
                                        std::vector<RelayedUpdate> updates, RelayScope scope,
                                        Instant now)
{
    Gossip message = messageHeader(state, now);
    message.relayed = std::move(updates);
    message.relayTo = scope;
    return std::make_shared<const Gossip>(std::move(message));
}

/// Sends the collected updates to the hosts of this zone. An empty message shows the requesters
/// that this relay is alive.
void sendToZone(GatewayState &state, Instant now, Actions &actions)
{
    std::vector<std::vector<RelayedUpdate>> parts = splitUpdates(state.relay.toZone);
    state.relay.toZone.clear();
    if (parts.empty() && state.relay.isReplyDue)
        parts.emplace_back();
    state.relay.isReplyDue = false;
    for (std::vector<RelayedUpdate> &part : parts) {
        const std::shared_ptr<const Gossip> message = messageOf(state, std::move(part),
                                                                RelayScope::None, now);
        for (const auto &[id, member] : state.members.others) {
            if (member.zone == state.self.zone && isAlive(state.members, id, now)) {
                send(state, member.address, member.zone, MessageKind::RelayedUpdate, message,
                     actions);
            }
        }
    }
}

std::set<ZoneId> otherZones(const GatewayState &state)
{
    std::set<ZoneId> zones;
    for (const auto &[id, member] : state.members.others) {
        if (member.zone != state.self.zone)
            zones.insert(member.zone);
    }
    return zones;
}

/// Sends the collected updates to one host of each other zone, which relays them there.
void sendToOtherZones(GatewayState &state, Instant now, Actions &actions)
{
    const std::vector<std::vector<RelayedUpdate>> parts = splitUpdates(state.relay.toOtherZones);
    state.relay.toOtherZones.clear();
    if (parts.empty())
        return;
    const std::set<ZoneId> zones = otherZones(state);
    for (const std::vector<RelayedUpdate> &part : parts) {
        const std::shared_ptr<const Gossip> message = messageOf(state, part, RelayScope::Zone, now);
        for (const ZoneId &zone : zones) {
            const Member *relay = selectRelay(state.members, zone, now);
            if (relay)
                send(state, relay->address, zone, MessageKind::RelayRequest, message, actions);
        }
    }
}

void collect(GatewayState &state, const RelayedUpdate &update, RelayScope scope)
{
    if (scope == RelayScope::Zone)
        mergeUpdate(state.relay.toZone, update);
    if (scope != RelayScope::Fleet)
        return;
    mergeUpdate(state.relay.toOtherZones, update);
    if (!update.uses.empty() || !update.crashes.empty() || !update.limits.empty())
        mergeUpdate(state.relay.toZone, forOwnZone(update));
}

void handleUpdate(GatewayState &state, const RelayedUpdate &update, Instant now, Actions &actions)
{
    if (update.origin == state.self.id)
        return;
    handleUses(state, update.origin, update.incarnation, update.uses, now);
    for (const EngineUpdate &engine : update.engines)
        handleEngineUpdate(state, update.origin, engine, now);
    handleSuspicions(state, update.crashes, now, actions);
    handleLimits(state, update.limits, actions);
}

} // namespace

void sendToFleet(GatewayState &state, RelayedUpdate update, Instant now, Actions &actions)
{
    update.origin = state.self.id;
    update.incarnation = state.self.incarnation;
    const Member *relay = selectRelay(state.members, state.self.zone, now);
    if (!relay) {
        collect(state, update, RelayScope::Fleet);
        return;
    }
    send(state, relay->address, relay->zone, MessageKind::RelayRequest,
         messageOf(state, { std::move(update) }, RelayScope::Fleet, now), actions);
}

void sendToAll(GatewayState &state, MessageKind kind, RelayedUpdate update, Instant now,
               Actions &actions)
{
    if (!isSmallFleet(state)) {
        sendToFleet(state, std::move(update), now, actions);
        return;
    }
    Gossip message = messageHeader(state, now);
    message.crashes = std::move(update.crashes);
    message.limits = std::move(update.limits);
    const std::shared_ptr<const Gossip> shared = std::make_shared<const Gossip>(std::move(message));
    for (const auto &[id, member] : state.members.others)
        send(state, member.address, member.zone, kind, shared, actions);
}

void handleRelayed(GatewayState &state, const Gossip &message, Instant now, Actions &actions)
{
    for (const RelayedUpdate &update : message.relayed) {
        handleUpdate(state, update, now, actions);
        collect(state, update, message.relayTo);
    }
    if (message.relayTo == RelayScope::None)
        return;
    if (message.zone == state.self.zone) {
        state.relay.isReplyDue = true;
        return;
    }
    send(state, message.address, message.zone, MessageKind::RelayAnswer, messageHeader(state, now),
         actions);
}

void runRelay(GatewayState &state, Instant now, Actions &actions)
{
    const ZoneRelay &relay = state.relay;
    const bool hasWork = relay.isReplyDue || !relay.toZone.empty() || !relay.toOtherZones.empty();
    if (!hasWork || now < relay.nextAt)
        return;
    state.relay.nextAt = now + relayInterval;
    sendToZone(state, now, actions);
    sendToOtherZones(state, now, actions);
}

} // namespace azurewell::gateway
