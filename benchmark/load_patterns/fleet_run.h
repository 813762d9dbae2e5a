#pragma once

#include "workload.h"

#include <vector>

namespace azurewell::load {

enum class Policy : std::uint8_t {
    Baseline, ///< One first-in first-out queue for all customers, least-loaded routing, least
              ///< recently used eviction, no shedding, no pacing of loads.
    Current,  ///< The decision modules as packages/host uses them.
};

enum class Ending : std::uint8_t { Open, Completed, Refused, Expired, OverRate };

/// What the caller of a job saw.
struct Outcome
{
    Ending ending = Ending::Open;
    Instant firstToken;
    Span loadStall{}; ///< Time in the queue during which the adapter was not on the engine.
};

/// Batch slots over time, added up while any work waits.
struct SlotUse
{
    double used = 0;
    double usable = 0; ///< Slots that the running and the waiting work could fill.
    double all = 0;
};

struct RunResult
{
    std::vector<Outcome> outcomes; ///< One for each job.
    SlotUse slots;
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
};

/// Drives the decision modules through \a jobs in simulated time.
RunResult runFleet(const Deployment &deployment, const Pattern &pattern, Policy policy,
                   const std::vector<Job> &jobs, std::uint64_t seed);

} // namespace azurewell::load
