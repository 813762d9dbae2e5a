#pragma once

#include <CLI/CLI.hpp>

namespace azurewell::ctl {

/// Each adds its subcommands to \a app. `exitCode` is what the program returns.
void addTicketCommands(CLI::App &app, int &exitCode);
/// `snapshot`, `diff` and `history`, below `ticket`.
void addTicketStateCommands(CLI::App &ticket, int &exitCode);
void addShowCommand(CLI::App &app, int &exitCode);
void addLoadCommand(CLI::App &app, int &exitCode);
void addExplainCommand(CLI::App &app, int &exitCode);

} // namespace azurewell::ctl
