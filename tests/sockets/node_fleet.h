#pragma once

#include "caller.h"
#include "counterpart.h"
#include "listener.h"
#include "store_standin.h"

#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>
#include <QtCore/QTimer>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azurewell::tests {

/// Runs the event loop until \a deadline.
void runUntil(Instant deadline);

/// A server that answers each request at once with its id.
struct PlainServer
{
    platform::testing::ServerStatement statement;
    std::uint64_t requests = 0;  ///< Without health checks.
    bool isSilent = false;       ///< Reads requests and never answers.
    std::size_t answerBytes = 0; ///< Length of its answers; 0: they are its id.
    std::unique_ptr<soak::Listener> listener;
};

/// Host processes of one zone on the users' platform, each on a loopback address of its own. The
/// platform's store and the servers run in this process. The hosts are killed with it.
class NodeFleet
{
public:
    static constexpr std::size_t size = 3;

    NodeFleet();
    ~NodeFleet();
    NodeFleet(const NodeFleet &) = delete;
    NodeFleet &operator=(const NodeFleet &) = delete;

    /// Adds a server of \a service without an entry in the store.
    void addServer(const std::string &service);
    /// Writes what the server states of itself now.
    void writeEntry(PlainServer &server);
    void write(const platform::testing::PlainConfiguration &configuration);

    /// Starts the process; whether it becomes ready is seen by isReady(). \a isFirstStart: together
    /// with the whole system.
    void startHost(std::size_t host, bool isFirstStart);
    /// Ends the process at once.
    void killHost(std::size_t host);
    std::string hostIp(std::size_t host) const
    {
        return this->ip(host + 1);
    }
    qint64 processId(std::size_t host) const
    {
        return this->hosts[host]->processId();
    }
    bool isReady(std::size_t host) const;
    /// The status with which \a host answers a request on the route of \a prefix, 0 without an
    /// answer.
    int status(std::size_t host, const std::string &prefix, const std::string &key = {});

    platform::testing::StoreStandin store;
    std::array<bool, size> isRejected{}; ///< Hosts whose calls the store rejects.
    std::vector<std::unique_ptr<PlainServer>> servers;
    QTemporaryDir logs;
    QString program;                   ///< Of hosts that are started from now on.
    std::uint32_t memoryMegabytes = 0; ///< Stated to hosts that are started from now on, if not 0.
    std::uint32_t maxDescriptors = 0;  ///< Likewise.

private:
    std::string ip(std::size_t index) const;
    Endpoint storeFor(std::size_t host) const;
    void readStore(std::size_t host, const std::shared_ptr<soak::Session> &session);
    static void answerRequest(PlainServer &server, const std::shared_ptr<soak::Session> &session);

    std::string net;
    std::vector<std::unique_ptr<soak::Listener>> storeListeners; ///< One for each host.
    QTimer storeTimer;
    std::array<std::unique_ptr<QProcess>, size> hosts;
    std::uint64_t requests = 0;
};

} // namespace azurewell::tests
