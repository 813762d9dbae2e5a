#include "azurewell/scheduling/fair_queue.h"

#include <algorithm>

namespace azurewell {

namespace {

CustomerQueue &customerQueue(FairQueue &queue, const CustomerId &id)
{
    const auto [entry, isNew] = queue.indexOf.try_emplace(
            id, static_cast<std::uint32_t>(queue.customers.size()));
    if (isNew) {
        queue.customers.emplace_back();
        queue.customers.back().id = id;
    }
    return queue.customers[entry->second];
}

AdapterQueue &adapterQueue(CustomerQueue &customer, const AdapterRef &adapter)
{
    for (AdapterQueue &candidate : customer.adapters) {
        if (candidate.adapter == adapter)
            return candidate;
    }
    customer.adapters.emplace_back();
    customer.adapters.back().adapter = adapter;
    return customer.adapters.back();
}

/// Updates the totals for the removal of \a request.
void subtractRemoved(FairQueue &queue, CustomerQueue &customer, const WaitingRequest &request)
{
    --queue.size;
    customer.queuedTokens -= static_cast<double>(request.cost.count);
    const auto found = queue.waitingFor.find(request.adapter);
    if (found != queue.waitingFor.end() && --found->second == 0)
        queue.waitingFor.erase(found);
}

void dropIfEmpty(CustomerQueue &customer, std::size_t adapterIndex)
{
    if (!customer.adapters[adapterIndex].waiting.empty())
        return;
    if (adapterIndex + 1 != customer.adapters.size())
        customer.adapters[adapterIndex] = std::move(customer.adapters.back());
    customer.adapters.pop_back();
}

/// The initial counter of a customer that was idle: the lowest counter of those that wait.
double initialServed(const FairQueue &queue)
{
    const CustomerQueue *least = nullptr;
    for (const CustomerQueue &customer : queue.customers) {
        const bool isLess = !least || customer.served < least->served;
        if (!customer.adapters.empty() && isLess)
            least = &customer;
    }
    return least ? std::min(least->served, queue.virtualTime) : queue.virtualTime;
}

/// Removes the first request that \a isWanted accepts, without a charge.
template <typename IsWanted>
std::optional<WaitingRequest> takeFirst(FairQueue &queue, const IsWanted &isWanted)
{
    for (CustomerQueue &customer : queue.customers) {
        for (std::size_t adapterIndex = 0; adapterIndex < customer.adapters.size();
             ++adapterIndex) {
            std::deque<WaitingRequest> &waiting = customer.adapters[adapterIndex].waiting;
            const auto found = std::find_if(waiting.begin(), waiting.end(), isWanted);
            if (found == waiting.end())
                continue;
            WaitingRequest taken = std::move(*found);
            waiting.erase(found);
            subtractRemoved(queue, customer, taken);
            dropIfEmpty(customer, adapterIndex);
            return taken;
        }
    }
    return std::nullopt;
}

} // namespace

void enqueue(FairQueue &queue, WaitingRequest request)
{
    CustomerQueue &customer = customerQueue(queue, request.customer);
    if (customer.adapters.empty()) {
        customer.served = std::max(customer.served, initialServed(queue));
        customer.queuedTokens = 0;
    }
    customer.weight = request.weight;
    customer.queuedTokens += static_cast<double>(request.cost.count);
    request.order = queue.nextOrder++;
    ++queue.waitingFor[request.adapter];
    ++queue.size;
    adapterQueue(customer, request.adapter).waiting.push_back(std::move(request));
}

WaitingRequest dequeueFrom(FairQueue &queue, CustomerQueue &customer, std::size_t adapterIndex)
{
    std::deque<WaitingRequest> &waiting = customer.adapters[adapterIndex].waiting;
    WaitingRequest taken = std::move(waiting.front());
    waiting.pop_front();
    subtractRemoved(queue, customer, taken);
    dropIfEmpty(customer, adapterIndex);
    queue.virtualTime = std::max(queue.virtualTime, customer.served);
    customer.served += static_cast<double>(taken.cost.count) / taken.weight;
    return taken;
}

bool remove(FairQueue &queue, const RequestId &request)
{
    const auto isRequest = [&request](const WaitingRequest &entry) {
        return entry.request == request;
    };
    return takeFirst(queue, isRequest).has_value();
}

std::optional<WaitingRequest> takeRequest(FairQueue &queue, const HostId &requester,
                                          const RequestId &request)
{
    const auto isRequest = [&](const WaitingRequest &entry) {
        return entry.request == request && entry.requester == requester;
    };
    return takeFirst(queue, isRequest);
}

const WaitingRequest *peekNext(const FairQueue &queue)
{
    const CustomerQueue *least = nullptr;
    for (const CustomerQueue &customer : queue.customers) {
        if (!customer.adapters.empty() && (!least || customer.served < least->served))
            least = &customer;
    }
    if (!least)
        return nullptr;
    const auto anyMayRun = [](const AdapterRef &) {
        return true;
    };
    return &least->adapters[oldestRunnable(*least, anyMayRun)].waiting.front();
}

std::optional<WaitingRequest> takeNewestOfLargest(FairQueue &queue)
{
    CustomerQueue *largest = nullptr;
    for (CustomerQueue &customer : queue.customers) {
        const bool isLarger = !largest || customer.queuedTokens > largest->queuedTokens;
        if (!customer.adapters.empty() && isLarger)
            largest = &customer;
    }
    if (!largest)
        return std::nullopt;
    const auto newest = std::max_element(largest->adapters.begin(), largest->adapters.end(),
                                         [](const AdapterQueue &left, const AdapterQueue &right) {
                                             return left.waiting.back().order
                                                     < right.waiting.back().order;
                                         });
    WaitingRequest taken = std::move(newest->waiting.back());
    newest->waiting.pop_back();
    subtractRemoved(queue, *largest, taken);
    dropIfEmpty(*largest, static_cast<std::size_t>(newest - largest->adapters.begin()));
    return taken;
}

const WaitingRequest *earliestToExpire(const FairQueue &queue)
{
    const WaitingRequest *earliest = nullptr;
    for (const CustomerQueue &customer : queue.customers) {
        for (const AdapterQueue &adapter : customer.adapters) {
            for (const WaitingRequest &request : adapter.waiting) {
                if (!earliest || request.latestStart < earliest->latestStart)
                    earliest = &request;
            }
        }
    }
    return earliest;
}

void dropIdleCustomers(FairQueue &queue)
{
    const double start = initialServed(queue);
    for (std::size_t index = queue.customers.size(); index-- > 0;) {
        const CustomerQueue &customer = queue.customers[index];
        if (!customer.adapters.empty() || customer.served > start)
            continue;
        queue.indexOf.erase(customer.id);
        if (index + 1 != queue.customers.size()) {
            queue.customers[index] = std::move(queue.customers.back());
            queue.indexOf[queue.customers[index].id] = static_cast<std::uint32_t>(index);
        }
        queue.customers.pop_back();
    }
}

std::vector<WaitingRequest> takeExpired(FairQueue &queue, Instant now)
{
    std::vector<WaitingRequest> expired;
    for (CustomerQueue &customer : queue.customers) {
        for (std::size_t adapterIndex = customer.adapters.size(); adapterIndex-- > 0;) {
            std::deque<WaitingRequest> &waiting = customer.adapters[adapterIndex].waiting;
            for (std::size_t index = waiting.size(); index-- > 0;) {
                if (waiting[index].latestStart > now)
                    continue;
                subtractRemoved(queue, customer, waiting[index]);
                expired.push_back(std::move(waiting[index]));
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
            }
            dropIfEmpty(customer, adapterIndex);
        }
    }
    return expired;
}

void correctCharge(FairQueue &queue, const CustomerId &customer, double weight, Tokens charged,
                   Tokens real)
{
    const auto found = queue.indexOf.find(customer);
    if (found != queue.indexOf.end())
        queue.customers[found->second].served += static_cast<double>((real - charged).count)
                / weight;
}

std::uint32_t waitingFor(const FairQueue &queue, const AdapterRef &adapter)
{
    const auto found = queue.waitingFor.find(adapter);
    return found == queue.waitingFor.end() ? 0 : found->second;
}

double tokensAhead(const FairQueue &queue, const CustomerId &customer, double weight)
{
    double served = queue.virtualTime;
    double own = 0;
    const auto found = queue.indexOf.find(customer);
    if (found != queue.indexOf.end()) {
        const CustomerQueue &known = queue.customers[found->second];
        own = known.adapters.empty() ? 0 : known.queuedTokens;
        served = known.adapters.empty() ? std::max(served, known.served) : known.served;
    }
    const double startCounter = served + own / weight;
    double ahead = own;
    for (const CustomerQueue &other : queue.customers) {
        if (other.id == customer || other.adapters.empty() || other.served >= startCounter)
            continue;
        ahead += std::min(other.queuedTokens, (startCounter - other.served) * other.weight);
    }
    return ahead;
}

} // namespace azurewell
