#pragma once

#include "world.h"

#include <QtCore/QObject>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace azurewell::soak {

/// Brings about random faults, two at a time, and takes them back.
class Faults : public QObject
{
public:
    Faults(World &world, std::uint64_t seed);

    void start();
    /// Begins no more faults.
    void stop();
    bool isQuiet() const
    {
        return this->open == 0;
    }

    std::map<std::string, std::uint64_t> begun; ///< By name.
    /// Hosts that left with another code than 0 or did not come back, with the end of their log.
    std::vector<std::string> hostFailures;

private:
    void beginOne();
    void replaceHost(std::size_t index);
    void pauseHost(std::size_t index, int millis);

    World &world;
    std::mt19937_64 random;
    int open = 0;
    bool isStopped = false;
    bool isHostAway = false;
};

} // namespace azurewell::soak
