#pragma once

#include "fleet_run.h"

#include <string>
#include <vector>

namespace azurewell::load {

/// One row of the output; docs/DECISIONS.md defines each measure.
struct Measures
{
    std::string pattern;
    std::string deployment;
    std::string policy;
    double worstCustomerShare = 0;
    std::vector<double> customerShares; ///< In the order of the deployment's customers.
    double worstShareOfServed = 0; ///< Worst share, relative to the total that this policy served.
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t inRate = 0;
    double loadStallP95 = 0;
    double batchEfficiency = 0;
    double slotUse = 0;
    double goodput = 0;
    double firstTokenP95 = 0;
    double firstTokenP50 = 0;
    std::uint64_t loads = 0;
    std::size_t maxLoadsInFlight = 0;
};

Measures measure(const Deployment &deployment, const std::vector<Job> &jobs,
                 const RunResult &result);

/// Returns one JSON object without a trailing newline.
std::string toJson(const Measures &measures);

/// Returns an SVG document with bars for each measure; the baseline's are grey.
std::string toSvg(const std::vector<Measures> &all);

} // namespace azurewell::load
