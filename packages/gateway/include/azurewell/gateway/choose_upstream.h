#pragma once

#include "azurewell/gateway/configuration.h"
#include "azurewell/gateway/load_times.h"
#include "azurewell/gateway/upstreams.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace azurewell::gateway {

/// Declared versions of adapters; an adapter that is not listed has its first version.
using DeclaredVersions = std::map<ModelName, std::uint64_t>;

/// The declared version of \a adapter; 0 if none was declared.
std::uint64_t declaredVersion(const DeclaredVersions &versions, const ModelName &adapter);

/// Requirements of a request on its upstream.
struct UpstreamNeed
{
    ServiceId service;
    ModelName model;               ///< Empty for a plain service.
    std::set<UpstreamId> excluded; ///< Upstreams that already refused or failed this request.
    Span duration{}; ///< Expected duration; upstreams that are terminated before its end are
                     ///< excluded.
    ZoneId zone;     ///< Zone of this host.
    double prefillTokensPerSecond = 1; ///< Prompt tokens that an engine reads per second.
    double promptTokens = 0;           ///< Of the request itself.
    double answerSeconds = 0; ///< Usual time of an answer of a plain service; 0: not known.
    bool isSentWithoutAdmission = false; ///< Excludes upstreams with a rate limit.
    /// Excludes upstreams of other versions, as the request takes up a stream that this one began.
    std::optional<SoftwareVersion> softwareVersion{};
    std::set<SoftwareVersion> heldVersions{}; ///< Excludes upstreams of these versions.
};

/// Whether \a upstream can take a request with \a need, apart from its model.
bool fits(const Upstream &upstream, const UpstreamNeed &need, Instant now);

/// Estimate of the prompt tokens that were sent to \a upstream and not read yet.
double queuedPromptTokens(const Upstream &upstream, Instant now);

/// Expected time in seconds until \a upstream starts a new request, if engines of its service read
/// \a prefillTokensPerSecond prompt tokens a second. Includes the load that the upstream last
/// stated, what this host has sent since, and the speed of the upstream.
double expectedWait(const Upstream &upstream, double prefillTokensPerSecond, Instant now);

/// Whether \a upstream has the model, and the adapter in its declared version, in memory.
bool isReadyFor(const Upstream &upstream, const ModelName &model, const DeclaredVersions &versions);

/// The usable upstream with the shortest wait; null if none can start the request now. Upstreams
/// that failed recently are chosen only if there is no other. \a draw is uniform in [0, 1) and
/// breaks ties, so that hosts with the same view do not all choose the same upstream.
///
/// Load pattern: four to six plain servers behind 83 hosts, each of which hears of a server every
/// 3 s. Hosts that choose the least of such old loads all choose the same server. Where servers
/// state their slowdown, a server is drawn with a probability that falls with its expected time.
const Upstream *chooseUpstream(const UpstreamMap &upstreams, const UpstreamNeed &need,
                               const DeclaredVersions &versions, double draw, Instant now);

/// An engine whose load of the adapter is expected to be done although no report shows it; null if
/// there is none.
const Upstream *chooseEngineWithFinishedLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                             const LoadTimes &times, Instant now);

/// The usable engine that should load the adapter; null if none can.
///
/// Load pattern: thousands of adapters, a few of them popular, and a handful of slots on each
/// engine. An adapter loads ten times as fast on an engine that recently held it, so it returns to
/// the engine that last held it unless that engine is much busier than others. An adapter that no
/// engine held is loaded in the caller's zone: most adapters are requested once or twice, and their
/// prompts need not cross zones.
const Upstream *chooseEngineToLoad(const UpstreamMap &upstreams, const UpstreamNeed &need,
                                   const LastEngines &lastEngines, std::uint32_t maxLoadedAdapters,
                                   Instant now);

} // namespace azurewell::gateway
