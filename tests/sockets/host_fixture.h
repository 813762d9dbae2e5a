#pragma once

#include "caller.h"

#include "azurewell/shell/control_loop.h"
#include "azurewell/standins/configuration_service.h"
#include "azurewell/standins/engine.h"
#include "azurewell/standins/plain_service.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace azurewell::tests {

/// A complete host in the test process, on loopback sockets, with stand-ins for everything around
/// it. The host's control loop runs on the test's thread; its traffic threads are separate.
class HostFixture : public ::testing::Test
{
protected:
    HostFixture();
    ~HostFixture() override;

    /// Adds an engine. Call before startHost().
    standins::Engine &addEngine(standins::EngineOptions options = {});
    /// Publishes the ticket and the list of \a hosts.
    void publish(const nlohmann::json &hosts);
    /// Publishes the ticket and the host list, starts the host and waits until the ticket is in
    /// force.
    void startHost();
    /// The value of a metric sample, such as `azurewell_retries_total{reason="not_sent"}`; -1 if
    /// absent.
    double metric(const QByteArray &sample);
    /// Sends a streamed request; whether the host answers it completely.
    bool isServing();

    Settings settings;
    standins::ConfigurationService platform;
    std::shared_ptr<standins::WeightStore> store;
    std::vector<std::unique_ptr<standins::Engine>> engines;
    standins::PlainService service;
    std::string serviceAddress;                   ///< Of both services; at first that of `service`.
    std::vector<std::string> moreEngineAddresses; ///< Of engines with another base model.
    std::unique_ptr<ControlLoop> host;
    std::uint16_t port = 0;
    bool hasStopped = false; ///< The host's planned stop is complete.

private:
    QByteArray ticketText() const;

    std::vector<standins::EngineOptions> engineOptions;
};

} // namespace azurewell::tests
