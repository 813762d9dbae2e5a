#pragma once

#include <CLI/CLI.hpp>

namespace azurewell::ctl {

/// Each function adds its subcommands to \a app; a subcommand sets `exitCode`, the program's exit
/// code.
void addTicketCommands(CLI::App &app, int &exitCode);
/// Adds `snapshot`, `diff` and `history` below `ticket`.
void addTicketStateCommands(CLI::App &ticket, int &exitCode);
void addShowCommand(CLI::App &app, int &exitCode);
void addLoadCommand(CLI::App &app, int &exitCode);
void addExplainCommand(CLI::App &app, int &exitCode);

} // namespace azurewell::ctl
