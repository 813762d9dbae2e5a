#pragma once

#include "internal.h"

namespace azurewell::gateway {

/// A report may not show yet what was ordered so long before it was asked for.
inline constexpr Span reportLag = std::chrono::milliseconds(250);

/// Requests that asked for a load use it so soon after a report shows its end: their hosts have to
/// hear of it and to ask for a turn.
inline constexpr Span takenWithin = std::chrono::milliseconds(400);

ModelName nameOf(const AdapterRef &ref);

/// What an adapter is in on an engine, as far as this host moved it.
AdapterState stateOf(const OrderedEngine &engine, const AdapterRef &ref);

/// Moves an adapter on an engine by its chart.
void move(const GatewayState &state, OrderedEngine &engine, const AdapterRef &ref,
          AdapterEvent event, Instant now);

/// What the configuration says of the engines of \a upstream's service; null where it has none.
const EngineLimits *limitsOf(const GatewayState &state, const Upstream &upstream);

/// Whether the engine has an adapter in its host's memory, as far as known.
bool isHeldLately(const OrderedEngine &engine, const AdapterRef &ref);

/// Whether requests use an adapter, or wait for it.
bool isUsed(const GatewayState &state, const OrderedEngine &engine, const UpstreamId &id,
            const AdapterRef &ref, Instant now);

/// Orders what is due at an engine, if this host may order there.
void giveOrders(GatewayState &state, Upstream &upstream, OrderedEngine &engine,
                std::uint64_t wallMillis, Instant now, Actions &actions);

/// Asks \a upstream for a report where one is due. \a isOwn: this host orders there.
void askReport(const GatewayState &state, const Upstream &upstream, OrderedEngine &engine,
               bool isOwn, Instant now, Actions &actions);

/// When \a upstream is asked for a report, or its last one is given up.
Instant reportDueAt(const GatewayState &state, const Upstream &upstream,
                    const OrderedEngine &engine, bool isOwn);

/// Whether as many loads are on their way as the weight store brings at full speed.
bool isStoreFull(const GatewayState &state, Instant now);

/// Whether a load of an adapter of \a model that waits for the weight store behind those that wait
/// at this host would begin too late.
bool isStoreQueueFull(const GatewayState &state, const std::string &model);

} // namespace azurewell::gateway
