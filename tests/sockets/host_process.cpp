#include "host_process.h"

#include "caller.h"

#include <nlohmann/json.hpp>
#include <QtCore/QFile>

#include <csignal>
#include <unistd.h>

namespace azurewell::tests {

namespace {

std::string loopbackEndpoint(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Answer get(std::uint16_t port, const QByteArray &path)
{
    Caller caller(port);
    caller.write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    return caller.answer();
}

} // namespace

HostConfig makeHostConfig(const std::string &id, const std::string &zone,
                          const std::string &platform)
{
    return HostConfig{ id, zone, platform, freePort(), freePort(), freePort() };
}

HostProcess::HostProcess(HostConfig hostConfig)
    : config(std::move(hostConfig))
{
}

HostProcess::~HostProcess()
{
    if (this->isRunning())
        this->signal(SIGKILL);
    this->process.waitForFinished();
}

bool HostProcess::start()
{
    const nlohmann::json settings{ { "host", this->config.id },
                                   { "zone", this->config.zone },
                                   { "seat", 0 },
                                   { "callers", loopbackEndpoint(this->config.callerPort) },
                                   { "peers", loopbackEndpoint(this->config.peerPort) },
                                   { "operations", loopbackEndpoint(this->config.operationsPort) },
                                   { "peer_key", "secret of the tests' fleet" },
                                   { "platform", this->config.platform },
                                   { "charts", AZUREWELL_CHARTS_DIR },
                                   { "traffic_threads", 2 },
                                   { "upstream_idle_s", 3 },
                                   { "drain_grace_s", 1 } };
    const QString path = this->directory.filePath("settings.json");
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly))
        return false;
    file.write(QByteArray::fromStdString(settings.dump()));
    file.close();
    this->process.setStandardOutputFile(this->directory.filePath("log"), QIODevice::Append);
    this->process.start(AZUREWELLD, { "--settings", path });
    return waitUntil([this] { return this->readyStatus() == 200; });
}

void HostProcess::signal(int number) const
{
    ::kill(static_cast<pid_t>(this->process.processId()), number);
}

bool HostProcess::isRunning() const
{
    return this->process.state() == QProcess::Running;
}

int HostProcess::exitCode()
{
    const bool hasEnded = waitUntil([this] { return !this->isRunning(); });
    const bool isExit = hasEnded && this->process.exitStatus() == QProcess::NormalExit;
    return isExit ? this->process.exitCode() : -1;
}

QByteArray HostProcess::log()
{
    QFile file(this->directory.filePath("log"));
    return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

int HostProcess::readyStatus() const
{
    return get(this->config.operationsPort, "/readyz").status;
}

double HostProcess::metric(const QByteArray &sample) const
{
    return metricValue(get(this->config.operationsPort, "/metrics").body, sample);
}

std::int64_t HostProcess::residentBytes() const
{
    QFile file(QString("/proc/%1/statm").arg(this->process.processId()));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    return file.readAll().split(' ').value(1).toLongLong() * ::sysconf(_SC_PAGESIZE);
}

} // namespace azurewell::tests
