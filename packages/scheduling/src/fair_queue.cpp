#include "azurewell/scheduling/fair_queue.h"

#include <algorithm>

namespace azurewell {

namespace {

std::vector<CustomerQueue *> leastServedFirst(FairQueue &queue)
{
    std::vector<CustomerQueue *> order;
    for (auto &[id, customer] : queue.customers) {
        if (!customer.waiting.empty())
            order.push_back(&customer);
    }
    std::sort(order.begin(), order.end(), [](const CustomerQueue *a, const CustomerQueue *b) {
        if (a->served != b->served)
            return a->served < b->served;
        return a->waiting.front().customer < b->waiting.front().customer;
    });
    return order;
}

} // namespace

void enqueue(FairQueue &queue, WaitingRequest request)
{
    CustomerQueue &customer = queue.customers[request.customer];
    if (customer.waiting.empty())
        customer.served = std::max(customer.served, queue.virtualTime);
    customer.waiting.push_back(std::move(request));
    ++queue.size;
}

std::optional<WaitingRequest> takeNext(FairQueue &queue,
                                       const std::function<bool(const WaitingRequest &)> &mayRun)
{
    for (CustomerQueue *customer : leastServedFirst(queue)) {
        const auto found = std::find_if(customer->waiting.begin(), customer->waiting.end(), mayRun);
        if (found == customer->waiting.end())
            continue;
        WaitingRequest taken = std::move(*found);
        customer->waiting.erase(found);
        --queue.size;
        queue.virtualTime = std::max(queue.virtualTime, customer->served);
        customer->served += static_cast<double>(taken.cost.count) / taken.weight;
        return taken;
    }
    return std::nullopt;
}

bool remove(FairQueue &queue, const RequestId &request)
{
    for (auto &[id, customer] : queue.customers) {
        const auto found = std::find_if(
                customer.waiting.begin(), customer.waiting.end(),
                [&request](const WaitingRequest &entry) { return entry.request == request; });
        if (found != customer.waiting.end()) {
            customer.waiting.erase(found);
            --queue.size;
            return true;
        }
    }
    return false;
}

std::vector<WaitingRequest> takeExpired(FairQueue &queue, Instant now)
{
    std::vector<WaitingRequest> expired;
    for (auto &[id, customer] : queue.customers) {
        const auto isLive = [now](const WaitingRequest &entry) {
            return entry.deadline > now;
        };
        const auto firstExpired = std::stable_partition(customer.waiting.begin(),
                                                        customer.waiting.end(), isLive);
        expired.insert(expired.end(), std::make_move_iterator(firstExpired),
                       std::make_move_iterator(customer.waiting.end()));
        customer.waiting.erase(firstExpired, customer.waiting.end());
    }
    queue.size -= expired.size();
    return expired;
}

void correctCharge(FairQueue &queue, const CustomerId &customer, double weight, Tokens charged,
                   Tokens real)
{
    const auto found = queue.customers.find(customer);
    if (found != queue.customers.end())
        found->second.served += static_cast<double>((real - charged).count) / weight;
}

} // namespace azurewell
