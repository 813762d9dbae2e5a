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

/// Runs the event loop for \a seconds, however long that is.
void runFor(double seconds)
{
    const Instant until = monotonicNow() + fromSeconds(seconds);
    while (monotonicNow() < until)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
}

std::int64_t mostResident(const World &world)
{
    std::int64_t most = 0;
    for (const std::unique_ptr<tests::HostProcess> &host : world.hosts)
        most = std::max(most, host->residentBytes());
    return most;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

double metricOfAll(const World &world, const QByteArray &sample)
{
    double sum = 0;
    for (const std::unique_ptr<tests::HostProcess> &host : world.hosts)
        sum += std::max(0.0, host->metric(sample));
    return sum;
}

/// What must hold whatever fails; each entry is a violation.
std::vector<std::string> violations(World &world, const Results &results, const Faults &faults,
                                    double seconds)
{
    std::vector<std::string> found;
    const auto expect = [&found](bool holds, const std::string &what) {
        if (!holds)
            found.push_back(what);
    };
    expect(results.lost == 0, "an answer was cut off without a word");
    expect(results.doubled == 0, "an answer has a doubled or missing token");
    expect(results.crossed == 0, "an answer has another request's text");
    expect(results.whole > 0, "no request was answered");
    for (const std::string &failure : faults.hostFailures)
        found.push_back(failure);
    for (const auto &[body, told] : results.filings) {
        const auto runs = world.service.runsByBody.find(body);
        const std::uint64_t count = runs == world.service.runsByBody.end() ? 0 : runs->second;
        expect(count <= 1, body + " ran " + std::to_string(count) + " times");
        expect(told != "ran" || count == 1, body + " was answered and did not run");
        expect(told != "not_run" || count == 0, body + " ran; its caller was told that it did not");
    }
    for (const Tenant &tenant : tenants()) {
        const double allowed = customerRate * seconds + customerBurst;
        const double made = static_cast<double>(world.tokensMadeFor(tenant));
        expect(made <= allowed,
               fmt::format("{}: {} tokens made, {} allowed", tenant.name.toStdString(), made,
                           allowed));
        for (const std::unique_ptr<tests::HostProcess> &host : world.hosts)
            expect(!host->log().contains(tenant.key), "a key stands in a log");
    }
    expect(world.service.keysSeen == 0, "the service saw a key");
    for (const std::unique_ptr<standins::Engine> &engine : world.engines) {
        expect(engine->keysSeen == 0, "an engine saw a key");
        expect(engine->unloadedWhileServing == 0, "a serving adapter was unloaded");
    }
    return found;
}

int run(std::uint64_t seed, double seconds, int callerCount)
{
    World world;
    const Instant start = monotonicNow();
    if (!world.start()) {
        fmt::print(stderr, "a host does not start\n");
        return 2;
    }
    Results results;
    std::mt19937_64 seeds(seed);
    Faults faults(world, seeds());
    std::vector<std::unique_ptr<SoakCaller>> callers;
    for (int index = 0; index < callerCount; ++index) {
        callers.push_back(std::make_unique<SoakCaller>(world, results, seeds()));
        callers.back()->next();
    }
    faults.start();
    const double early = std::min(60.0, seconds / 4);
    runFor(early);
    const std::int64_t firstBytes = mostResident(world);
    runFor(seconds - early);
    faults.stop();
    for (const std::unique_ptr<SoakCaller> &caller : callers)
        caller->isLast = true;
    const bool isQuiet = tests::waitUntil([&] {
        return faults.isQuiet()
                && std::all_of(callers.begin(), callers.end(),
                               [](const auto &caller) { return caller->isQuiet; });
    });
    std::vector<std::string> found = violations(world, results, faults,
                                                toSeconds(monotonicNow() - start));
    if (!isQuiet)
        found.emplace_back("a request or a fault did not end");
    const nlohmann::json report{
        { "seed", seed },
        { "seconds", seconds },
        { "requests", results.requests },
        { "whole", results.whole },
        { "ended_early", results.endedEarly },
        { "callers_left", results.left },
        { "unreached", results.unreached },
        { "refusals", results.refusals },
        { "filings", results.filings.size() },
        { "faults", faults.begun },
        { "resumed", metricOfAll(world, "azurewell_resumes_total") },
        { "mismatches", metricOfAll(world, "azurewell_answer_mismatches_total") },
        { "lost", results.lost },
        { "doubled", results.doubled },
        { "crossed", results.crossed },
        { "whole_p50_s", quantile(results.seconds, 0.5) },
        { "whole_p99_s", quantile(results.seconds, 0.99) },
        { "memory_first_bytes", firstBytes },
        { "memory_last_bytes", mostResident(world) },
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
    CLI::App options("Three hosts under load and random faults, two at a time; exits 1 where a "
                     "promise was broken.");
    std::uint64_t seed = 1;
    double seconds = 20;
    int callers = 24;
    options.add_option("--seed", seed, "Of the faults and the requests");
    options.add_option("--seconds", seconds, "How long")->check(CLI::Range(5, 86400));
    options.add_option("--callers", callers, "Requests at once")->check(CLI::Range(1, 500));
    CLI11_PARSE(options, argc, argv);
    return azurewell::soak::run(seed, seconds, callers);
}
