#include "internal.h"

#include <algorithm>
#include <cmath>

namespace azurewell::gateway {

namespace {

/// Decay time of the answer times of a plain service.
constexpr Span answerTimeDecay = std::chrono::seconds(30);

/// A slowdown that differs by this factor from the one that was last sent is sent without waiting
/// for the next regular update.
constexpr double sentChange = 1.3;

/// Bandwidth for such updates: less than half of what a host may use for its control messages.
constexpr double bytesPerSecond = 10'000;
constexpr double bytesPerUpdate = 300; ///< Of one engine with its adapters, to one host.

/// The time that a request would have taken without the slowdown that \a upstream states.
double usualSeconds(const Upstream &upstream, Span elapsed, Instant now)
{
    return toSeconds(elapsed) / expectedSlowdown(upstream.speed, now);
}

/// Whether other requests waited as \a upstream answered: the time of an answer then has more than
/// its work.
bool statesWaiting(const Upstream &upstream, Instant now)
{
    constexpr Span sameAnswer = std::chrono::milliseconds(100);
    return now - upstream.loadAt < sameAnswer && upstream.load.waiting > 0;
}

bool hasChanged(double slowdown, double sent)
{
    const double before = sent > 0 ? sent : 1;
    return slowdown > 0 && std::max(slowdown, before) > sentChange * std::min(slowdown, before);
}

} // namespace

void handle(GatewayState &state, const LoadStated &event, Instant now)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end())
        return;
    Upstream &upstream = found->second;
    upstream.load = event.load;
    upstream.loadAt = now;
    const double requests = static_cast<double>(event.load.running)
            + static_cast<double>(event.load.waiting);
    recordOccupancy(upstream.speed, requests / std::max<double>(upstream.listed.slots, 1), now);
    if (event.load.slowdown != 0)
        recordStatedSlowdown(state, event.upstream, event.load.slowdown, now);
}

void recordStatedSlowdown(GatewayState &state, const UpstreamId &id, double slowdown, Instant now)
{
    const auto found = state.upstreams.find(id);
    if (found != state.upstreams.end() && !recordSlowdown(found->second.speed, slowdown, now))
        ++state.counters.ignoredLoadValues;
}

void recordFirstEventTime(GatewayState &state, const RequestRecord &record, Instant now)
{
    const auto found = state.upstreams.find(record.upstream);
    if (!record.isEngineIdle || record.arrivedRequest.model.model.empty()
        || found == state.upstreams.end())
        return;
    const double tokens = static_cast<double>(record.arrivedRequest.promptTokens.count);
    PrefillRate &rate = state.prefillRates[record.service];
    if (tokens > 0) {
        recordOwnRatio(found->second.speed,
                       usualSeconds(found->second, now - record.sentAt, now)
                               / expectedSeconds(rate, tokens),
                       now);
    }
    recordPrefill(rate, tokens, now - record.sentAt);
}

void recordAnswerTime(GatewayState &state, const RequestRecord &record, Instant now)
{
    const auto found = state.upstreams.find(record.upstream);
    const Service *service = findService(state.configuration, record.service);
    if (found == state.upstreams.end() || !service || service->engine
        || statesWaiting(found->second, now))
        return;
    const double seconds = usualSeconds(found->second, now - record.sentAt, now);
    if (!(seconds > 0))
        return;
    DecayedSamples &times = state.answerTimes[record.service];
    addSample(times, std::log(seconds), answerTimeDecay, now);
    recordOwnRatio(found->second.speed, seconds / std::exp(meanOf(times)), now);
}

double answerSecondsOf(const GatewayState &state, const ServiceId &service)
{
    const auto found = state.answerTimes.find(service);
    return found == state.answerTimes.end() ? 0 : std::exp(meanOf(found->second));
}

void markSlowedEngines(GatewayState &state, Instant now)
{
    if (now < state.nextSlowdownsAt)
        return;
    std::size_t marked = 0;
    for (const UpstreamId &id : state.ownEngines) {
        const auto found = state.upstreams.find(id);
        if (found == state.upstreams.end())
            continue;
        Upstream &upstream = found->second;
        const double slowdown = recentSlowdown(upstream.speed, now);
        if (!hasChanged(slowdown, upstream.sentSlowdown))
            continue;
        upstream.sentSlowdown = slowdown;
        state.changedEngines.insert(id);
        ++marked;
    }
    const double hosts = static_cast<double>(countReachable(state.members, now));
    state.nextSlowdownsAt = now
            + fromSeconds(static_cast<double>(marked) * hosts * bytesPerUpdate / bytesPerSecond);
}

} // namespace azurewell::gateway
