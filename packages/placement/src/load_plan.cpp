#include "azurewell/placement/load_plan.h"
#include <algorithm>

namespace azurewell {

namespace {

/// Whether a load for \a candidate goes before one for \a other: more requests to start with one
/// load; of equals the younger, which has more of its time left.
bool goesBefore(const AdapterQueue &candidate, const AdapterQueue &other)
{
    if (candidate.waiting.size() != other.waiting.size())
        return candidate.waiting.size() > other.waiting.size();
    return candidate.waiting.front().order > other.waiting.front().order;
}

/// Whether \a customer waits for a batch slot only.
bool hasRunnable(const EngineAdapters &adapters, const CustomerQueue &customer)
{
    return std::any_of(customer.adapters.begin(), customer.adapters.end(),
                       [&adapters](const AdapterQueue &candidate) {
                           return isLoaded(adapters, candidate.adapter);
                       });
}

} // namespace

PlacementStep nextOrder(const EngineAdapters &adapters, FairQueue &queue, Instant now)
{
    const auto isWaitedFor = [&queue](const AdapterRef &ref) {
        return waitingFor(queue, ref) > 0;
    };
    ++queue.round;
    while (CustomerQueue *customer = leastServed(queue)) {
        customer->round = queue.round;
        if (hasRunnable(adapters, *customer))
            continue;
        PlacementStep best;
        const AdapterQueue *chosen = nullptr;
        for (const AdapterQueue &candidate : customer->adapters) {
            if (chosen && !goesBefore(candidate, *chosen))
                continue;
            const PlacementStep step = nextStep(adapters, candidate.adapter, now, isWaitedFor);
            if (step.kind == PlacementStep::Kind::Nothing)
                continue;
            best = step;
            chosen = &candidate;
        }
        if (chosen)
            return best;
    }
    return {};
}

} // namespace azurewell
