#include "reading_fleet.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <iterator>

namespace {

using namespace azurewell;
using namespace azurewell::gateway;

constexpr Span settling = std::chrono::seconds(4);
constexpr Span calm = std::chrono::seconds(8);
constexpr Span silence = std::chrono::seconds(6);
constexpr Span after = std::chrono::seconds(3);

struct Options
{
    std::size_t hostsPerZone = 3;
    std::size_t zones = 3;
    double changesPerSecond = 0;
    int inForceWithinMillis = 2000;
};

std::vector<Instant> changesOf(const Options &options)
{
    std::vector<Instant> changes{ ReadingFleet::begins };
    if (options.changesPerSecond <= 0)
        return changes;
    const Span interval = fromSeconds(1 / options.changesPerSecond);
    const Instant end = ReadingFleet::begins + settling + calm + silence + after;
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
    const Instant calmBegins = ReadingFleet::begins + settling;
    const Instant silent = calmBegins + calm;
    const Instant returns = silent + silence;
    const FakeStore store{ changesOf(options), silent, returns };
    const Span bound = std::chrono::milliseconds(options.inForceWithinMillis);
    ReadingFleet fleet({ options.zones, options.hostsPerZone }, store, bound, 1);
    fleet.runUntil(calmBegins);
    const double inCalm = callsPerSecond(fleet, calmBegins, calm);
    const double inSilence = callsPerSecond(fleet, silent, silence);
    const double afterReturn = callsPerSecond(fleet, returns, after);
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} |\n", options.zones * options.hostsPerZone,
               options.changesPerSecond, inCalm, inSilence, afterReturn);
}

} // namespace

/// Calls a second that a fleet makes at the store: in calm, while the store is silent, and in the
/// three seconds after its return.
int main(int argc, char **argv)
{
    CLI::App app("calls of a fleet to the platform's store");
    Options options;
    app.add_option("--hosts-per-zone", options.hostsPerZone, "hosts in each zone");
    app.add_option("--zones", options.zones, "zones");
    app.add_option("--changes", options.changesPerSecond, "changes a second at the store");
    app.add_option("--in-force-ms", options.inForceWithinMillis, "a change is to be in force then");
    CLI11_PARSE(app, argc, argv);
    measure(options);
    return 0;
}
