#include "faults.h"
#include "soak_caller.h"

#include "azurewell/http/clock.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <QtCore/QCoreApplication>
#include <QtCore/QTimer>

#include <algorithm>
#include <csignal>

namespace azurewell::soak {

namespace {

/// Runs the event loop for \a seconds.
void runFor(double seconds)
{
    const Instant until = monotonicNow() + fromSeconds(seconds);
    while (monotonicNow() < until)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
}

std::int64_t maxResidentBytes(const World &world)
{
    std::int64_t maximum = 0;
    for (const std::unique_ptr<tests::HostProcess> &host : world.hosts)
        maximum = std::max(maximum, host->residentBytes());
    return maximum;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

double metricSum(const World &world, const QByteArray &sample)
{
    double sum = 0;
    for (const std::unique_ptr<tests::HostProcess> &host : world.hosts)
        sum += std::max(0.0, host->metric(sample));
    return sum;
}

/// Checks the invariants that must hold under every fault. A description of each violation.
std::vector<std::string> violations(World &world, const Results &results, const Faults &faults,
                                    double seconds)
{
    std::vector<std::string> found;
    const auto expect = [&found](bool holds, const std::string &what) {
        if (!holds)
            found.push_back(what);
    };
    expect(results.lost == 0, "an answer was cut off without an error");
    expect(results.doubled == 0, "an answer has a duplicate or missing token");
    expect(results.crossed == 0, "an answer contains text of another request");
    expect(results.whole > 0, "no request was answered");
    for (const std::string &failure : faults.hostFailures)
        found.push_back(failure);
    for (const auto &[body, reported] : results.filings) {
        const auto runs = world.service.runsByBody.find(body);
        const std::uint64_t count = runs == world.service.runsByBody.end() ? 0 : runs->second;
        expect(count <= 1, body + " ran " + std::to_string(count) + " times");
        expect(reported != "ran" || count == 1, body + " was answered but did not run");
        expect(reported != "not_run" || count == 0, body + " ran but was reported as not run");
    }
    for (const Tenant &tenant : tenants()) {
        const double allowed = customerRate * seconds + customerBurst;
        const double generated = static_cast<double>(world.tokensGeneratedFor(tenant));
        expect(generated <= allowed,
               fmt::format("{}: {} tokens generated, limit {}", tenant.name.toStdString(),
                           generated, allowed));
        for (const std::unique_ptr<tests::HostProcess> &host : world.hosts)
            expect(!host->log().contains(tenant.key), "an API key was logged");
    }
    expect(world.service.requestsWithKey == 0, "the service received an API key");
    for (const std::unique_ptr<standins::Engine> &engine : world.engines) {
        expect(engine->requestsWithKey == 0, "an engine received an API key");
        expect(engine->unloadsWhileServing == 0, "an adapter was unloaded while serving");
    }
    return found;
}

int run(std::uint64_t seed, double seconds, int callerCount)
{
    World world;
    const Instant start = monotonicNow();
    if (!world.start()) {
        fmt::print(stderr, "a host did not become ready\n");
        return 2;
    }
    Results results;
    std::mt19937_64 seeds(seed);
    Faults faults(world, seeds());
    std::vector<std::unique_ptr<SoakCaller>> callers;
    for (int index = 0; index < callerCount; ++index) {
        callers.push_back(std::make_unique<SoakCaller>(world, results, seeds()));
        callers.back()->sendNext();
    }
    faults.start();
    const double warmUpSeconds = std::min(60.0, seconds / 4);
    runFor(warmUpSeconds);
    const std::int64_t firstBytes = maxResidentBytes(world);
    runFor(seconds - warmUpSeconds);
    faults.stop();
    for (const std::unique_ptr<SoakCaller> &caller : callers)
        caller->isStopping = true;
    const bool isIdle = tests::waitUntil([&] {
        return faults.isIdle()
                && std::all_of(callers.begin(), callers.end(),
                               [](const auto &caller) { return caller->isIdle; });
    });
    std::vector<std::string> found = violations(world, results, faults,
                                                toSeconds(monotonicNow() - start));
    if (!isIdle)
        found.emplace_back("a request or a fault did not end in time");
    const nlohmann::json report{
        { "seed", seed },
        { "seconds", seconds },
        { "requests", results.requests },
        { "whole", results.whole },
        { "ended_early", results.endedEarly },
        { "callers_left", results.disconnected },
        { "unreached", results.unreached },
        { "refusals", results.refusals },
        { "filings", results.filings.size() },
        { "faults", faults.startedByName },
        { "resumed", metricSum(world, "azurewell_resumes_total") },
        { "mismatches", metricSum(world, "azurewell_answer_mismatches_total") },
        { "lost", results.lost },
        { "doubled", results.doubled },
        { "crossed", results.crossed },
        { "whole_p50_s", quantile(results.seconds, 0.5) },
        { "whole_p99_s", quantile(results.seconds, 0.99) },
        { "memory_first_bytes", firstBytes },
        { "memory_last_bytes", maxResidentBytes(world) },
        { "violations", found },
    };
    fmt::print("{}\n", report.dump(1));
    return found.empty() ? 0 : 1;
}

} // namespace

} // namespace azurewell::soak

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication application(argc, argv);
    CLI::App options(
            "Runs three hosts under load and random faults, two at a time; exits with 1 if "
            "an invariant was violated.");
    std::uint64_t seed = 1;
    double seconds = 20;
    int callers = 24;
    options.add_option("--seed", seed, "Seed of the faults and the requests");
    options.add_option("--seconds", seconds, "Duration of the run")->check(CLI::Range(5, 86400));
    options.add_option("--callers", callers, "Number of concurrent callers")
            ->check(CLI::Range(1, 500));
    CLI11_PARSE(options, argc, argv);
    return azurewell::soak::run(seed, seconds, callers);
}
