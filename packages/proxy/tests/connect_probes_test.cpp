#include "azurewell/http/clock.h"
#include "azurewell/proxy/connect_probes.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <vector>

namespace azurewell {
namespace {

constexpr Span timeout = std::chrono::seconds(2);

/// A listening socket and the results of probes.
class ConnectProbesTest : public testing::Test
{
protected:
    void SetUp() override
    {
        Result<UniqueFd> socket = openListenSocket({ "127.0.0.1", 0 });
        ASSERT_TRUE(socket);
        this->listening = std::move(socket.value());
        sockaddr_in address{};
        socklen_t length = sizeof address;
        ::getsockname(this->listening.get(), reinterpret_cast<sockaddr *>(&address), &length);
        this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    }

    void probe()
    {
        this->probes.start(this->endpoint, monotonicNow() + timeout,
                           [this](bool isOpen) { this->results.push_back(isOpen); });
    }

    void processEventsFor(int millis)
    {
        QElapsedTimer timer;
        timer.start();
        while (timer.elapsed() < millis)
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }

    void resetAccepted()
    {
        const UniqueFd connection(::accept(this->listening.get(), nullptr, nullptr));
        const linger now{ 1, 0 };
        ::setsockopt(connection.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }

    UniqueFd listening;
    Endpoint endpoint;
    ConnectProbes probes;
    std::vector<bool> results;
};

TEST_F(ConnectProbesTest, OpensAConnection)
{
    this->probe();
    this->processEventsFor(50);
    EXPECT_EQ(this->results, std::vector<bool>{ true });
}

TEST_F(ConnectProbesTest, FailsIfNothingListens)
{
    this->listening = UniqueFd();
    this->probe();
    this->processEventsFor(50);
    EXPECT_EQ(this->results, std::vector<bool>{ false });
}

// Guards against a connection that ends after its probe: the probe is gone by then.
TEST_F(ConnectProbesTest, EndsOnceIfTheUpstreamResetsTheConnectionAfterItHasOpened)
{
    constexpr int count = 20;
    for (int index = 0; index < count; ++index)
        this->probe();
    this->processEventsFor(50);
    for (int index = 0; index < count; ++index)
        this->resetAccepted();
    this->processEventsFor(50);
    EXPECT_EQ(this->results, std::vector<bool>(count, true));
    this->probes.endOverdue(monotonicNow() + timeout);
    EXPECT_EQ(this->results.size(), count);
}

} // namespace
} // namespace azurewell
