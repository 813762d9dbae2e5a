#pragma once

#include "azurewell/gateway/gateway.h"

namespace azurewell::gateway {

/// Finds an upstream for a request that is not at one: sends it, has its adapter loaded, or
/// refuses.
void place(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Places the waiting requests whose adapter is ready, and refuses those that waited for too long.
void placeWaiting(GatewayState &state, Instant now, Actions &actions);

/// Requests that reached their deadline get their final answer.
void endOverdue(GatewayState &state, Instant now, Actions &actions);

/// What becomes of a load that is asked for.
enum class LoadProspect : std::uint8_t {
    Coming,    ///< It is on its way, or will be in time.
    StoreBusy, ///< The weight store cannot bring it in time, to whichever engine.
    NotHere,   ///< This host does not order there, or the engine has no place for it.
};

/// Asks for \a adapter to be loaded, at this host's own engines or by the host that orders there.
LoadProspect awaitLoad(GatewayState &state, const ModelName &adapter, const UpstreamNeed &need,
                       Instant now, Actions &actions);

/// Another host, or this one, wants an adapter at an engine.
LoadProspect wantLoad(GatewayState &state, const LoadRequest &request, Instant now);

/// The platform's weight store cannot bring an adapter in time: what waits for it is refused.
void refuseWaiting(GatewayState &state, const ModelName &adapter, Actions &actions);

/// Reports and orders that are due.
void runEngines(GatewayState &state, std::uint64_t wallMillis, Instant now, Actions &actions);

/// Heartbeats and news that are due.
void runGossip(GatewayState &state, Instant now, Actions &actions);

/// This host has begun to use an adapter at an engine, or still does.
void noteUse(GatewayState &state, const UpstreamId &engine, const ModelName &adapter, Instant now);

/// Tells the host that orders at \a engine which adapters this host uses there: it would evict an
/// adapter under a request that it does not know of.
void tellUse(GatewayState &state, const Upstream &engine, Instant now, Actions &actions);

/// How a customer's limit is read here, with the others as often heard as they are.
MeterLimits currentLimits(const GatewayState &state);

/// How \a name is called among the adapters of an engine.
AdapterRef refOf(const ModelName &name);

/// A uniform number in [0, 1).
double draw(GatewayState &state);

} // namespace azurewell::gateway
