#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// A request that waits for a slot on one engine.
struct WaitingRequest
{
    RequestId request;
    HostId requester; ///< The host with the caller's connection.
    CustomerId customer;
    AdapterRef adapter;
    Tokens cost; ///< Prompt tokens and the estimated number of generated tokens.
    double weight = 1.0;
    Instant deadline;        ///< The caller does not accept an answer after this.
    Instant latestStart;     ///< If started after this, it would not end by the deadline.
    Instant queuedAt;        ///< When it was enqueued.
    std::uint64_t order = 0; ///< Enqueue order; set by enqueue().
};

/// Requests of one customer for one adapter, oldest first.
struct AdapterQueue
{
    AdapterRef adapter;
    std::deque<WaitingRequest> waiting;
};

/// Waiting requests of one customer and its service so far. Grouped by adapter: whether a request
/// can run depends only on its adapter, so that one check decides for the whole group.
struct CustomerQueue
{
    CustomerId id;
    double served = 0;       ///< Virtual token counter: tokens served divided by the weight.
    double queuedTokens = 0; ///< Total cost of the waiting requests, in tokens.
    double weight = 1.0;     ///< Of the newest request.
    std::vector<AdapterQueue> adapters; ///< Only adapters with waiting requests.
};

/// A weighted fair queue: the customer with the fewest served tokens per weight comes first.
///
/// Load pattern: one customer sends several times its share, or long requests among the short ones
/// of others. In a single FIFO queue every other customer would wait behind that backlog.
struct FairQueue
{
    std::vector<CustomerQueue> customers;
    std::unordered_map<CustomerId, std::uint32_t> indexOf;
    std::unordered_map<AdapterRef, std::uint32_t> waitingFor; ///< Waiting requests by adapter.
    double virtualTime = 0; ///< `served` of the customer served last.
    std::size_t size = 0;
    std::uint64_t nextOrder = 1;
};

/// Adds \a request. The counter of an idle customer is raised to the lowest of those that wait, or
/// to the current virtual time if that is lower: credit for idle time would let it take every slot
/// until the credit is used up.
void enqueue(FairQueue &queue, WaitingRequest request);

/// Removes the oldest request of \a customer for the adapter at \a adapterIndex, and charges the
/// customer.
WaitingRequest dequeueFrom(FairQueue &queue, CustomerQueue &customer, std::size_t adapterIndex);

/// The index of the adapter of \a customer's oldest request that \a mayRun accepts; the number of
/// adapters if there is none.
template <typename MayRun>
std::size_t oldestRunnable(const CustomerQueue &customer, const MayRun &mayRun)
{
    const std::size_t none = customer.adapters.size();
    std::size_t best = none;
    for (std::size_t adapterIndex = 0; adapterIndex < none; ++adapterIndex) {
        const AdapterQueue &candidate = customer.adapters[adapterIndex];
        const bool isOlder = best == none
                || candidate.waiting.front().order < customer.adapters[best].waiting.front().order;
        if (isOlder && mayRun(candidate.adapter))
            best = adapterIndex;
    }
    return best;
}

/// Removes the next request whose adapter \a mayRun accepts, and charges its customer: least served
/// customer first, then oldest request first. Requests whose adapter is not loaded don't block the
/// others. Takes one pass over the customers, checks adapters only of those that could be next, and
/// allocates nothing.
template <typename MayRun>
std::optional<WaitingRequest> takeNext(FairQueue &queue, const MayRun &mayRun)
{
    CustomerQueue *least = nullptr;
    std::size_t adapterIndex = 0;
    for (CustomerQueue &customer : queue.customers) {
        if (customer.adapters.empty() || (least && customer.served >= least->served))
            continue;
        const std::size_t runnable = oldestRunnable(customer, mayRun);
        if (runnable == customer.adapters.size())
            continue;
        least = &customer;
        adapterIndex = runnable;
    }
    if (!least)
        return std::nullopt;
    return dequeueFrom(queue, *least, adapterIndex);
}

/// Removes \a request, whose caller disconnected. Returns false if it is not in the queue.
bool remove(FairQueue &queue, const RequestId &request);

/// Removes \a request of \a requester; request ids of different hosts may be equal.
std::optional<WaitingRequest> takeRequest(FairQueue &queue, const HostId &requester,
                                          const RequestId &request);

/// The request that takeNext() would take if any adapter may run; null if the queue is empty.
const WaitingRequest *peekNext(const FairQueue &queue);

/// Removes the newest request of the customer with the most waiting tokens, without a charge.
std::optional<WaitingRequest> takeNewestOfLargest(FairQueue &queue);

/// The request with the earliest latest start; null if the queue is empty.
const WaitingRequest *earliestToExpire(const FairQueue &queue);

/// Drops customers without waiting requests whose counter no longer affects the order.
void dropIdleCustomers(FairQueue &queue);

/// Removes and returns the requests whose latest start is past at \a now.
std::vector<WaitingRequest> takeExpired(FairQueue &queue, Instant now);

/// Replaces \a charged by \a real in the customer's counter once the actual token count is known.
void correctCharge(FairQueue &queue, const CustomerId &customer, double weight, Tokens charged,
                   Tokens real);

/// The number of requests that wait for \a adapter.
std::uint32_t waitingFor(const FairQueue &queue, const AdapterRef &adapter);

/// Tokens that this queue serves before a new request of \a customer with \a weight would start, by
/// the charges so far: the customer's own backlog, and the backlog of each other customer until its
/// counter passes this one's.
double tokensAhead(const FairQueue &queue, const CustomerId &customer, double weight);

} // namespace azurewell
