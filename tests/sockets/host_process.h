#pragma once

#include "azurewell/shell/settings.h"

#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>

#include <memory>
#include <string>

namespace azurewell::tests {

/// The settings in which the hosts of a test differ.
struct HostConfig
{
    std::string id = "h1";
    std::string zone = "centro";
    std::string platform; ///< Base URL.
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t operationsPort = 0;
};

/// A configuration with free ports.
HostConfig makeHostConfig(const std::string &id, const std::string &zone,
                          const std::string &platform);

/// An azurewelld as a separate process.
class HostProcess
{
public:
    explicit HostProcess(HostConfig hostConfig);
    ~HostProcess();

    /// Starts the program and waits until /readyz answers 200. False after the timeout of
    /// waitUntil().
    bool start();
    void signal(int number) const;
    bool isRunning() const;
    qint64 processId() const
    {
        return this->process.processId();
    }
    /// Waits for its end. The exit code; -1 if it does not end or was ended by a signal.
    int exitCode();
    /// The log so far.
    QByteArray log();
    /// The status of /readyz; 0 without an answer.
    int readyStatus() const;
    /// The value of a sample at /metrics; -1 if there is none.
    double metric(const QByteArray &sample) const;
    /// Resident memory in bytes.
    std::int64_t residentBytes() const;

    HostConfig config;

private:
    QTemporaryDir directory;
    QProcess process;
};

} // namespace azurewell::tests
