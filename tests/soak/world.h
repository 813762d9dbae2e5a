#pragma once

#include "host_process.h"

#include "azurewell/standins/configuration_service.h"
#include "azurewell/standins/engine.h"
#include "azurewell/standins/plain_service.h"

#include <memory>
#include <vector>

namespace azurewell::soak {

inline constexpr double customerRate = 4'000;   ///< Tokens a second, each customer.
inline constexpr double customerBurst = 20'000; ///< Tokens.

/// A customer with its key and its adapters.
struct Tenant
{
    QByteArray name;
    QByteArray key;
    std::vector<QByteArray> adapters;
};

const std::vector<Tenant> &tenants();

/// Three hosts in three zones as separate processes; engines, services and platform run in this
/// process.
struct World
{
    World();

    /// Starts the hosts. False if one does not become ready.
    bool start();
    /// Tokens that the engines generated for \a tenant, as counted by the engines.
    std::uint64_t tokensGeneratedFor(const Tenant &tenant) const;

    standins::ConfigurationService platform;
    std::shared_ptr<standins::WeightStore> store;
    std::vector<std::unique_ptr<standins::Engine>> engines;
    standins::PlainService service;
    std::vector<std::unique_ptr<tests::HostProcess>> hosts;
};

} // namespace azurewell::soak
