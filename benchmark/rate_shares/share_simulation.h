#pragma once

#include "azurewell/limits/share_holder.h"

#include <cstdint>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace azurewell {

/// How a customer's rate is divided over the hosts.
enum class SharePolicy : std::uint8_t {
    Central,     ///< One bucket for all hosts, without delay: what no distributed policy can beat.
    StaticSplit, ///< Every host holds an equal part and nothing moves.
    OneOwner,    ///< One owner in each zone, which lends.
    Lending,     ///< The product.
};

/// Where the balancer sends a customer's requests.
enum class BalancerPattern : std::uint8_t {
    Skewed,  ///< A third of the hosts gets three times as much as each of the others.
    OneHost, ///< All requests of a customer go to one host, to another one every ten seconds.
};

struct SimulatedCustomer
{
    double ratePerSecond = 0;
    double burst = 0;
    double offered = 0; ///< Tokens asked for, in parts of the rate.
};

/// What is simulated.
struct ShareScenario
{
    std::string name;
    std::vector<std::uint32_t> zoneSeats;
    std::vector<SimulatedCustomer> customers;
    Span zoneDelay{}; ///< One way between zones; a tenth of a millisecond inside.
    BalancerPattern pattern = BalancerPattern::Skewed;
    SharePolicy policy = SharePolicy::Lending;
    double reservedQuantile = 1.0; ///< 1 reserves max_tokens, less the quantile of what was made.
    double mostPerBorrower = ShareSettings{}.mostPerBorrower;
    std::uint32_t mostOwners = LayoutSettings{}.mostOwners;
    Span length = fromSeconds(70);
    std::uint64_t seed = 1;
};

/// What came out, after the first ten seconds.
struct ShareOutcome
{
    std::uint64_t inside = 0;        ///< Requests of customers that stay inside their rate.
    std::uint64_t refusedInside = 0; ///< Of these, refused.
    std::uint64_t outside = 0;       ///< Requests of the customer far above its rate.
    std::uint64_t refusedOutside = 0;
    double usedOutside = 0; ///< Tokens made for that customer over its rate times the time.
    double worstExcess = 0; ///< Largest overdraft of any customer over any window, of its burst.
    double waitP99 = 0;     ///< Seconds that an admitted request inside the rate waited.
    double messagesPerSecondPerNode = 0;
    double bytesPerSecondPerNode = 0;
};

ShareOutcome simulate(const ShareScenario &scenario);

} // namespace azurewell
