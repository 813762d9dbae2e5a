#include "azurewell/http/clock.h"
#include "azurewell/platform/run_node.h"
#include "azurewell/shell/run_host.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <random>

namespace {

int runOnPlatform(int argc, char **argv, const std::string &path, bool isCheck)
{
    const azurewell::Result<azurewell::platform::NodeSettings> settings
            = azurewell::platform::loadNodeSettings(path);
    if (!settings) {
        fmt::print(stderr, "{}: {}\n", path, settings.error().detail);
        return 2;
    }
    if (isCheck) {
        fmt::print("{}: valid\n", path);
        return 0;
    }
    return azurewell::platform::runNode(argc, argv, settings.value(), path);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App options("An entry host of azurewell: serves callers and coordinates engines with the "
                     "other hosts.");
    std::string path;
    bool isCheck = false;
    bool isPrintDefaults = false;
    options.add_option("--settings", path, "Settings file (JSON with comments)");
    options.add_flag("--check", isCheck, "Check the settings file and exit");
    options.add_flag("--print-default-settings", isPrintDefaults,
                     "Print a settings file with every key and exit");
    CLI::App *node = options.add_subcommand(
            "node", "Serve on the users' platform; the settings file is the platform's");
    std::string nodePath = azurewell::platform::nodeSettingsPath();
    node->add_option("--settings", nodePath, "Settings file, lines of the form a.b=value");
    node->add_flag("--check", isCheck, "Check the settings file and exit");
    CLI11_PARSE(options, argc, argv);

    if (node->parsed())
        return runOnPlatform(argc, argv, nodePath, isCheck);

    if (isPrintDefaults) {
        fmt::print("{}", azurewell::defaultSettingsText());
        return 0;
    }
    if (path.empty()) {
        fmt::print(stderr, "missing --settings FILE; see --help\n");
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
