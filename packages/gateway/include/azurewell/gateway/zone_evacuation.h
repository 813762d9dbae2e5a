#pragma once

#include "azurewell/gateway/events.h"
#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <map>

namespace azurewell::gateway {

struct GatewayState;
struct Upstream;

/// Zones that the operator evacuates, with the time at which their upstreams get no more requests.
///
/// Load pattern: a third of all engines leaves at once, together with the only copies of a third of
/// the popular adapters. A host that stopped in the moment in which it learns of it would send all
/// their callers to the weight store at once. Until the time runs out, which starts with the
/// operator's confirmation and not with the host's knowledge, the engines go on serving while their
/// adapters are loaded elsewhere.
struct ZoneEvacuations
{
    std::map<ZoneId, Instant> closesAt;
};

/// How long a host may use an evacuated zone after it learns of the evacuation. \a timeout runs
/// from the operator's confirmation; a host may learn of it \a propagationTimeout later.
Span evacuationGrace(Span timeout, Span propagationTimeout);

/// Begins the evacuation of \a zone; no effect if it is being evacuated already.
void beginEvacuation(GatewayState &state, const ZoneId &zone, Instant now, Actions &actions);

/// Takes \a zone back into use; no effect if it is not evacuated. Its upstreams count as cold, as
/// they may have been restarted meanwhile.
void endEvacuation(GatewayState &state, const ZoneId &zone, Instant now, Actions &actions);

/// Sets the closing time of a newly listed or moved \a upstream.
void applyEvacuations(const ZoneEvacuations &evacuations, Upstream &upstream);

} // namespace azurewell::gateway
