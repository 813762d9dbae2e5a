#pragma once

#include "internal.h"

namespace azurewell::gateway {

/// A report may not show orders that were given less than this before it was requested.
inline constexpr Span reportLag = std::chrono::milliseconds(250);

/// Time from the report of a finished load until the requests that wait for it use the adapter:
/// their hosts have to be notified and to request admission.
inline constexpr Span firstUseTimeout = std::chrono::milliseconds(400);

ModelName nameOf(const AdapterRef &ref);

/// State of an adapter on an engine, as tracked by this host.
AdapterState stateOf(const OrderedEngine &engine, const AdapterRef &ref);

/// Applies \a event to the state chart of an adapter.
void applyAdapterEvent(const GatewayState &state, OrderedEngine &engine, const AdapterRef &ref,
                       AdapterEvent event, Instant now);

/// The configured limits of the engines of \a upstream's service; null if there are none.
const EngineLimits *limitsOf(const GatewayState &state, const Upstream &upstream);

/// Whether the engine presumably has the adapter in its host memory.
bool isInHostMemory(const OrderedEngine &engine, const AdapterRef &ref);

/// Whether requests use the adapter or wait for it.
bool isUsed(const GatewayState &state, const OrderedEngine &engine, const UpstreamId &id,
            const AdapterRef &ref, Instant now);

/// Gives the orders that are due at an engine, if this host may order there.
void giveOrders(GatewayState &state, Upstream &upstream, OrderedEngine &engine, Instant now,
                Actions &actions);

/// Queries \a upstream for a report if one is due. \a isOwn: this host coordinates the engine.
void queryReport(const GatewayState &state, const Upstream &upstream, OrderedEngine &engine,
                 bool isOwn, Instant now, Actions &actions);

/// When \a upstream is next queried, or the pending query times out.
Instant reportDueAt(const GatewayState &state, const Upstream &upstream,
                    const OrderedEngine &engine, bool isOwn);

/// Whether as many loads are in progress as the weight store delivers at full speed.
bool isStoreFull(const GatewayState &state, Instant now);

/// Whether a further load of an adapter of \a model would start too late, behind the loads that
/// wait for the weight store at this host.
bool isStoreQueueFull(const GatewayState &state, const std::string &model);

} // namespace azurewell::gateway
