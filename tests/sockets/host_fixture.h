#pragma once

#include "caller.h"

#include "azurewell/shell/control_loop.h"
#include "azurewell/standins/engine.h"
#include "azurewell/standins/plain_service.h"
#include "azurewell/standins/platform.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace azurewell::tests {

/// A whole host in the test's process, on loopback sockets, with stand-ins around it. The host's
/// control thread is the test's; its traffic threads are real.
class HostFixture : public ::testing::Test
{
protected:
    HostFixture();
    ~HostFixture() override;

    /// One more engine; before startHost().
    standins::Engine &addEngine(standins::EngineOptions options = {});
    /// Publishes the ticket and the list of \a hosts.
    void publish(const nlohmann::json &hosts);
    /// Publishes the ticket and the host list, starts the host and waits until it serves.
    void startHost();
    /// The value of a metric's sample, such as `azurewell_retries_total{reason="not_sent"}`.
    double metric(const QByteArray &sample);
    /// Whether the host still answers a streamed request whole.
    bool isUnharmed();

    Settings settings;
    standins::Platform platform;
    std::shared_ptr<standins::WeightStore> store;
    std::vector<std::unique_ptr<standins::Engine>> engines;
    standins::PlainService service;
    std::unique_ptr<ControlLoop> host;
    std::uint16_t port = 0;
    bool hasLeft = false; ///< The host's planned stop is complete.

private:
    QByteArray ticketText() const;

    std::vector<standins::EngineOptions> engineOptions;
};

/// The value of \a sample in the text of /metrics; -1 where there is none.
double sampleOf(const QByteArray &metrics, const QByteArray &sample);

/// A port that nothing listens on.
std::uint16_t freePort();

} // namespace azurewell::tests
