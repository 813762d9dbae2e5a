#include "azurewell/gateway/load_queue.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A queued load is abandoned without a load request for this long. Hosts repeat theirs every 150
/// ms, and one message may be lost.
constexpr Span requestValidity = std::chrono::milliseconds(400);

/// Demand is forgotten without a load request for this long. Callers request a rare adapter every
/// few seconds.
constexpr Span demandValidity = std::chrono::seconds(30);

double claimOf(const UnservedDemand &demand, Instant now)
{
    return toSeconds(now - demand.since) * static_cast<double>(demand.loadRequests);
}

} // namespace

void recordLoadRequest(LoadQueue &queue, const ModelName &adapter, Instant now)
{
    const auto [entry, isNew] = queue.demand.try_emplace(adapter);
    UnservedDemand &demand = entry->second;
    if (isNew)
        demand.since = now;
    demand.lastRequestAt = now;
    ++demand.loadRequests;
}

bool enqueue(LoadQueue &queue, const ModelName &adapter, std::size_t maxLength, Instant now)
{
    removeAbandoned(queue, now);
    UnservedDemand &wanted = queue.demand.at(adapter);
    if (wanted.isQueued && countQueued(queue) <= maxLength)
        return true;
    if (countQueued(queue) >= maxLength) {
        UnservedDemand *smallest = &wanted;
        for (auto &[name, demand] : queue.demand) {
            if (demand.isQueued && claimOf(demand, now) < claimOf(*smallest, now))
                smallest = &demand;
        }
        smallest->isQueued = false;
        if (smallest == &wanted)
            return false;
    }
    wanted.isQueued = true;
    return true;
}

void dequeue(LoadQueue &queue, const ModelName &adapter)
{
    const auto found = queue.demand.find(adapter);
    if (found != queue.demand.end())
        found->second.isQueued = false;
}

void clearQueue(LoadQueue &queue)
{
    for (auto &[adapter, demand] : queue.demand)
        demand.isQueued = false;
}

std::size_t countQueued(const LoadQueue &queue)
{
    return static_cast<std::size_t>(
            std::count_if(queue.demand.begin(), queue.demand.end(),
                          [](const auto &entry) { return entry.second.isQueued; }));
}

std::vector<ModelName> queuedLoads(const LoadQueue &queue, Instant now)
{
    std::vector<std::pair<double, ModelName>> claims;
    for (const auto &[adapter, demand] : queue.demand) {
        if (demand.isQueued)
            claims.emplace_back(claimOf(demand, now), adapter);
    }
    std::sort(claims.begin(), claims.end(), std::greater<>());
    std::vector<ModelName> loads;
    loads.reserve(claims.size());
    for (const auto &[claim, adapter] : claims)
        loads.push_back(adapter);
    return loads;
}

void recordServed(LoadQueue &queue, const ModelName &adapter)
{
    queue.demand.erase(adapter);
}

void removeAbandoned(LoadQueue &queue, Instant now)
{
    std::erase_if(queue.demand, [now](const auto &entry) {
        return now >= entry.second.lastRequestAt + demandValidity;
    });
    for (auto &[adapter, demand] : queue.demand) {
        if (now >= demand.lastRequestAt + requestValidity)
            demand.isQueued = false;
    }
}

} // namespace azurewell::gateway
