#include "internal.h"

namespace azurewell::gateway {

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

Gossip messageHeader(const GatewayState &state, Instant now)
{
    Gossip message;
    message.from = state.self.id;
    message.zone = state.self.zone;
    message.address = state.self.address;
    message.incarnation = state.self.incarnation;
    message.linkMbps = state.self.linkMbps;
    message.isLeaving = isStopping(state);
    message.isOverloaded = state.isOverloaded;
    message.runningFor = now - state.startedAt;
    message.platform = state.platform;
    message.position = state.published.position;
    message.newestChange = state.published.newestChange;
    message.holdsItems = !state.published.held.empty() || !state.published.givenUp.empty();
    message.mixedServices = mixedServices(state, now);
    message.unreachableServices = state.members.unreachableServices;
    return message;
}

} // namespace azurewell::gateway
