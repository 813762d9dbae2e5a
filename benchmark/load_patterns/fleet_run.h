#pragma once

#include "workload.h"

#include <vector>

namespace azurewell::load {

enum class Policy : std::uint8_t {
    Baseline, ///< One FIFO queue for all customers, least-loaded routing, LRU eviction, no load
              ///< shedding, no pacing of adapter loads.
    Current,  ///< The decision modules as packages/host uses them.
};

enum class Ending : std::uint8_t { Open, Completed, Refused, Expired, OverRate };

/// Result of a job as its caller sees it.
struct Outcome
{
    Ending ending = Ending::Open;
    Instant firstToken;
    Span loadStall{}; ///< Queueing time while the adapter was not loaded on the engine.
};

/// Slot-seconds, summed over the time in which requests were waiting.
struct SlotUse
{
    double used = 0;
    double usable = 0; ///< Slots that running and waiting requests could occupy.
    double all = 0;
};

struct RunResult
{
    std::vector<Outcome> outcomes; ///< One for each job.
    SlotUse slots;
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    std::size_t maxLoadsInFlight = 0; ///< At the weight store, over all engines.
};

/// Runs \a jobs through the decision modules in simulated time.
RunResult runFleet(const Deployment &deployment, const Pattern &pattern, Policy policy,
                   const std::vector<Job> &jobs, std::uint64_t seed);

} // namespace azurewell::load
