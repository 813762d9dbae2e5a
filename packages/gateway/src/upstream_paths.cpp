#include "internal.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A sample of up to \a size usable upstreams of \a service. Differs by host and round, without a
/// draw from the random numbers that routing uses.
std::set<UpstreamId> sampleOf(const GatewayState &state, const ServiceId &service,
                              std::uint64_t round, std::size_t size, Instant now)
{
    const std::uint64_t salt = stableHash(state.self.id.value) + round;
    std::vector<std::pair<std::uint64_t, const UpstreamId *>> ranked;
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.service == service && isUsable(upstream, now))
            ranked.emplace_back(rendezvousMix(salt, stableHash(id.value)), &id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::set<UpstreamId> sample;
    for (const auto &[rank, id] : ranked) {
        if (sample.size() < size)
            sample.insert(*id);
    }
    return sample;
}

void beginProbes(GatewayState &state, const ServiceId &service, UpstreamPath &path, Instant now,
                 Actions &actions)
{
    const std::set<UpstreamId> sample = sampleOf(state, service, path.round, nextRoundSize(path),
                                                 now);
    const bool wasLost = path.state == PathState::Lost;
    beginRound(path, sample);
    for (const UpstreamId &id : sample)
        actions.probes.push_back(
                { service, path.round, id, state.upstreams.at(id).listed.address });
    state.counters.probes += sample.size();
    if (wasLost && sample.empty())
        handlePathChange(state, service, PathChange::Restored, now, actions);
}

} // namespace

void suspectPath(GatewayState &state, const ServiceId &service, Instant now)
{
    suspect(state.paths[service], now);
}

void recordPathAnswer(GatewayState &state, const UpstreamId &upstream)
{
    const auto found = state.upstreams.find(upstream);
    if (found != state.upstreams.end())
        recordAnswered(state.paths[found->second.listed.service]);
}

bool isPathLost(const GatewayState &state, const ServiceId &service)
{
    const auto found = state.paths.find(service);
    return found != state.paths.end() && found->second.state == PathState::Lost;
}

void checkPaths(GatewayState &state, Instant now, Actions &actions)
{
    for (auto &[service, path] : state.paths) {
        if (isSilent(path, now))
            suspect(path, now);
        if (isRoundDue(path, now))
            beginProbes(state, service, path, now, actions);
    }
}

void handle(GatewayState &state, const ProbeEnded &event, Instant now, Actions &actions)
{
    const PathChange change = recordProbe(state.paths[event.service], event.round, event.upstream,
                                          event.isOpen, now);
    if (change != PathChange::None)
        handlePathChange(state, event.service, change, now, actions);
}

} // namespace azurewell::gateway
