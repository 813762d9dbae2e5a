#pragma once

#include "world.h"

#include <QtCore/QObject>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace azurewell::soak {

/// Injects random faults, two at a time, and ends them after a random time.
class Faults : public QObject
{
public:
    Faults(World &world, std::uint64_t seed);

    void start();
    /// Starts no further faults.
    void stop();
    bool isIdle() const
    {
        return this->activeCount == 0;
    }

    std::map<std::string, std::uint64_t> startedByName; ///< Number of faults.
    /// Hosts that exited with a code other than 0 or did not restart, with the end of their log.
    std::vector<std::string> hostFailures;

private:
    void startFault();
    void replaceHost(std::size_t index);
    void pauseHost(std::size_t index, int millis);

    World &world;
    std::mt19937_64 random;
    int activeCount = 0;
    bool isStopped = false;
    bool isHostDown = false;
};

} // namespace azurewell::soak
