#include "host_fleet.h"

#include "azurewell/http/clock.h"
#include "counterpart.h"

#include <fmt/format.h>
#include <QtCore/QFile>

#include <algorithm>

#include <csignal>
#include <sys/prctl.h>
#include <unistd.h>

namespace azurewell::soak {

using namespace platform::testing;

namespace {

/// Hosts in one block of an address, so that addresses of one run have one length.
std::string addressIn(int net, std::size_t index)
{
    constexpr std::size_t block = 100;
    return fmt::format("127.{}.{}.{}", net, 100 + index / block, 100 + index % block);
}

} // namespace

std::string Addresses::host(std::size_t index) const
{
    return addressIn(this->net, index);
}

std::string Addresses::relayed(std::size_t index) const
{
    return addressIn(this->net + 1, index);
}

std::string Addresses::engine(std::size_t index) const
{
    return addressIn(this->net + 2, index);
}

Endpoint Addresses::store() const
{
    return { fmt::format("127.{}.99.99", this->net + 2), 8225 };
}

std::string Addresses::hostPrefix() const
{
    return fmt::format("127.{}.", this->net);
}

std::string Addresses::relayedPrefix() const
{
    return fmt::format("127.{}.", this->net + 1);
}

HostFleet::HostFleet(FleetSettings fleetSettings, const Addresses &fleetAddresses)
    : settings(std::move(fleetSettings))
    , addresses(fleetAddresses)
{
    for (std::size_t index = 0; index < this->settings.hosts; ++index) {
        Host host;
        host.zone = fmt::format("z{}", index % this->settings.zones);
        host.name = fmt::format("host-{}-{}", host.zone, index);
        this->hosts.push_back(std::move(host));
    }
}

HostFleet::~HostFleet()
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
        this->kill(index);
}

void HostFleet::start(std::size_t index)
{
    Host &host = this->hosts[index];
    HostSettings text;
    text.name = host.name;
    text.zone = host.zone;
    text.ip = this->addresses.host(index);
    for (std::size_t seed = 0; seed < std::min(seedCount, this->hosts.size()); ++seed)
        text.seedIps.push_back(this->addresses.relayed(seed));
    text.store = this->addresses.store();
    text.isFirstStart = !host.hasStarted;
    const QString name = this->settings.logs + "/" + QString::fromStdString(host.name);
    QFile file(name + ".conf");
    if (!file.open(QIODevice::WriteOnly)) {
        this->failures.push_back(host.name + ": cannot write the settings file");
        return;
    }
    file.write(QByteArray::fromStdString(settingsText(text)));
    file.close();
    host.process = std::make_unique<QProcess>();
    host.process->setWorkingDirectory(this->settings.root);
    host.process->setStandardOutputFile(name + ".log", QIODevice::Append);
    host.process->setStandardErrorFile(name + ".log", QIODevice::Append);
    host.process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    QObject::connect(host.process.get(), &QProcess::stateChanged, [this, index](auto state) {
        const Host &ended = this->hosts[index];
        if (state == QProcess::NotRunning && ended.isWanted)
            this->failures.push_back(ended.name + ": the process ended by itself");
    });
    host.isWanted = true;
    host.hasStarted = true;
    host.stops = 0;
    ++host.life;
    host.process->start(this->settings.program, { "node", "--settings", name + ".conf" });
}

void HostFleet::kill(std::size_t index)
{
    Host &host = this->hosts[index];
    if (!host.isWanted)
        return;
    host.isWanted = false;
    host.process->kill();
    host.process->waitForFinished();
}

void HostFleet::signal(std::size_t index, int number)
{
    const qint64 id = this->hosts[index].process->processId();
    if (id > 0)
        ::kill(static_cast<pid_t>(id), number);
}

void HostFleet::stop(std::size_t index)
{
    Host &host = this->hosts[index];
    if (host.isWanted && host.stops++ == 0)
        this->signal(index, SIGSTOP);
}

void HostFleet::endStop(std::size_t index, std::uint64_t life)
{
    Host &host = this->hosts[index];
    if (!host.isWanted || host.life != life || host.stops == 0 || --host.stops > 0)
        return;
    host.continuedAt = monotonicNow();
    this->signal(index, SIGCONT);
}

std::size_t HostFleet::indexOf(const std::string &name) const
{
    const auto found = std::find_if(this->hosts.begin(), this->hosts.end(),
                                    [&](const Host &host) { return host.name == name; });
    return static_cast<std::size_t>(found - this->hosts.begin());
}

std::size_t HostFleet::disturbed() const
{
    return static_cast<std::size_t>(
            std::count_if(this->hosts.begin(), this->hosts.end(), [](const Host &host) {
                return host.hasStarted && (!host.isWanted || host.stops > 0);
            }));
}

} // namespace azurewell::soak
