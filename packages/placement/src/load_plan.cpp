#include "azurewell/placement/load_plan.h"
#include <algorithm>

namespace azurewell {

namespace {

/// Whether a load for \a candidate has priority over one for \a other: more waiting requests first,
/// then the more recent request, which has more time before its deadline.
bool hasPriority(const AdapterQueue &candidate, const AdapterQueue &other)
{
    if (candidate.waiting.size() != other.waiting.size())
        return candidate.waiting.size() > other.waiting.size();
    return candidate.waiting.front().order > other.waiting.front().order;
}

/// Whether \a customer has a request whose adapter is loaded, so that it waits only for a batch
/// slot.
bool hasRunnable(const EngineAdapters &adapters, const CustomerQueue &customer)
{
    return std::any_of(customer.adapters.begin(), customer.adapters.end(),
                       [&adapters](const AdapterQueue &candidate) {
                           return isLoaded(adapters, candidate.adapter);
                       });
}

/// The first adapter of \a customer to load, or null.
const AdapterQueue *firstToLoad(const EngineAdapters &adapters, const CustomerQueue &customer,
                                Instant now)
{
    const AdapterQueue *chosen = nullptr;
    for (const AdapterQueue &candidate : customer.adapters) {
        const bool isFirst = !chosen || hasPriority(candidate, *chosen);
        if (isFirst && isOrderable(adapters, candidate.adapter, now))
            chosen = &candidate;
    }
    return chosen;
}

} // namespace

PlacementStep nextOrder(const EngineAdapters &adapters, const FairQueue &queue, Instant now)
{
    const auto hasWaitingRequests = [&queue](const AdapterRef &ref) {
        return waitingFor(queue, ref) > 0;
    };
    PlacementStep step;
    if (queue.size > 0)
        step = makeRoom(adapters, now, hasWaitingRequests);
    if (step.kind == PlacementStep::Kind::Nothing)
        return {};

    const CustomerQueue *least = nullptr;
    const AdapterQueue *chosen = nullptr;
    for (const CustomerQueue &customer : queue.customers) {
        const bool isLess = !least || customer.served < least->served;
        if (customer.adapters.empty() || !isLess || hasRunnable(adapters, customer))
            continue;
        const AdapterQueue *first = firstToLoad(adapters, customer, now);
        if (!first)
            continue;
        least = &customer;
        chosen = first;
    }
    if (!chosen)
        return {};
    if (step.kind == PlacementStep::Kind::Load)
        step.adapter = chosen->adapter;
    return step;
}

} // namespace azurewell
