#include "internal.h"

#include <fmt/format.h>

#include <utility>

namespace azurewell::gateway {

namespace {

/// A limit that was not sent for this time is sent again when an answer states it.
constexpr Span renewalInterval = std::chrono::seconds(1);

void logLimitChange(const Upstream &upstream, LimitChange change, Actions &actions)
{
    const bool isNew = change == LimitChange::Begun;
    actions.logEvents.push_back(
            { isNew ? "upstream_limit_stated" : "upstream_limit_ended",
              { { "upstream", upstream.listed.id.value },
                { "per_second", fmt::format("{:g}", upstream.limit.perSecond) },
                { "stated_in_reports", upstream.limit.isInReports ? "true" : "false" } } });
}

} // namespace

LimitChange applyLimit(Upstream &upstream, const LimitObservation &observation, Actions &actions)
{
    const LimitChange change = updateLimit(upstream.limit, observation);
    if (change == LimitChange::Begun || change == LimitChange::Ended)
        logLimitChange(upstream, change, actions);
    return change;
}

void handle(GatewayState &state, const LimitStated &event, Instant now, Actions &actions)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    recordPathAnswer(state, event.upstream);
    const Instant statedBefore = upstream.limit.statedAt;
    const std::int64_t start = incarnationOf(upstream).start;
    const LimitChange change = applyLimit(
            upstream, { event.perSecond, start, event.sentAt, now, event.isReport }, actions);
    const bool isRenewalDue = change == LimitChange::Renewed
            && now - statedBefore >= renewalInterval;
    if (change == LimitChange::Begun || change == LimitChange::Ended || isRenewalDue)
        state.limitsToSend.insert(event.upstream);
}

void handleLimits(GatewayState &state, const std::vector<UpstreamLimit> &limits, Actions &actions)
{
    for (const UpstreamLimit &limit : limits) {
        const auto found = state.upstreams.find(limit.upstream);
        if (found != state.upstreams.end())
            applyLimit(found->second, { limit.perSecond, limit.start, limit.at, limit.at, false },
                       actions);
    }
}

void sendLimits(GatewayState &state, Instant now, Actions &actions)
{
    if (state.limitsToSend.empty())
        return;
    RelayedUpdate news;
    for (const UpstreamId &id : std::exchange(state.limitsToSend, {})) {
        const auto found = state.upstreams.find(id);
        if (found == state.upstreams.end())
            continue;
        const StatedLimit &limit = found->second.limit;
        const bool isStated = limit.perSecond > 0;
        news.limits.push_back(
                { id, limit.start, limit.perSecond, isStated ? limit.statedAt : limit.endedAt });
    }
    sendToAll(state, MessageKind::UpstreamLimits, std::move(news), now, actions);
}

} // namespace azurewell::gateway
