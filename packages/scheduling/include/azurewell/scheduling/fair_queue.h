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
    HostId asker; ///< The host that holds the caller's connection.
    CustomerId customer;
    AdapterRef adapter;
    Tokens cost; ///< Prompt tokens and the estimate of generated ones.
    double weight = 1.0;
    Instant deadline;        ///< After this the caller no longer wants the answer.
    Instant latestStart;     ///< Begun after this, it would not end by the deadline.
    Instant since;           ///< When it was enqueued.
    std::uint64_t order = 0; ///< Rises with each request; set by enqueue().
};

/// Requests of one customer for one adapter, oldest first.
struct AdapterQueue
{
    AdapterRef adapter;
    std::deque<WaitingRequest> waiting;
};

/// Requests of one customer and the service the customer has had. Kept by adapter: whether a
/// request may run depends on its adapter alone, so that one look decides for all that wait for it.
struct CustomerQueue
{
    CustomerId id;
    double served = 0;   ///< Tokens served divided by the weight: the virtual token counter.
    double waitCost = 0; ///< Tokens of all that wait.
    double weight = 1.0; ///< Of the newest request.
    std::vector<AdapterQueue> adapters; ///< Only those with waiting requests.
};

/// Serves the customer with the least served tokens per weight first.
///
/// Load pattern: one customer sends several times its share, or long jobs among the short ones of
/// others. With one queue for all, every other customer waits behind that customer's backlog.
struct FairQueue
{
    std::vector<CustomerQueue> customers;
    std::unordered_map<CustomerId, std::uint32_t> indexOf;
    std::unordered_map<AdapterRef, std::uint32_t> waitingFor; ///< Requests for each adapter.
    double virtualTime = 0; ///< `served` of the customer served last.
    std::size_t size = 0;
    std::uint64_t nextOrder = 1;
};

/// Adds \a request. A customer that was idle starts level with the least served one that waits, or
/// at the present virtual time: it gets no credit for the time it sent nothing, which would let it
/// take every slot until the credit is used up.
void enqueue(FairQueue &queue, WaitingRequest request);

/// Removes the oldest request of \a place, an entry of \a customer, and charges the customer.
WaitingRequest takeFrom(FairQueue &queue, CustomerQueue &customer, std::size_t place);

/// The place of \a customer's oldest request whose adapter \a mayRun accepts; its number of
/// adapters where there is none.
template <typename MayRun>
std::size_t oldestRunnable(const CustomerQueue &customer, const MayRun &mayRun)
{
    const std::size_t none = customer.adapters.size();
    std::size_t best = none;
    for (std::size_t place = 0; place < none; ++place) {
        const AdapterQueue &candidate = customer.adapters[place];
        const bool isOlder = best == none
                || candidate.waiting.front().order < customer.adapters[best].waiting.front().order;
        if (isOlder && mayRun(candidate.adapter))
            best = place;
    }
    return best;
}

/// Takes the next request whose adapter \a mayRun accepts, and charges its customer: the least
/// served customer first, its oldest runnable request first. One whose adapter is not loaded does
/// not hold up the others. One pass over the customers, a look at the adapters of those that could
/// be next; nothing is allocated.
template <typename MayRun>
std::optional<WaitingRequest> takeNext(FairQueue &queue, const MayRun &mayRun)
{
    CustomerQueue *least = nullptr;
    std::size_t place = 0;
    for (CustomerQueue &customer : queue.customers) {
        if (customer.adapters.empty() || (least && customer.served >= least->served))
            continue;
        const std::size_t runnable = oldestRunnable(customer, mayRun);
        if (runnable == customer.adapters.size())
            continue;
        least = &customer;
        place = runnable;
    }
    if (!least)
        return std::nullopt;
    return takeFrom(queue, *least, place);
}

/// Removes \a request (its caller went away). False where it is not in the queue.
bool remove(FairQueue &queue, const RequestId &request);

/// Drops customers that wait for nothing and whose past makes no difference any more.
void forgetIdle(FairQueue &queue);

/// Removes and returns what can no longer be answered in time at \a now: its latest start is past.
std::vector<WaitingRequest> takeExpired(FairQueue &queue, Instant now);

/// Corrects a customer's charge once the real count of tokens is known.
void correctCharge(FairQueue &queue, const CustomerId &customer, double weight, Tokens charged,
                   Tokens real);

/// Requests that wait for \a adapter.
std::uint32_t waitingFor(const FairQueue &queue, const AdapterRef &adapter);

/// Tokens that this queue serves before a new request of \a customer with \a cost and \a weight
/// would begin, by the charges so far: the customer's own backlog, and of each other customer as
/// much as it takes for its counter to pass this one's.
double tokensAhead(const FairQueue &queue, const CustomerId &customer, double weight);

} // namespace azurewell
