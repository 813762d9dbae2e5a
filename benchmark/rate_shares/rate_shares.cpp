#include "share_simulation.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>

using namespace azurewell;

namespace {

/// The second customer sends five times its rate, the others 80 % of theirs.
std::vector<SimulatedCustomer> customersOf(const std::vector<double> &rates, double burstSeconds)
{
    std::vector<SimulatedCustomer> customers;
    customers.reserve(rates.size());
    for (const double rate : rates)
        customers.push_back(SimulatedCustomer{ rate, rate * burstSeconds, 0.8 });
    customers[1].offered = 5;
    return customers;
}

ShareScenario vigia()
{
    ShareScenario scenario;
    scenario.name = "vigia-7";
    scenario.zoneSeats = { 3, 2, 2 };
    scenario.customers = customersOf({ 24000, 8000, 8000, 4000, 4000 }, 4);
    scenario.zoneDelay = fromSeconds(0.0015);
    return scenario;
}

ShareScenario tunisia()
{
    ShareScenario scenario;
    scenario.name = "tunisia-6";
    scenario.zoneSeats = { 2, 2, 2 };
    scenario.customers = customersOf({ 8000, 8000, 4000, 4000, 4000 }, 4);
    scenario.zoneDelay = fromSeconds(0.0005);
    return scenario;
}

/// Returns a scenario of \a hosts in nine zones. The load is proportional to the number of hosts;
/// the design size is 390.
ShareScenario large(std::uint32_t hosts)
{
    ShareScenario scenario;
    scenario.name = fmt::format("design-{}", hosts);
    for (std::uint32_t zone = 0; zone < 9; ++zone)
        scenario.zoneSeats.push_back(hosts / 9 + (zone < hosts % 9 ? 1 : 0));
    constexpr int customers = 40;
    std::vector<double> rates;
    rates.reserve(customers);
    for (int customer = 0; customer < customers; ++customer)
        rates.push_back(hosts * 2000.0 / (customer + 4));
    scenario.customers = customersOf(rates, 4);
    scenario.zoneDelay = fromSeconds(0.005);
    scenario.length = fromSeconds(20);
    return scenario;
}

const char *nameOf(SharePolicy policy)
{
    switch (policy) {
    case SharePolicy::Central:
        return "central";
    case SharePolicy::StaticSplit:
        return "static";
    case SharePolicy::OneOwner:
        return "one-owner";
    case SharePolicy::Lending:
        break;
    }
    return "lending";
}

void report(const ShareScenario &scenario, const std::string &variant)
{
    const ShareOutcome outcome = simulate(scenario);
    const double withinRate = static_cast<double>(std::max<std::uint64_t>(1, outcome.withinRate));
    fmt::print("{:<11} {:<8} {:<20} {:>7} {:>7.3f}% {:>6.3f} {:>7.4f} {:>7.3f} {:>8.1f} {:>8.0f}\n",
               scenario.name, scenario.pattern == BalancerPattern::Skewed ? "skew3:1" : "onehost",
               std::string(nameOf(scenario.policy)) + variant, outcome.withinRate,
               100.0 * static_cast<double>(outcome.refusedWithinRate) / withinRate,
               outcome.usedAboveRate, outcome.worstExcess, outcome.waitP99,
               outcome.messagesPerSecondPerNode, outcome.bytesPerSecondPerNode);
    std::fflush(stdout);
}

void comparePolicies(ShareScenario scenario)
{
    for (const BalancerPattern pattern : { BalancerPattern::Skewed, BalancerPattern::OneHost }) {
        scenario.pattern = pattern;
        for (const SharePolicy policy : { SharePolicy::Central, SharePolicy::StaticSplit,
                                          SharePolicy::OneOwner, SharePolicy::Lending }) {
            scenario.policy = policy;
            report(scenario, "");
        }
    }
}

void compareSettings(ShareScenario scenario)
{
    scenario.policy = SharePolicy::Lending;
    scenario.pattern = BalancerPattern::OneHost;
    for (const double fraction : { 0.25, 0.5, 1.0 }) {
        scenario.maxFractionPerBorrower = fraction;
        report(scenario, fmt::format("/borrower {}", fraction));
    }
    scenario.maxFractionPerBorrower = ShareSettings{}.maxFractionPerBorrower;
    for (const double quantile : { 0.95, 0.8, 0.5 }) {
        scenario.reservedQuantile = quantile;
        report(scenario, fmt::format("/quantile {}", quantile));
    }
}

} // namespace

/// Compares policies that divide a customer's rate: wrongful refusals, excess over the limit, and
/// messages. All rows use the same seed.
int main(int argc, char **argv)
{
    CLI::App app{ "Compares policies that divide a customer's rate and burst among the hosts" };
    std::uint64_t seed = 1;
    bool hasLargeFleets = false;
    std::uint32_t owners = ShareSettings{}.layout.maxOwners;
    app.add_option("--seed", seed, "Seed of arrivals, lengths and delays");
    app.add_flag("--large", hasLargeFleets, "Also simulate 60 and 390 hosts (takes minutes)");
    app.add_option("--owners", owners,
                   "Approximate number of owners of a customer's rate over all zones");
    CLI11_PARSE(app, argc, argv);

    fmt::print("{:<11} {:<8} {:<20} {:>7} {:>8} {:>6} {:>7} {:>7} {:>8} {:>8}\n", "fleet",
               "balancer", "policy", "inside", "refused", "used5x", "excess", "wait99", "msg/s",
               "bytes/s");
    std::vector<ShareScenario> scenarios{ vigia(), tunisia() };
    if (hasLargeFleets) {
        scenarios.push_back(large(60));
        scenarios.push_back(large(390));
    }
    for (ShareScenario &scenario : scenarios) {
        scenario.seed = seed;
        scenario.maxOwners = owners;
        comparePolicies(scenario);
    }
    compareSettings(scenarios[0]);
    compareSettings(scenarios[1]);
    return 0;
}
