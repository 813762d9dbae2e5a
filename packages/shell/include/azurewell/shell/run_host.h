#pragma once

#include "azurewell/shell/settings.h"

namespace azurewell {

/// Runs a host until SIGTERM or SIGINT and the end of its last request. Returns the exit code: 0
/// after a planned stop, 1 if it could not start.
int runHost(int argc, char **argv, const Settings &settings);

} // namespace azurewell
