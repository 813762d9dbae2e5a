#pragma once

#include "fleet_run.h"

#include <string>
#include <vector>

namespace azurewell::load {

/// One line of the output; docs/DECISIONS.md defines each measure.
struct Measures
{
    std::string pattern;
    std::string deployment;
    std::string policy;
    double worstCustomerShare = 0;
    std::vector<double> customerShares; ///< In the order of the deployment's customers.
    double worstOfServed = 0;           ///< The same against what this policy served altogether.
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t inRate = 0;
    double loadStallP95 = 0;
    double batchEfficiency = 0;
    double slotUse = 0;
    double goodput = 0;
    double firstTokenP95 = 0;
    double firstTokenP50 = 0;
    std::uint64_t loads = 0;
};

Measures measure(const Deployment &deployment, const std::vector<Job> &jobs,
                 const RunResult &result);

/// One JSON object without a line end.
std::string toJson(const Measures &measures);

/// Bars of each measure, baseline beside current, as an SVG document.
std::string toSvg(const std::vector<Measures> &all);

} // namespace azurewell::load
