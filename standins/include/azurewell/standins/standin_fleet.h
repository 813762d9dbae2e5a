#pragma once

#include "azurewell/standins/configuration_service.h"
#include "azurewell/standins/engine.h"
#include "azurewell/standins/plain_service.h"

#include "azurewell/units/result.h"

#include <memory>
#include <string>
#include <vector>

namespace azurewell::standins {

/// Stand-ins for all external systems, in one process.
struct StandinFleet
{
    std::unique_ptr<ConfigurationService> platform;
    std::shared_ptr<WeightStore> store;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<PlainService>> services;
};

/// Starts the stand-ins described by \a path (JSON with comments). Paths of ticket and host list
/// files are relative to it. Errors: SettingsInvalid, FileUnreadable.
Result<StandinFleet> startStandins(const std::string &path);

} // namespace azurewell::standins
