#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/units/ids.h"

#include <cstdint>
#include <optional>
#include <span>

namespace azurewell {

/// What a host knows of one engine or back end when it routes a request.
struct UpstreamView
{
    UpstreamId id;
    UpstreamState state = UpstreamState::Unknown;
    bool isOwnZone = false;
    bool hasAdapter = false; ///< The wanted adapter is loaded there.
    bool isLeaving = false;  ///< By ticket.
    double load = 0;         ///< Reported and since-sent requests over batch slots; 1 is full.
    std::uint64_t affinity
            = 0; ///< Rendezvous hash of adapter and engine: the adapter's home order.
};

/// The engine for a request, or none where no one may take it. A loaded adapter in the own zone
/// comes first while it is not overloaded, then the adapter's home by rendezvous hash, so that the
/// same adapter is not loaded everywhere; another zone only when the own one has nothing.
std::optional<UpstreamId> chooseEngine(std::span<const UpstreamView> views);

/// The back end for a call of a plain service: the least loaded one, own zone first.
std::optional<UpstreamId> chooseBackEnd(std::span<const UpstreamView> views);

/// Whether \a view may get new work at all.
bool mayTakeWork(const UpstreamView &view);

} // namespace azurewell
