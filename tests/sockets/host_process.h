#pragma once

#include "azurewell/shell/settings.h"

#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>

#include <memory>
#include <string>

namespace azurewell::tests {

/// What differs between the hosts of a test.
struct HostPlace
{
    std::string id = "h1";
    std::string zone = "centro";
    std::string platform; ///< Base URL.
    std::uint16_t callers = 0;
    std::uint16_t peers = 0;
    std::uint16_t operations = 0;
};

/// A place with free ports.
HostPlace makePlace(const std::string &id, const std::string &zone, const std::string &platform);

/// An azurewelld of a test, as a process of its own.
class HostProcess
{
public:
    explicit HostProcess(HostPlace place);
    ~HostProcess();

    /// Starts the program and waits until /readyz says 200.
    bool start();
    void signal(int number) const;
    bool isRunning() const;
    /// Waits for its end; its exit code, -1 where it does not end or ended by a signal.
    int exitCode();
    /// What it has written to its log so far.
    QByteArray log();
    /// The status that /readyz answers, 0 where nothing answers.
    int readyStatus() const;
    /// The value of a sample at /metrics; -1 where there is none.
    double metric(const QByteArray &sample) const;
    /// Resident memory in bytes.
    std::int64_t residentBytes() const;

    HostPlace place;

private:
    QTemporaryDir directory;
    QProcess process;
};

} // namespace azurewell::tests
