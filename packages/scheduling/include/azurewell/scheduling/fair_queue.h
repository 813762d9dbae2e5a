#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <deque>
#include <functional>
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
    Instant deadline; ///< After this the caller no longer wants the answer.
};

/// Requests of one customer, oldest first, and the service the customer has had.
struct CustomerQueue
{
    double served = 0; ///< Tokens served divided by the weight: the virtual token counter.
    std::deque<WaitingRequest> waiting;
};

/// Serves the customer with the least served tokens per weight first.
///
/// Load pattern: one customer sends several times its share, or long jobs among the short ones of
/// others. With one queue for all, every other customer waits behind that customer's backlog.
struct FairQueue
{
    std::unordered_map<CustomerId, CustomerQueue> customers;
    double virtualTime
            = 0; ///< `served` of the customer served last; a returning customer starts here.
    std::size_t size = 0;
};

/// Adds \a request. A customer that was idle starts at the present virtual time: it gets no credit
/// for the time it sent nothing, which would let it take every slot until the credit is used up.
void enqueue(FairQueue &queue, WaitingRequest request);

/// Takes the next request that \a mayRun accepts, and charges its customer. The oldest request of
/// each customer is tried, the least served customer first; then younger ones, so that one request
/// whose adapter is not loaded does not hold up the others.
std::optional<WaitingRequest> takeNext(FairQueue &queue,
                                       const std::function<bool(const WaitingRequest &)> &mayRun);

/// Removes \a request (its caller went away). False where it is not in the queue.
bool remove(FairQueue &queue, const RequestId &request);

/// Removes and returns what waits past its deadline at \a now.
std::vector<WaitingRequest> takeExpired(FairQueue &queue, Instant now);

/// Corrects a customer's charge once the real count of tokens is known.
void correctCharge(FairQueue &queue, const CustomerId &customer, double weight, Tokens charged,
                   Tokens real);

} // namespace azurewell
