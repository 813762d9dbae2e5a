#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurewell::gateway {

/// What may be done with a request a second time.
enum class RepeatPolicy : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs once at the most.
    Stream,        ///< As NonIdempotent, unless the route's streams may be resumed.
};

/// A service that gets part of a route's requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1.0;
};

/// Where requests for a host name and path go, and what callers expect of them.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RepeatPolicy repeat = RepeatPolicy::NonIdempotent;
    bool isResumable = false;       ///< A broken stream may go on at another upstream.
    bool isPublic = false;          ///< Needs no key.
    Span timeout{};                 ///< The caller has its final answer by then.
    Span objective{};               ///< An answer (a stream's first event) within this is in time.
    std::uint32_t priority = 0;     ///< 0 is the most urgent.
    std::uint32_t mostAttempts = 1; ///< Upstreams at which one request may run.
    std::vector<WeightedService> services;
};

/// A base model that engines of a service can load.
struct BaseModel
{
    std::string name;
    double megabytes = 0;
    Span loadTime{};
};

/// What the engines of a service have in common.
struct EngineLimits
{
    std::uint32_t batchSlots = 1;    ///< Requests that run at once.
    std::uint32_t adapterPlaces = 0; ///< Adapters loaded at once, those under way included.
    double weightMegabytes = 0;
    double baseLoadsPerSecond = 1; ///< From the weight store, over all engines.
    std::vector<BaseModel> models;
};

struct Service
{
    ServiceId id;
    std::string healthPath;
    std::uint32_t mostConnections = 0;  ///< Of one upstream, from all hosts together.
    std::optional<EngineLimits> engine; ///< Empty for a plain service.
};

struct Customer
{
    CustomerId id;
    std::uint32_t priority = 0;
    std::vector<KeyHash> keys;
    TokenRate rate; ///< 0: no limit.
    Tokens burst;
    bool countsTokens = false; ///< Otherwise a request counts as 1.
    Tokens tokensWithoutWord;  ///< What a request counts as that states no tokens.
};

/// What callers may send.
struct CallerLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4ULL * 1024 * 1024;
    Span headPatience = std::chrono::seconds(3);
    Span idlePatience = std::chrono::seconds(15);
};

/// One version of the operator's configuration, whole.
struct Configuration
{
    std::uint64_t version = 0; ///< 0: none is known.
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;
    std::unordered_map<KeyHash, std::size_t> customerOfKey; ///< Made by indexKeys().
};

/// Fills customerOfKey.
void indexKeys(Configuration &configuration);

/// The route of \a host with the longest prefix of \a path; null where there is none.
const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view path);

const Service *findService(const Configuration &configuration, const ServiceId &id);

/// The customer that holds the key; null where nobody does.
const Customer *findCustomer(const Configuration &configuration, const KeyHash &key);

/// The service that a request of \a route goes to, by weight. \a draw is uniform in [0, 1).
const ServiceId *pickService(const Route &route, double draw);

} // namespace azurewell::gateway
