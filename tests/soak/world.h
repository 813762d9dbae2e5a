#pragma once

#include "host_process.h"

#include "azurewell/standins/engine.h"
#include "azurewell/standins/plain_service.h"
#include "azurewell/standins/platform.h"

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

/// Three hosts in three zones as processes, and all that is outside them in this one.
struct World
{
    World();

    /// Starts the hosts. False where one does not come up.
    bool start();
    /// Tokens that the engines made for \a tenant, by their own count.
    std::uint64_t tokensMadeFor(const Tenant &tenant) const;

    standins::Platform platform;
    std::shared_ptr<standins::WeightStore> store;
    std::vector<std::unique_ptr<standins::Engine>> engines;
    standins::PlainService service;
    std::vector<std::unique_ptr<tests::HostProcess>> hosts;
};

} // namespace azurewell::soak
