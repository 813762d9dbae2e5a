#pragma once

#include "azurewell/units/endpoint.h"
#include "azurewell/units/time.h"

#include <QtCore/QProcess>
#include <QtCore/QString>

#include <memory>
#include <string>
#include <vector>

namespace azurewell::soak {

/// Addresses of one run on the loopback network. Runs at the same time use different ones.
struct Addresses
{
    int net = 0;

    /// The address that the process of a host binds.
    std::string host(std::size_t index) const;
    /// The address by which the other hosts know it; the relay is there.
    std::string relayed(std::size_t index) const;
    std::string engine(std::size_t index) const;
    Endpoint store() const;
    /// The beginnings of all host() and of all relayed() addresses; of one length.
    std::string hostPrefix() const;
    std::string relayedPrefix() const;
};

/// One host process.
struct Host
{
    std::string name;
    std::string zone;
    std::unique_ptr<QProcess> process;
    int stops = 0; ///< Faults that keep the process stopped.
    bool isWanted = false;
    bool hasStarted = false; ///< At least once.
    Instant continuedAt;     ///< Last continuation after a stop.
    std::uint64_t life = 0;
};

struct FleetSettings
{
    std::size_t hosts = 9;
    std::size_t zones = 3;
    QString program;
    QString root; ///< The working directory of the hosts; contains the charts.
    QString logs;
};

/// The host processes. Each is killed with this program.
class HostFleet
{
public:
    /// The first hosts are those that all others know from their settings.
    static constexpr std::size_t seedCount = 3;

    HostFleet(FleetSettings fleetSettings, const Addresses &fleetAddresses);
    ~HostFleet();
    HostFleet(const HostFleet &) = delete;
    HostFleet &operator=(const HostFleet &) = delete;

    void start(std::size_t index);
    void kill(std::size_t index);
    /// Stops the process until each stop has had its end. A process that was killed since, whose
    /// life is another one, is left alone.
    void stop(std::size_t index);
    void endStop(std::size_t index, std::uint64_t life);

    /// The host called \a name; hosts.size() if there is none.
    std::size_t indexOf(const std::string &name) const;
    /// How many hosts are stopped or killed.
    std::size_t disturbed() const;

    std::vector<Host> hosts;
    std::vector<std::string> failures; ///< Processes that ended by themselves.

private:
    void signal(std::size_t index, int number);

    FleetSettings settings;
    const Addresses &addresses;
};

} // namespace azurewell::soak
