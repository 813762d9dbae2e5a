#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/priority.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurewell::gateway {

/// Whether a request may be repeated.
enum class RepeatPolicy : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream,        ///< As NonIdempotent, unless the route's streams are resumable.
};

/// A service with its weight in the distribution of a route's requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1.0;
};

/// Destination and service levels of requests for a host name and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RepeatPolicy repeat = RepeatPolicy::NonIdempotent;
    bool isResumable = false; ///< A broken stream may be resumed at another upstream.
    bool isPublic = false;    ///< Requires no key.
    Span timeout{};           ///< The caller gets a final answer within this time.
    Span objective{};         ///< Target time to the answer (of a stream: to its first event).
    std::optional<Priority> priority; ///< Empty: not stated.
    Span maxPause{};               ///< Longest pause between two events of a stream; 0: not stated.
    std::uint32_t maxAttempts = 1; ///< Maximum number of upstreams at which one request may run.
    std::vector<WeightedService> services;
};

/// A base model that engines of a service can load.
struct BaseModel
{
    std::string name;
    double megabytes = 0;
    Span loadTime{};
};

/// Limits that the engines of a service share.
struct EngineLimits
{
    std::uint32_t batchSlots = 1;        ///< Requests that run concurrently.
    std::uint32_t maxLoadedAdapters = 0; ///< Adapters on the engine, including loading ones.
    double weightMegabytes = 0;
    double baseLoadsPerSecond = 1; ///< Rate of the weight store over all engines.
    std::vector<BaseModel> models;
};

struct Service
{
    ServiceId id;
    std::string healthPath;
    std::uint32_t maxConnections = 0;   ///< To one upstream, from all hosts together.
    std::optional<EngineLimits> engine; ///< Empty for a plain service.
    Span warmupTime{};                  ///< For this long after a start an upstream is cold.
    double warmupPerSecond = 0; ///< Requests per second that a cold upstream bears from all hosts
                                ///< together; 0: not limited.
};

struct Customer
{
    CustomerId id;
    std::optional<Priority> priority; ///< Compared before that of the route; empty: not stated.
    std::vector<KeyHash> keys;
    TokenRate rate; ///< 0: no limit.
    Tokens burst;
    bool countsTokens = false;   ///< If false, each request counts as 1.
    Tokens defaultRequestTokens; ///< Cost of a request that states no tokens.
};

/// Limits on what callers may send.
struct CallerLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4ULL * 1024 * 1024;
    Span headTimeout = std::chrono::seconds(3);
    Span idleTimeout = std::chrono::seconds(15);
};

/// Urgency of a request as the configuration states it. The priority of the customer is compared
/// first, that of the route among requests of equal customers: where all customers have the same
/// priority, it must not hide the priorities of the routes.
struct StatedUrgency
{
    Priority ofCustomer = defaultPriority;
    Priority ofRoute = defaultPriority;

    auto operator<=>(const StatedUrgency &) const = default;
};

/// One complete version of the operator's configuration.
struct Configuration
{
    std::uint64_t version = 0; ///< 0: none received yet.
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;
    std::unordered_map<KeyHash, std::size_t> customerOfKey; ///< Filled by indexKeys().
    /// Filled by indexPriorities(); only services whose requests differ in urgency.
    std::map<ServiceId, std::vector<StatedUrgency>> urgencies;
};

/// Fills customerOfKey.
void indexKeys(Configuration &configuration);

/// Fills urgencies.
void indexPriorities(Configuration &configuration);

/// The priority of a request of \a customer (null: of nobody) on \a route among all requests to
/// \a service: the rank of its stated urgency. Empty if all requests to the service have the same,
/// so that there is nothing to order.
std::optional<Priority> priorityOf(const Configuration &configuration, const Route &route,
                                   const Customer *customer, const ServiceId &service);

/// The route of \a host with the longest prefix of \a path; null if there is none.
const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view path);

const Service *findService(const Configuration &configuration, const ServiceId &id);

/// The customer that owns \a key; null if there is none.
const Customer *findCustomer(const Configuration &configuration, const KeyHash &key);
const Customer *findCustomer(const Configuration &configuration, const CustomerId &id);

/// Picks the service for a request of \a route by weight. \a draw is uniform in [0, 1).
const ServiceId *pickService(const Route &route, double draw);

} // namespace azurewell::gateway
