#include "internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A longer pause is cut to this: a wrong statement must not take an upstream out for good.
constexpr Span maxPause = std::chrono::seconds(60);

void recordLeaving(GatewayState &state, Upstream &upstream)
{
    upstream.leavingStart = startOf(upstream);
    state.leavingUpstreams.insert(upstream.listed.id);
    wakeEngine(state, upstream.listed.id);
}

} // namespace

void handleLeaving(GatewayState &state, const std::vector<UpstreamIncarnation> &leaving)
{
    for (const UpstreamIncarnation &incarnation : leaving) {
        const auto found = state.upstreams.find(incarnation.upstream);
        if (found != state.upstreams.end() && startOf(found->second) == incarnation.start)
            recordLeaving(state, found->second);
    }
}

std::vector<UpstreamIncarnation> leavingToSend(GatewayState &state)
{
    std::erase_if(state.leavingUpstreams, [&state](const UpstreamId &id) {
        const auto found = state.upstreams.find(id);
        return found == state.upstreams.end() || !isStatedLeaving(found->second);
    });
    std::vector<UpstreamIncarnation> leaving;
    for (const UpstreamId &id : state.leavingUpstreams) {
        const Upstream &upstream = state.upstreams.at(id);
        if (!upstream.listed.isLeaving)
            leaving.push_back(incarnationOf(upstream));
    }
    return leaving;
}

void handle(GatewayState &state, const LeavingStated &event, Instant, Actions &actions)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end() || isStatedLeaving(found->second))
        return;
    recordLeaving(state, found->second);
    ++state.counters.leavingStated;
    actions.logEvents.push_back(
            { "upstream_leaving_stated",
              { { "upstream", event.upstream.value },
                { "listed_as_leaving", found->second.listed.isLeaving ? "true" : "false" } } });
}

void handle(GatewayState &state, const PauseStated &event, Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    upstream.pausedUntil = std::max(upstream.pausedUntil, now + std::min(event.pause, maxPause));
    ++state.counters.pausesStated;
    actions.logEvents.push_back({ "upstream_pause_stated",
                                  { { "upstream", event.upstream.value },
                                    { "seconds", fmt::format("{:g}", toSeconds(event.pause)) } } });
}

} // namespace azurewell::gateway
