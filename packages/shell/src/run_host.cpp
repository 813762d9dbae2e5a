#include "azurewell/shell/run_host.h"

#include "azurewell/http/allocator.h"
#include "azurewell/http/listen_socket.h"
#include "azurewell/logging/log.h"
#include "azurewell/shell/control_loop.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QSocketNotifier>

#include <sys/signalfd.h>

#include <csignal>
#include <unistd.h>

namespace azurewell {

namespace {

/// Returns a descriptor for SIGTERM and SIGINT, so that they arrive as events. They are blocked
/// before any thread starts; otherwise a traffic thread would receive the signal and end the
/// process.
UniqueFd openStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return UniqueFd(::signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK));
}

} // namespace

int runHost(int argc, char **argv, const Settings &settings)
{
    giveBackFreedBlocks();
    std::signal(SIGPIPE, SIG_IGN);
    const UniqueFd stopSignals = openStopSignals();
    QCoreApplication application(argc, argv);
    setUpLog(settings.logLevel, settings.self.id.value);

    const Result<KnownCharts> charts = loadKnownCharts(settings.chartsDirectory);
    if (!charts) {
        writeLog(LogLevel::Error, "charts_refused", { { "detail", charts.error().detail } });
        return 1;
    }
    ControlLoop control(settings, charts.value(), [&application] { application.exit(0); });
    const Result<std::uint16_t> started = control.start();
    if (!started) {
        writeLog(LogLevel::Error, "start_failed", { { "detail", started.error().detail } });
        return 1;
    }
    QSocketNotifier notifier(stopSignals.get(), QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &control, [&control, &stopSignals] {
        signalfd_siginfo info{};
        while (::read(stopSignals.get(), &info, sizeof info) == sizeof info)
            control.stop();
    });
    const int code = application.exec();
    writeLog(LogLevel::Info, "stopped", {});
    return code;
}

} // namespace azurewell
