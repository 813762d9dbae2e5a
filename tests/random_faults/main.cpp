#include "world.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

/// Simulates several hosts under random faults for each seed, and stops at the first seed that
/// violates an invariant. Runs are deterministic for a given seed.
int main(int argc, char **argv)
{
    using namespace azurewell::faults;
    CLI::App app{ "Injects random faults into several hosts in one process and checks invariants" };
    Options options;
    std::string seeds;
    bool continuesOnFailure = false;
    int injectedBug = 0;
    app.add_option("--seed", options.seed, "Seed of the run");
    app.add_option("--seeds", seeds, "Range of seeds, A..B, inclusive");
    app.add_option("--hosts", options.hosts, "Number of hosts, spread over three zones");
    app.add_option("--steps", options.steps, "Number of steps of 50 ms virtual time");
    app.add_option("--sabotage", injectedBug,
                   "Number of a bug to inject (enum InjectedBug in checks.h)");
    app.add_flag("--go-on", continuesOnFailure, "Runs all seeds and lists every failure");
    app.add_flag("--trace", options.isTraced, "Prints faults and the actions of the hosts");
    CLI11_PARSE(app, argc, argv);

    options.injectedBug = static_cast<InjectedBug>(injectedBug);
    std::uint64_t first = options.seed;
    std::uint64_t last = options.seed;
    const std::size_t dots = seeds.find("..");
    if (dots != std::string::npos) {
        first = std::stoull(seeds.substr(0, dots));
        last = std::stoull(seeds.substr(dots + 2));
    }
    std::uint64_t failures = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t runs = 0;
    std::map<azurewell::ResultCode, std::uint64_t> refusals;
    for (options.seed = first; options.seed <= last; ++options.seed) {
        World world(options);
        const std::optional<std::string> failure = world.run();
        completed += world.checks.completed;
        refused += world.checks.refused;
        runs += world.checks.runs;
        for (const auto &[code, count] : world.checks.refusals)
            refusals[code] += count;
        if (!failure)
            continue;
        ++failures;
        fmt::print("FAILED {}\n  replay: random_faults --seed {} --hosts {} --steps {}\n", *failure,
                   options.seed, options.hosts, options.steps);
        if (!continuesOnFailure)
            break;
    }
    fmt::print("seeds {}..{}: {} failed; {} requests answered, {} refused, {} runs at upstreams\n",
               first, last, failures, completed, refused, runs);
    for (const auto &[code, count] : refusals)
        fmt::print("  refused {}: {}\n", azurewell::infoOf(code).name, count);
    return failures == 0 ? 0 : 1;
}
