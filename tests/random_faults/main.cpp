#include "world.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

/// Runs seeded trials of the whole multi-host core with faults, and stops at the first seed that
/// breaks a promise. A seed replays exactly.
int main(int argc, char **argv)
{
    using namespace azurewell::faults;
    CLI::App app{ "Randomised faults over many hosts in one process" };
    Options options;
    std::string seeds;
    bool goesOn = false;
    int sabotage = 0;
    app.add_option("--seed", options.seed, "The seed of the trial");
    app.add_option("--seeds", seeds, "A range of seeds, A..B, both tried");
    app.add_option("--hosts", options.hosts, "Hosts, spread over three zones");
    app.add_option("--steps", options.steps, "Steps of 50 ms of virtual time");
    app.add_option("--sabotage", sabotage, "A fault of the harness itself (see checks.h)");
    app.add_flag("--go-on", goesOn, "Tries all seeds and lists every failure");
    app.add_flag("--trace", options.isTraced, "Prints what the hosts do and what is done to them");
    CLI11_PARSE(app, argc, argv);

    options.sabotage = static_cast<Sabotage>(sabotage);
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
        if (!goesOn)
            break;
    }
    fmt::print("seeds {}..{}: {} failed; {} requests answered, {} refused, {} runs at upstreams\n",
               first, last, failures, completed, refused, runs);
    for (const auto &[code, count] : refusals)
        fmt::print("  refused {}: {}\n", azurewell::infoOf(code).name, count);
    return failures == 0 ? 0 : 1;
}
