#pragma once

#include "azurewell/gateway/configuration.h"
#include "azurewell/http/listen_socket.h"
#include "azurewell/proxy/proxy.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurewell {

/// The service of all routes.
inline const ServiceId deskService{ "desk" };

/// Processes events until \a condition holds. Returns false if it does not within some seconds.
bool waitFor(const std::function<bool()> &condition);

/// One end of a connection that the test reads and writes.
class Peer
{
public:
    Peer() = default;
    explicit Peer(UniqueFd connection);

    /// The returned end is not connected if \a to accepts no connection.
    static Peer connectTo(const Endpoint &to);

    void send(const std::string &text);

    /// Sends as much as can be sent without waiting; the number of bytes.
    std::size_t sendWhatFits(const std::string &text);

    /// Waits until \a text was received.
    bool receives(const std::string &text);

    /// Reads a block of what has arrived. Whether \a text was received.
    bool hasReceived(const std::string &text);

    /// Reads what has arrived. How often all that was received contains \a text.
    std::size_t countReceived(const std::string &text);

    bool isClosedByOtherEnd();
    bool hasEnded() const
    {
        return this->isEnded;
    }

    /// Closes in an orderly way: the other end reads an end of file.
    void close();

    void reset();

    /// Closes one direction in an orderly way; the other end can still send.
    void shutdownWriting();

    std::string received;
    bool isReset = false;

private:
    void read();

    UniqueFd descriptor;
    bool isEnded = false;
};

/// A caller, a host without a path to the upstream, a host with one, and the upstream.
class TwoHostsTest : public testing::Test
{
protected:
    void SetUp() override;

    /// Sends a request to the host called \a host.
    Peer ask(const std::string &host, const std::string &path, const std::string &body = "body",
             const std::string &version = "HTTP/1.1");

    /// A connection to the host called \a host.
    Peer connect(const std::string &host) const
    {
        return Peer::connectTo(this->callersOf.at(host));
    }

    /// Accepts the connection at the upstream and waits for the whole request.
    bool acceptAtUpstream(const std::string &end = "body");

    /// Accepts connections at the upstream until \a count were accepted in all, then those that
    /// wait.
    bool acceptAllAtUpstream(std::size_t count);

    Endpoint upstreamAddress() const;

    /// Lists one more upstream, which listens at the same address.
    void listAtUpstream(gateway::GatewayState &state, const UpstreamId &id) const;
    Endpoint readiness(const std::string &host) const
    {
        return this->readinessOf.at(host);
    }

    /// Accepts a connection that waits at the upstream. False if there is none.
    bool acceptWaitingAtUpstream()
    {
        return this->acceptNext(this->upstream);
    }

    /// Processor time that reading a request takes at the hosts.
    static void setRequestCost(Span cost);

    Span stopGrace = std::chrono::seconds(8); ///< Grace of a planned stop; set before SetUp().
    std::unique_ptr<Proxy> cutOff;            ///< Called "cut".
    std::unique_ptr<Proxy> serving;           ///< Called "serving".
    Peer upstream;
    std::vector<Peer> upstreams; ///< Of acceptAllAtUpstream().

private:
    bool acceptNext(Peer &connection);

    void startHost(std::unique_ptr<Proxy> &host, const std::string &name);
    void configure(gateway::GatewayState &state);

    UniqueFd listening;
    std::map<std::string, Endpoint> callersOf;
    std::map<std::string, Endpoint> readinessOf;
};

} // namespace azurewell
