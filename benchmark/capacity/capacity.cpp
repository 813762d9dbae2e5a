// Control-plane cost of one node in messages, bytes and processor time, measured with the core's
// handle() and encoded frames. docs/CAPACITY.md lists the commands.

#include "fleet_model.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

int main(int argc, char **argv)
{
    azurewell::capacity::FleetOptions options;
    options.chartsDirectory = AZUREWELL_CHARTS_DIR;
    CLI::App app("Simulates a fleet in memory and prints the control-plane cost of one node.");
    app.add_option("--hosts", options.hosts, "Entry hosts")->check(CLI::Range(1, 400));
    app.add_option("--zones", options.zones, "Availability zones")->check(CLI::Range(1, 9));
    app.add_option("--engines-per-host", options.enginesPerHost, "Engines per host")
            ->check(CLI::Range(1, 20));
    app.add_option("--adapters", options.adapters, "Adapters in force")
            ->check(CLI::Range(1, 200000));
    app.add_option("--customers", options.customers, "Customers")->check(CLI::Range(1, 10000));
    app.add_option("--requests", options.requestsPerHost, "Requests per second at each host");
    app.add_option("--tickets", options.ticketsPerSecond, "Tickets per second");
    app.add_option("--warm-up", options.warmUpSeconds, "Simulated seconds before the measurement");
    app.add_option("--seconds", options.seconds, "Simulated seconds that are measured");
    app.add_option("--seed", options.seed, "Seed of the random requests");
    CLI11_PARSE(app, argc, argv);

    const azurewell::capacity::NodeCost cost = azurewell::capacity::FleetModel(options).run();
    fmt::print("hosts={} zones={} engines={} requests_s={:.1f} messages_s={:.1f} bytes_s={:.0f} "
               "core_share={:.5f} "
               "worst_ticket_s={:.2f} bytes_by_kind=",
               options.hosts, options.zones, options.hosts * options.enginesPerHost,
               cost.requestsPerSecond, cost.messagesPerSecond, cost.bytesPerSecond, cost.coreShare,
               cost.worstTicketSeconds);
    for (std::size_t kind = 0; kind < cost.bytesByKind.size(); ++kind) {
        if (cost.bytesByKind[kind] > 0)
            fmt::print("{}:{:.0f} ", kind, cost.bytesByKind[kind]);
    }
    fmt::print("\n");
    return 0;
}
