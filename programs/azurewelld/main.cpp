#include "azurewell/shell/clock.h"
#include "azurewell/shell/run_host.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <random>

int main(int argc, char **argv)
{
    CLI::App options("One entry host of azurewell: serves callers and acts with the other hosts.");
    std::string path;
    bool isCheck = false;
    bool isPrintDefaults = false;
    options.add_option("--settings", path, "Settings file (JSON with comments)");
    options.add_flag("--check", isCheck, "Check the settings file and leave");
    options.add_flag("--print-default-settings", isPrintDefaults,
                     "Print a settings file with every key and leave");
    CLI11_PARSE(options, argc, argv);

    if (isPrintDefaults) {
        fmt::print("{}", azurewell::defaultSettingsText());
        return 0;
    }
    if (path.empty()) {
        fmt::print(stderr, "--settings FILE is needed; see --help\n");
        return 2;
    }
    azurewell::Result<azurewell::Settings> settings = azurewell::loadSettings(path);
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error().detail);
        return 2;
    }
    if (isCheck) {
        fmt::print("{}: valid\n", path);
        return 0;
    }
    settings.value().self.incarnation = azurewell::Incarnation{ azurewell::wallMillis() };
    settings.value().self.randomSeed = std::random_device{}();
    return azurewell::runHost(argc, argv, settings.value());
}
