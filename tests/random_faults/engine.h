#pragma once

#include "checks.h"

#include <random>
#include <vector>

namespace azurewell::faults {

/// A sequence that an engine runs or queues.
struct Sequence
{
    RequestId request;
    HostId host;
    Incarnation incarnation;
    std::uint32_t attempt = 0;
    AdapterRef adapter;
    std::int64_t position = 0;  ///< Of its next token in the complete answer.
    std::int64_t maxTokens = 0; ///< Of the complete answer.
    bool hasStarted = false;
};

/// A simulated engine with batching and adapter slots, as seen by the coordinating hosts.
struct Engine
{
    UpstreamId id;
    ZoneId zone;
    std::uint32_t batchSlots = 3;
    std::uint32_t adapterSlots = 2;
    bool checksFencing = true;
    std::set<AdapterRef> loaded;
    std::uint32_t loading = 0;
    std::vector<Sequence> sequences;
    std::uint64_t start = 1;
    FencingNumber highestFencing;
    Instant failsLoadsUntil;

    bool isServing(const AdapterRef &adapter) const;
    bool refusesFencing(FencingNumber number);
    void restart();
    LoadReported report() const;
};

} // namespace azurewell::faults
