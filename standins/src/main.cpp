#include "azurewell/standins/standin_fleet.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <QtCore/QCoreApplication>
#include <QtCore/QTimer>

#include <csignal>

namespace {

volatile std::sig_atomic_t isStopRequested = 0;

void requestStop(int)
{
    isStopRequested = 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App options(
            "Stand-ins for engines, services and the platform; for trials and tests only.");
    std::string path;
    options.add_option("--settings", path, "Settings file (JSON with comments)")->required();
    CLI11_PARSE(options, argc, argv);

    QCoreApplication application(argc, argv);
    azurewell::Result<azurewell::standins::StandinFleet> fleet = azurewell::standins::startStandins(
            path);
    if (!fleet) {
        fmt::print(stderr, "{}\n", fleet.error().detail);
        return 1;
    }
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    QTimer stopCheck;
    QObject::connect(&stopCheck, &QTimer::timeout, &application, [&application] {
        if (isStopRequested)
            application.quit();
    });
    stopCheck.start(50);
    fmt::print("stand-ins run\n");
    std::fflush(stdout);
    const int code = application.exec();
    for (const auto &service : fleet.value().services)
        fmt::print("service runs={}\n", service->runs);
    return code;
}
