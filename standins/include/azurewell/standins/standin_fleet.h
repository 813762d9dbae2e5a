#pragma once

#include "azurewell/standins/engine.h"
#include "azurewell/standins/plain_service.h"
#include "azurewell/standins/platform.h"

#include "azurewell/units/result.h"

#include <memory>
#include <string>
#include <vector>

namespace azurewell::standins {

/// Everything outside the system, in one process, from one settings file.
struct StandinFleet
{
    std::unique_ptr<Platform> platform;
    std::shared_ptr<WeightStore> store;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<PlainService>> services;
};

/// Starts the stand-ins that \a path (JSON with comments) describes. Ticket and host-list files are
/// named relative to it. Errors: SettingsInvalid, FileUnreadable.
Result<StandinFleet> startStandins(const std::string &path);

} // namespace azurewell::standins
