#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurewell::load {

struct CustomerShare
{
    CustomerId id;
    double rateShare = 1.0; ///< Rate relative to the other customers'.
    double weight = 1.0;
};

/// Size of one deployment, as in examples/*/ticket-1.json.
struct Deployment
{
    std::string name;
    std::uint32_t engines = 0;
    std::uint32_t hosts = 0;
    std::uint32_t batchSlots = 16;
    std::uint32_t adapterSlots = 8;
    std::uint32_t adapters = 3000;
    double loadsPerSecond = 4;
    std::vector<CustomerShare> customers;
};

/// Deviations of a run from steady arrivals with Zipf 1.0 popularity at `load` of the capacity.
struct Pattern
{
    std::string name;
    double load = 0.5;      ///< Offered slot time divided by the slot time of all engines.
    double oversold = 1.2;  ///< Sum of the customers' rates divided by the capacity.
    double burst = 1.0;     ///< Factor on all arrivals for 10 s of each minute.
    double hotFactor = 1.0; ///< Factor on the arrivals of hotCustomer.
    std::size_t hotCustomer = 0;
    bool isHotKey = false;      ///< The hot customer requests a single adapter.
    double hotAdapterShare = 0; ///< Fraction of the hot customer's requests for its 9th adapter.
    double slowness = 1.0;      ///< Factor on the durations of engine 0.
    bool hasLongJobs = false;   ///< One customer's answers are ten times as long as the others'.
    bool hasShift = false;      ///< The popularity of the adapters is shuffled after 200 s.
    double restartEvery = 0;    ///< Seconds between cold restarts of single engines; 0 means none.
    double storeSlowness = 1.0; ///< Factor on the durations of the weight store.
    std::uint32_t failedLoads = 0; ///< Failing loads of customer 1's most popular adapter.
    double skew = 1.0; ///< Arrivals at the first host divided by those at each other host.
};

/// One request of the workload.
struct Job
{
    std::size_t customer = 0;
    AdapterRef adapter;
    std::size_t host = 0;
    Instant arrival;
    Instant deadline; ///< The caller disconnects at this time.
    Tokens prompt;
    Tokens generated;     ///< Tokens that the engine will generate.
    Tokens maxGenerated;  ///< The caller's max_tokens, the only length known in advance.
    bool isInRate = true; ///< Within the customer's fleet-wide rate and burst.
};

/// Requests that arrive between measureFrom and measureUntil are measured. Arrivals continue until
/// runUntil, so that the last measured requests meet the same contention as the first.
inline constexpr Instant measureFrom{ 60'000'000 };
inline constexpr Instant measureUntil{ 360'000'000 };
inline constexpr Instant runUntil{ 450'000'000 };

inline constexpr double secondsPerPromptToken = 0.001;
inline constexpr double secondsPerGeneratedToken = 0.040;

/// Returns the time in a batch slot on a healthy engine.
Span serviceTime(const Job &job);

std::vector<Deployment> deployments();
std::vector<Pattern> patterns();

/// Returns the requests of a run in order of arrival. Equal arguments give equal requests.
std::vector<Job> makeJobs(const Deployment &deployment, const Pattern &pattern, std::uint64_t seed);

} // namespace azurewell::load
