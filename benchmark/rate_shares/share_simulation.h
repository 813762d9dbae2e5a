#pragma once

#include "azurewell/limits/rate_shares.h"

#include <cstdint>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace azurewell {

/// How a customer's rate is divided over the hosts.
enum class SharePolicy : std::uint8_t {
    Central, ///< One bucket for all hosts without delay: the optimum for any distributed policy.
    StaticSplit, ///< Every host owns an equal share; no loans.
    OneOwner,    ///< One owner in each zone, which lends to other hosts.
    Lending,     ///< The product's policy: about maxOwners owners, which lend to other hosts.
};

/// Where the balancer sends a customer's requests.
enum class BalancerPattern : std::uint8_t {
    Skewed,  ///< A third of the hosts get three times as many requests as the others.
    OneHost, ///< Each customer's requests go to one host, which changes every ten seconds.
};

struct SimulatedCustomer
{
    double ratePerSecond = 0;
    double burst = 0;
    double offered = 0; ///< Requested tokens per second as a multiple of the rate.
};

/// Parameters of one simulation.
struct ShareScenario
{
    std::string name;
    std::vector<std::uint32_t> zoneSeats;
    std::vector<SimulatedCustomer> customers;
    Span zoneDelay{}; ///< One way between zones; within a zone it is 0.1 ms.
    BalancerPattern pattern = BalancerPattern::Skewed;
    SharePolicy policy = SharePolicy::Lending;
    /// Quantile of recent answer lengths to reserve; 1 reserves max_tokens.
    double reservedQuantile = 1.0;
    double maxFractionPerBorrower = ShareSettings{}.maxFractionPerBorrower;
    std::uint32_t maxOwners = LayoutSettings{}.maxOwners;
    Span length = fromSeconds(70);
    std::uint64_t seed = 1;
};

/// Results, without the first ten seconds.
struct ShareOutcome
{
    std::uint64_t withinRate = 0;        ///< Requests of customers that stay within their rate.
    std::uint64_t refusedWithinRate = 0; ///< Refused requests among them.
    std::uint64_t aboveRate = 0;         ///< Requests of customers that exceed their rate.
    std::uint64_t refusedAboveRate = 0;
    double usedAboveRate = 0; ///< Tokens used by these customers divided by rate x time.
    double worstExcess = 0;   ///< Maximum excess over any window, divided by the burst.
    double waitP99 = 0; ///< Seconds that admitted requests within the rate waited, 99th percentile.
    double messagesPerSecondPerNode = 0;
    double bytesPerSecondPerNode = 0;
};

ShareOutcome simulate(const ShareScenario &scenario);

} // namespace azurewell
