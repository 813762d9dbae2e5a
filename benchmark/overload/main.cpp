#include "load_callers.h"
#include "node_fleet.h"
#include "processor_share.h"

#include "azurewell/http/clock.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <QtCore/QCoreApplication>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <thread>

// Plays callers against one host that gets only a share of a processor, for one or several builds
// of azurewelld, and prints what became of the callers at each load and patience. Where other
// processes had the processors in the turns of the host, a point is marked as not valid, and the
// program ends with 2.

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
    SharedProcessor(qint64 process, const Turns &given)
        : id(static_cast<pid_t>(process))
        , turns(given)
        , thread([this] { this->run(); })
    {
    }
    ~SharedProcessor()
    {
        this->end();
    }
    SharedProcessor(const SharedProcessor &) = delete;
    SharedProcessor &operator=(const SharedProcessor &) = delete;

    /// Ends the turns. Returns what the process got of them.
    TurnsGot end()
    {
        this->isOver = true;
        if (this->thread.joinable())
            this->thread.join();
        return this->got;
    }

private:
    void run()
    {
        // The kernel may otherwise end each sleep 50 microseconds late, 5 % of a turn.
        ::prctl(PR_SET_TIMERSLACK, 1UL);
        const std::optional<ScheduledTime> before = scheduledTimeOf(this->id);
        const Instant startedAt = monotonicNow();
        for (Instant turnAt = startedAt; !this->isOver;) {
            const Instant continuedAt = monotonicNow();
            ::kill(this->id, SIGCONT);
            sleepUntil(continuedAt + this->turns.running);
            ::kill(this->id, SIGSTOP);
            const Instant stoppedAt = monotonicNow();
            this->got.continued += stoppedAt - continuedAt;
            // A turn that begins late doesn't delay those after it.
            turnAt = std::max(turnAt + this->turns.period, stoppedAt);
            sleepUntil(turnAt);
        }
        this->got.elapsed = monotonicNow() - startedAt;
        const std::optional<ScheduledTime> after = scheduledTimeOf(this->id);
        if (before && after)
            this->got.scheduled = { after->used - before->used, after->waited - before->waited };
        ::kill(this->id, SIGCONT);
    }

    static void sleepUntil(Instant until)
    {
        const Span left = until - monotonicNow();
        if (left > Span{})
            std::this_thread::sleep_for(left);
    }

    pid_t id;
    Turns turns;
    TurnsGot got;
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

    /// Of the last measurement or play.
    std::optional<double> share() const
    {
        return usableShare(this->lastTurns);
    }
    bool isValid() const
    {
        return isShareKept(this->share(), this->intendedShare());
    }
    double intendedShare() const
    {
        return toSeconds(this->turns.running) / toSeconds(this->turns.period);
    }

private:
    template <typename Work>
    void beside(Work work)
    {
        SharedProcessor shared(this->fleet.processId(0), this->turns);
        runBeside(work);
        this->lastTurns = shared.end();
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
    TurnsGot lastTurns;
    NodeFleet fleet;
    std::uint32_t plays = 0;
};

/// The share of a processor that the host could use in the last measurement or play, and whether
/// that is valid.
std::string shareText(const OverloadBenchmark &benchmark)
{
    const std::optional<double> share = benchmark.share();
    return fmt::format("{:>8} {}", share ? fmt::format("{:.2f} %", *share * 100) : "unknown",
                       benchmark.isValid() ? "valid" : "NOT VALID");
}

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
    constexpr int exitNotValid = 2;
    std::uint32_t notValid = 0;
    fmt::print("the host is to get {:.2f} % of a processor\n", benchmark.intendedShare() * 100);
    double capacity = 0;
    for (const std::string &program : programs) {
        if (!benchmark.start(program))
            return 1;
        const double perSecond = benchmark.capacity();
        benchmark.end();
        capacity = capacity > 0 ? capacity : perSecond;
        notValid += benchmark.isValid() ? 0 : 1;
        fmt::print("{} reads {:.0f} a second, {}\n", program, perSecond, shareText(benchmark));
    }
    fmt::print("{:>5} {:>5} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}\n", "load", "wait", "program",
               "asked", "in time", "told", "closed", "gave up", "share");
    for (const double load : loads) {
        for (const double wait : waits) {
            for (std::size_t i = 0; i < programs.size(); ++i) {
                if (!benchmark.start(programs[i]))
                    return 1;
                const LoadOutcomes outcomes = benchmark.play(capacity * load, fromSeconds(wait),
                                                             fromSeconds(seconds));
                benchmark.end();
                notValid += benchmark.isValid() ? 0 : 1;
                fmt::print("{:>5} {:>5} {:>8} {:>7} {:>7.3f} {:>7} {:>7} {:>7} {}\n", load, wait, i,
                           outcomes.asked, static_cast<double>(outcomes.inTime) / outcomes.asked,
                           outcomes.told, outcomes.closed, outcomes.givenUp, shareText(benchmark));
                std::fflush(stdout);
            }
        }
    }
    if (notValid == 0)
        return 0;
    fmt::print("{} measurements are not valid: the host got another share than intended\n",
               notValid);
    return exitNotValid;
}
