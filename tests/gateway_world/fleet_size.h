#pragma once

#include "world.h"

#include <cstdint>
#include <ostream>

namespace azurewell::gateway {

/// A fleet that a test is played with.
struct FleetSize
{
    std::size_t zones;
    std::size_t hostsPerZone;
    std::size_t enginesPerZone;
    double requestsPerSecond;
    std::uint64_t seeds = 1; ///< The test is played with the seeds from 1 to this one.
};

inline std::ostream &operator<<(std::ostream &out, const FleetSize &fleet)
{
    return out << fleet.zones * fleet.hostsPerZone << "_hosts";
}

inline WorldSettings settingsOf(const FleetSize &fleet, std::uint64_t seed = 1)
{
    WorldSettings settings;
    settings.seed = seed;
    settings.zones = fleet.zones;
    settings.hostsPerZone = fleet.hostsPerZone;
    settings.enginesPerZone = fleet.enginesPerZone;
    settings.requestsPerSecond = fleet.requestsPerSecond;
    return settings;
}

/// As settingsOf(), with a number of adapters and a weight store that grow with the fleet.
inline WorldSettings settingsWithAdapters(const FleetSize &fleet, std::size_t adaptersPerEngine,
                                          std::uint64_t seed = 1)
{
    WorldSettings settings = settingsOf(fleet, seed);
    settings.adapters = adaptersPerEngine * fleet.enginesPerZone;
    settings.fullSpeedLoads = fleet.enginesPerZone * 2;
    return settings;
}

} // namespace azurewell::gateway
