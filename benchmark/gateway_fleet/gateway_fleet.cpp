#include "world.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace {

using namespace azurewell;
using namespace azurewell::gateway;

double processSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void printRow(std::string_view kind, std::string_view to, const SentCount &now,
              const SentCount &before, double hostSeconds)
{
    fmt::print("  {:14} {:9} {:7.1f} messages/s {:8.0f} bytes/s\n", kind, to,
               static_cast<double>(now.messages - before.messages) / hostSeconds,
               static_cast<double>(now.bytes - before.bytes) / hostSeconds);
}

/// Prints messages and bytes per second of one host by kind, within its zone and to other zones.
void printKinds(const SentCounts &sent, SentCounts before, double hostSeconds)
{
    for (const auto &[kind, byZone] : sent) {
        const SentByZone &earlier = before[kind];
        printRow(nameOf(kind), "zone", byZone.inZone, earlier.inZone, hostSeconds);
        printRow(nameOf(kind), "elsewhere", byZone.inOtherZones, earlier.inOtherZones, hostSeconds);
    }
}

void printStreams(const World &world)
{
    OriginCounters sum;
    for (std::size_t host = 0; host < world.hostCount(); ++host) {
        const OriginCounters &counters = world.hostState(host).counters.origins;
        sum.recorded += counters.recorded;
        sum.sent += counters.sent;
        sum.questions += counters.questions;
        sum.unknown += counters.unknown;
    }
    const std::vector<Span> &waits = world.resumptionWaits;
    const auto known = std::count_if(waits.begin(), waits.end(), [](Span wait) {
        return wait <= std::chrono::milliseconds(5);
    });
    fmt::print(
            "{} streams recorded, {} records sent, {} questions; {} of {} resumptions sent on, {} "
            "of them within 5 ms; {} refused as unknown; {} streams of two versions\n",
            sum.recorded, sum.sent, sum.questions, waits.size(), world.resumptionsSent, known,
            sum.unknown, world.streamsOfTwoVersions);
}

} // namespace

/// Measures the traffic between the hosts of a gateway fleet and its processor time. The cores of
/// all hosts run in one process; messages are encoded as on the wire. The processor time includes
/// the fakes but no sockets.
int main(int argc, char **argv)
{
    WorldSettings settings;
    settings.countsBytes = true;
    double requestsPerHost = 5;
    int warmUpSeconds = 10;
    int seconds = 5;
    CLI::App app("Messages and processor time of a simulated fleet");
    app.add_option("--hosts-per-zone", settings.hostsPerZone, "hosts in each availability zone");
    app.add_option("--zones", settings.zones, "availability zones");
    app.add_option("--engines-per-zone", settings.enginesPerZone, "engines in each zone");
    app.add_option("--adapters", settings.adapters, "adapters that are requested, Zipf 1.2");
    app.add_option("--requests", requestsPerHost, "requests per second at each host");
    app.add_flag("--streams", settings.servesStreams, "plain servers with streams that break");
    app.add_option("--versions", settings.softwareVersions, "software versions of the servers");
    app.add_option("--warm-up", warmUpSeconds, "seconds before the measurement");
    app.add_option("--seconds", seconds, "seconds that are measured");
    CLI11_PARSE(app, argc, argv);
    // As deployments configure it: one load at full speed for every two engines, and at least 8.
    settings.fullSpeedLoads = std::max<std::size_t>(8,
                                                    settings.zones * settings.enginesPerZone / 2);
    const std::size_t hosts = settings.zones * settings.hostsPerZone;
    settings.requestsPerSecond = requestsPerHost * static_cast<double>(hosts);

    World world{ settings };
    world.runFor(std::chrono::seconds(warmUpSeconds));
    const std::uint64_t messages = world.messages;
    const std::uint64_t bytes = world.messageBytes;
    const std::uint64_t loads = world.loads;
    const SentCounts sent = world.sentByKind;
    const double startSeconds = processSeconds();
    world.runFor(std::chrono::seconds(seconds));
    const double hostSeconds = static_cast<double>(hosts) * seconds;
    fmt::print("{} hosts: {:.0f} messages/s, {:.0f} bytes/s, {:.2f} % of a core a host; "
               "{:.1f} loads/s over all; {} of {} requests answered\n",
               hosts, static_cast<double>(world.messages - messages) / hostSeconds,
               static_cast<double>(world.messageBytes - bytes) / hostSeconds,
               100 * (processSeconds() - startSeconds) / hostSeconds,
               static_cast<double>(world.loads - loads) / seconds, world.answered,
               world.requestsSent);
    printKinds(world.sentByKind, sent, hostSeconds);
    if (settings.servesStreams)
        printStreams(world);
    return world.violations.empty() ? 0 : 1;
}
