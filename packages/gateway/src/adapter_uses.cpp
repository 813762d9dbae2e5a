#include "azurewell/gateway/adapter_uses.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// A report of another host is valid until its second next heartbeat, so that one lost message does
/// no harm.
constexpr double useValidityHeartbeats = 2.2;

} // namespace

void beginUse(OwnUses &uses, const AdapterPlace &place)
{
    OwnUse &use = uses[place];
    ++use.running;
    ++use.begun;
}

bool endUse(OwnUses &uses, const AdapterPlace &place)
{
    const auto found = uses.find(place);
    if (found == uses.end() || found->second.running == 0)
        return false;
    return --found->second.running == 0;
}

std::vector<AdapterUse> takeUnreported(OwnUses &uses, const UpstreamId &engine)
{
    std::vector<AdapterUse> reported;
    for (auto place = uses.lower_bound({ engine, {} });
         place != uses.end() && place->first.first == engine;) {
        OwnUse &use = place->second;
        const bool isRunning = use.running > 0;
        if (isRunning || use.begun > 0 || use.isReportedInUse)
            reported.push_back({ engine, place->first.second, isRunning, use.begun });
        use.begun = 0;
        use.isReportedInUse = isRunning;
        place = isRunning ? std::next(place) : uses.erase(place);
    }
    return reported;
}

void recordRemoteUse(RemoteUses &uses, const AdapterRef &adapter, const HostId &host,
                     bool isRunning, Span reportInterval, Instant now)
{
    if (isRunning)
        uses[adapter][host] = now + fromSeconds(toSeconds(reportInterval) * useValidityHeartbeats);
    else if (const auto found = uses.find(adapter); found != uses.end())
        found->second.erase(host);
}

bool isUsedElsewhere(const RemoteUses &uses, const AdapterRef &adapter, Instant now)
{
    const auto found = uses.find(adapter);
    return found != uses.end()
            && std::any_of(found->second.begin(), found->second.end(),
                           [now](const auto &use) { return now < use.second; });
}

} // namespace azurewell::gateway
