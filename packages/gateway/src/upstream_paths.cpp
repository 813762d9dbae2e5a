#include "internal.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Usable upstreams of \a service, in this host's zone or in the others, in an order that differs
/// by host and round. Takes no draw from the random numbers that routing uses.
std::vector<UpstreamId> shuffledUpstreams(const GatewayState &state, const ServiceId &service,
                                          bool isInOwnZone, std::uint64_t round, Instant now)
{
    const std::uint64_t salt = stableHash(state.self.id.value) + round;
    std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
    for (const auto &[id, upstream] : state.upstreams) {
        if (upstream.listed.service == service && isUsable(upstream, now)
            && (upstream.listed.zone == state.self.zone) == isInOwnZone)
            ranked.emplace_back(rendezvousMix(salt, stableHash(id.value)), id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<UpstreamId> ids;
    ids.reserve(ranked.size());
    for (auto &[rank, id] : ranked)
        ids.push_back(std::move(id));
    return ids;
}

/// A sample of up to \a size usable upstreams of \a service, half of them in this host's zone if
/// there are as many: a host in a zone that is cut off from the others still reaches those.
std::set<UpstreamId> sampleOf(const GatewayState &state, const ServiceId &service,
                              std::uint64_t round, std::size_t size, Instant now)
{
    const std::vector<UpstreamId> near = shuffledUpstreams(state, service, true, round, now);
    const std::vector<UpstreamId> far = shuffledUpstreams(state, service, false, round, now);
    std::set<UpstreamId> sample;
    for (std::size_t index = 0; index < std::max(near.size(), far.size()); ++index) {
        if (index < near.size() && sample.size() < size)
            sample.insert(near[index]);
        if (index < far.size() && sample.size() < size)
            sample.insert(far[index]);
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
    if (event.round == crashCheckRound) {
        recordCrashCheck(state, event, actions);
        return;
    }
    const PathChange change = recordProbe(state.paths[event.service], event.round, event.upstream,
                                          event.isOpen, now);
    if (change != PathChange::None)
        handlePathChange(state, event.service, change, now, actions);
}

} // namespace azurewell::gateway
