#pragma once

#include "azurewell/gateway/gossip.h"
#include "azurewell/units/ids.h"

#include <map>
#include <utility>
#include <vector>

namespace azurewell::gateway {

/// An adapter at an engine.
using AdapterPlace = std::pair<UpstreamId, ModelName>;

/// Use of one adapter at one engine by requests of this host.
struct OwnUse
{
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t begun = 0;   ///< Requests started since the last report to the coordinator.
    bool isReportedInUse
            = false; ///< The coordinator has the adapter recorded as in use by this host.
};

using OwnUses = std::map<AdapterPlace, OwnUse>;

void beginUse(OwnUses &uses, const AdapterPlace &place);
/// Returns whether no request of this host uses the adapter any more.
bool endUse(OwnUses &uses, const AdapterPlace &place);

/// Returns the uses to report to the coordinator of \a engine and marks them as reported.
std::vector<AdapterUse> takeUnreported(OwnUses &uses, const UpstreamId &engine);

/// Uses of one engine's adapters as reported by other hosts; each holds until the given time.
using RemoteUses = std::map<AdapterRef, std::map<HostId, Instant>>;

/// Records that \a host uses \a adapter, or no longer does. The host repeats its report every
/// \a reportInterval.
void recordRemoteUse(RemoteUses &uses, const AdapterRef &adapter, const HostId &host,
                     bool isRunning, Span reportInterval, Instant now);

bool isUsedElsewhere(const RemoteUses &uses, const AdapterRef &adapter, Instant now);

} // namespace azurewell::gateway
