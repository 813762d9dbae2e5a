#include "reading_fleet.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <iterator>

namespace {

using namespace azurewell;
using namespace azurewell::gateway;

constexpr Span settlingTime = std::chrono::seconds(4);
constexpr Span steadyTime = std::chrono::seconds(8);
constexpr Span outageTime = std::chrono::seconds(6);
constexpr Span recoveryTime = std::chrono::seconds(3);

struct Options
{
    std::size_t hostsPerZone = 3;
    std::size_t zones = 3;
    double changesPerSecond = 0;
    int inForceTimeoutMillis = 2000;
};

std::vector<Instant> changesOf(const Options &options)
{
    std::vector<Instant> changes{ ReadingFleet::begins };
    if (options.changesPerSecond <= 0)
        return changes;
    const Span interval = fromSeconds(1 / options.changesPerSecond);
    const Instant end = ReadingFleet::begins + settlingTime + steadyTime + outageTime
            + recoveryTime;
    while (changes.back() < end)
        changes.push_back(changes.back() + interval);
    return changes;
}

double callsPerSecond(ReadingFleet &fleet, Instant begin, Span span)
{
    const std::uint64_t before = fleet.calls();
    fleet.runUntil(begin + span);
    return static_cast<double>(fleet.calls() - before) / toSeconds(span);
}

void measure(const Options &options)
{
    const Instant steadyBegins = ReadingFleet::begins + settlingTime;
    const Instant outageBegins = steadyBegins + steadyTime;
    const Instant outageEnds = outageBegins + outageTime;
    const FakeStore store{ changesOf(options), outageBegins, outageEnds };
    const Span inForceTimeout = std::chrono::milliseconds(options.inForceTimeoutMillis);
    ReadingFleet fleet({ options.zones, options.hostsPerZone }, store, inForceTimeout, 1);
    fleet.runUntil(steadyBegins);
    const double inSteadyState = callsPerSecond(fleet, steadyBegins, steadyTime);
    const double inOutage = callsPerSecond(fleet, outageBegins, outageTime);
    const double afterOutage = callsPerSecond(fleet, outageEnds, recoveryTime);
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} |\n", options.zones * options.hostsPerZone,
               options.changesPerSecond, inSteadyState, inOutage, afterOutage);
}

} // namespace

/// Prints a fleet's calls per second to the platform's store: in steady state, while the store does
/// not answer, and in the three seconds after it answers again.
int main(int argc, char **argv)
{
    CLI::App app("Measures the calls of a fleet to the platform's store");
    Options options;
    app.add_option("--hosts-per-zone", options.hostsPerZone, "hosts in each zone");
    app.add_option("--zones", options.zones, "zones");
    app.add_option("--changes", options.changesPerSecond, "changes per second at the store");
    app.add_option("--in-force-ms", options.inForceTimeoutMillis,
                   "time limit for a change to be in force, milliseconds");
    CLI11_PARSE(app, argc, argv);
    measure(options);
    return 0;
}
