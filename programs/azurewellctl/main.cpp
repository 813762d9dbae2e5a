#include "commands.h"

#include <QtCore/QCoreApplication>

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    CLI::App options(
            "Operators' tool of azurewell: checks tickets, shows what is in force, sends load, "
            "explains logs.");
    options.require_subcommand(1);
    int exitCode = 0;
    azurewell::ctl::addTicketCommands(options, exitCode);
    azurewell::ctl::addShowCommand(options, exitCode);
    azurewell::ctl::addLoadCommand(options, exitCode);
    azurewell::ctl::addExplainCommand(options, exitCode);
    CLI11_PARSE(options, argc, argv);
    return exitCode;
}
