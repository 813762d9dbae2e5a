#include "fleet_run.h"
#include "measures.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>

using namespace azurewell::load;

namespace {

struct Options
{
    bool isJson = false;
    std::string plot;
    std::string only;
    std::uint64_t seed = 1;
};

std::vector<Measures> runAll(const Options &options)
{
    std::vector<Measures> all;
    for (const Deployment &deployment : deployments()) {
        for (const Pattern &pattern : patterns()) {
            if (!options.only.empty() && options.only != pattern.name)
                continue;
            const std::vector<Job> jobs = makeJobs(deployment, pattern, options.seed);
            for (const Policy policy : { Policy::Baseline, Policy::Current }) {
                const RunResult result = runFleet(deployment, pattern, policy, jobs, options.seed);
                Measures measures = measure(deployment, jobs, result);
                measures.pattern = pattern.name;
                measures.deployment = deployment.name;
                measures.policy = policy == Policy::Baseline ? "baseline" : "current";
                all.push_back(std::move(measures));
            }
        }
    }
    return all;
}

void printTable(const std::vector<Measures> &all)
{
    fmt::print("| {:14} | {:18} | {:8} | worst | wrongful | of | stall p95 | batch eff. | goodput "
               "| first token p95 |\n|---|---|---|---|---|---|---|---|---|---|\n",
               "deployment", "pattern", "policy");
    for (const Measures &row : all)
        fmt::print("| {:14} | {:18} | {:8} | {:.3f} | {} | {} | {:.2f} | {:.3f} | {:.0f} | {:.1f} "
                   "|\n",
                   row.deployment, row.pattern, row.policy, row.worstCustomerShare,
                   row.wrongfulRefusals, row.inRate, row.loadStallP95, row.batchEfficiency,
                   row.goodput, row.firstTokenP95);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "Runs the decision modules against in-memory fakes under seeded load patterns." };
    Options options;
    app.add_flag("--json", options.isJson, "Print one JSON object per line instead of a table");
    app.add_option("--plot", options.plot, "Write an SVG bar chart to this file");
    app.add_option("--only", options.only, "Run this pattern only");
    app.add_option("--seed", options.seed, "Seed of arrivals and lengths")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    const std::vector<Measures> all = runAll(options);
    if (options.isJson) {
        for (const Measures &measures : all)
            fmt::print("{}\n", toJson(measures));
    } else {
        printTable(all);
    }
    if (!options.plot.empty()) {
        std::ofstream file(options.plot);
        file << toSvg(all);
        if (!file.flush()) {
            fmt::print(stderr, "cannot write {}\n", options.plot);
            return 1;
        }
    }
    return 0;
}
