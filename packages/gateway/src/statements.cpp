#include "internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A longer pause is cut to this: a wrong statement must not take an upstream out for good.
constexpr Span maxPause = std::chrono::seconds(60);

} // namespace

void handle(GatewayState &state, const LeavingStated &event, Instant, Actions &actions)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end() || isStatedLeaving(found->second))
        return;
    found->second.leavingStart = startOf(found->second);
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
