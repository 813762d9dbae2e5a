#include "load_callers.h"
#include "node_fleet.h"

#include "azurewell/http/clock.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <QtCore/QCoreApplication>

#include <atomic>
#include <csignal>
#include <sys/resource.h>
#include <thread>

// Plays callers against one host that gets only a share of a processor, for one or several builds
// of azurewelld, and prints what became of the callers at each load and patience.

namespace azurewell {

namespace {

using namespace tests;

constexpr const char *prefix = "/look/";
constexpr const char *service = "s";
constexpr std::size_t servers = 3;
constexpr std::size_t callersOfMeasurement = 24;
constexpr Span measuringTime = std::chrono::seconds(4);
constexpr Span settlingTime = std::chrono::seconds(2);
constexpr Span rest = std::chrono::seconds(1);
constexpr Span longestWait = std::chrono::seconds(10);

/// A part of each period in which the host runs; it is stopped for the rest.
struct Turns
{
    Span running{};
    Span period{};
};

/// Stops and continues a process until it is destroyed, and lets it run then.
class SharedProcessor
{
public:
    SharedProcessor(qint64 process, const Turns &turns)
        : thread([this, id = static_cast<pid_t>(process), turns] {
            while (!this->isOver) {
                ::kill(id, SIGCONT);
                std::this_thread::sleep_for(turns.running);
                ::kill(id, SIGSTOP);
                std::this_thread::sleep_for(turns.period - turns.running);
            }
            ::kill(id, SIGCONT);
        })
    {
    }
    ~SharedProcessor()
    {
        this->isOver = true;
        this->thread.join();
    }
    SharedProcessor(const SharedProcessor &) = delete;
    SharedProcessor &operator=(const SharedProcessor &) = delete;

private:
    std::atomic<bool> isOver{ false };
    std::thread thread;
};

/// Runs \a work on a thread of its own while this thread serves the store and the servers.
template <typename Work>
void runBeside(Work work)
{
    std::atomic<bool> isOver{ false };
    std::thread thread([&] {
        work();
        isOver = true;
    });
    while (!isOver)
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, 5);
    thread.join();
}

class OverloadBenchmark
{
public:
    explicit OverloadBenchmark(const Turns &given)
        : turns(given)
    {
        platform::testing::PlainConfiguration configuration;
        configuration.routes = { { prefix, service } };
        configuration.routeTimeout = longestWait + settlingTime;
        this->fleet.write(configuration);
        for (std::size_t i = 0; i < servers; ++i) {
            this->fleet.addServer(service);
            this->fleet.writeEntry(*this->fleet.servers.back());
        }
    }

    bool start(const std::string &program)
    {
        this->fleet.program = QString::fromStdString(program);
        this->fleet.startHost(0, true);
        const bool isReady = waitUntil([this] { return this->fleet.isReady(0); });
        runUntil(monotonicNow() + settlingTime);
        return isReady;
    }

    void end()
    {
        this->fleet.killHost(0);
    }

    double capacity()
    {
        const Load load = this->loadOf(0, longestWait, measuringTime);
        double perSecond = 0;
        this->beside([&] { perSecond = measureCapacity(load, callersOfMeasurement); });
        return perSecond;
    }

    LoadOutcomes play(double perSecond, Span wait, Span length)
    {
        const Load load = this->loadOf(perSecond, wait, length);
        LoadOutcomes outcomes;
        this->beside([&] { outcomes = azurewell::play(load); });
        runUntil(monotonicNow() + rest);
        return outcomes;
    }

private:
    template <typename Work>
    void beside(Work work)
    {
        const SharedProcessor shared(this->fleet.processId(0), this->turns);
        runBeside(work);
    }

    Load loadOf(double perSecond, Span wait, Span length)
    {
        Load load;
        load.host = { this->fleet.hostIp(0), platform::testing::callerPort };
        load.sourceIp = fmt::format("127.101.{}.{}", this->plays / 250, this->plays % 250 + 1);
        load.perSecond = perSecond;
        load.wait = wait;
        load.length = length;
        load.request = [wait, play = this->plays++](std::uint32_t number) {
            return platform::testing::plainRequest(fmt::format("{:08x}{:08x}", play, number),
                                                   prefix, {}, wait);
        };
        return load;
    }

    Turns turns;
    NodeFleet fleet;
    std::uint32_t plays = 0;
};

/// Each caller that waits holds a descriptor.
void allowManyDescriptors()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

} // namespace azurewell

int main(int argc, char **argv)
{
    using namespace azurewell;
    QCoreApplication application(argc, argv);
    CLI::App options("Callers beyond the processor time of a host");
    std::vector<std::string> programs;
    std::vector<double> loads{ 0.5, 0.9, 1.0, 1.1, 1.5, 3, 10 };
    std::vector<double> waits{ 0.5, 2, 10 };
    double seconds = 8;
    double runningMillis = 1;
    double periodMillis = 80;
    options.add_option("programs", programs, "Builds of azurewelld")->required();
    options.add_option("--loads", loads, "Multiples of what the first program can read");
    options.add_option("--waits", waits, "Seconds until a caller gives up");
    options.add_option("--seconds", seconds, "Length of a play");
    options.add_option("--running-ms", runningMillis, "Time that the host gets of each period");
    options.add_option("--period-ms", periodMillis, "Length of a period");
    CLI11_PARSE(options, argc, argv);
    allowManyDescriptors();
    OverloadBenchmark benchmark(
            { fromSeconds(runningMillis / 1000), fromSeconds(periodMillis / 1000) });
    double capacity = 0;
    for (const std::string &program : programs) {
        if (!benchmark.start(program))
            return 1;
        const double perSecond = benchmark.capacity();
        benchmark.end();
        capacity = capacity > 0 ? capacity : perSecond;
        fmt::print("{} reads {:.0f} a second\n", program, perSecond);
    }
    fmt::print("{:>5} {:>5} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7}\n", "load", "wait", "program",
               "asked", "in time", "told", "closed", "gave up");
    for (const double load : loads) {
        for (const double wait : waits) {
            for (std::size_t i = 0; i < programs.size(); ++i) {
                if (!benchmark.start(programs[i]))
                    return 1;
                const LoadOutcomes outcomes = benchmark.play(capacity * load, fromSeconds(wait),
                                                             fromSeconds(seconds));
                benchmark.end();
                fmt::print("{:>5} {:>5} {:>8} {:>7} {:>7.3f} {:>7} {:>7} {:>7}\n", load, wait, i,
                           outcomes.asked, static_cast<double>(outcomes.inTime) / outcomes.asked,
                           outcomes.told, outcomes.closed, outcomes.givenUp);
                std::fflush(stdout);
            }
        }
    }
    return 0;
}
