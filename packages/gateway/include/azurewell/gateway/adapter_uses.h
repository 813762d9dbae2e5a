#pragma once

#include "azurewell/gateway/gossip.h"
#include "azurewell/units/ids.h"

#include <map>
#include <utility>
#include <vector>

namespace azurewell::gateway {

/// An adapter at an engine.
using AdapterPlace = std::pair<UpstreamId, ModelName>;

/// What this host's requests do with one adapter at one engine.
struct OwnUse
{
    std::uint32_t running = 0; ///< Requests that run now.
    std::uint32_t begun = 0;   ///< Since the host that orders there was told.
    bool isTold = false;       ///< That host thinks that it is in use here.
};

using OwnUses = std::map<AdapterPlace, OwnUse>;

void beginUse(OwnUses &uses, const AdapterPlace &place);
void endUse(OwnUses &uses, const AdapterPlace &place);

/// What to tell the host that orders at \a engine; what is told is noted as told.
std::vector<AdapterUse> takeUntold(OwnUses &uses, const UpstreamId &engine);

/// What other hosts told of the adapters of one engine: until when each is taken for in use by
/// whom.
using OtherUses = std::map<AdapterRef, std::map<HostId, Instant>>;

/// \a host uses \a adapter, or does no more. It tells so again after \a toldEvery.
void noteOtherUse(OtherUses &uses, const AdapterRef &adapter, const HostId &host, bool isRunning,
                  Span toldEvery, Instant now);

bool isUsedElsewhere(const OtherUses &uses, const AdapterRef &adapter, Instant now);

} // namespace azurewell::gateway
