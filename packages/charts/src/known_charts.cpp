#include "azurewell/charts/known_charts.h"

namespace azurewell {

Result<KnownCharts> loadKnownCharts(const std::string &directory)
{
    Result<Chart> process = loadChart(directory + "/process.scxml", processStateNames,
                                      processEventNames);
    if (!process)
        return process.error();
    Result<Chart> upstream = loadChart(directory + "/upstream.scxml", upstreamStateNames,
                                       upstreamEventNames);
    if (!upstream)
        return upstream.error();
    Result<Chart> adapter = loadChart(directory + "/adapter.scxml", adapterStateNames,
                                      adapterEventNames);
    if (!adapter)
        return adapter.error();
    Result<Chart> peer = loadChart(directory + "/peer.scxml", peerStateNames, peerEventNames);
    if (!peer)
        return peer.error();
    return KnownCharts{ process.value(), upstream.value(), adapter.value(), peer.value() };
}

} // namespace azurewell
