#include "azurewell/gateway/permit_pacer.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

void removePast(PermitPacer &pacer, Instant now)
{
    std::erase_if(pacer.reserved, [now](const auto &entry) { return entry.second < now; });
    pacer.returned.erase(pacer.returned.begin(), pacer.returned.lower_bound(now));
}

/// Takes the earliest returned permit, or else the one at \a next.
Instant takePermit(PermitPacer &pacer, Instant next, Span turn, const PermitHolder &holder)
{
    Instant at = next;
    if (!pacer.returned.empty() && *pacer.returned.begin() < next) {
        at = *pacer.returned.begin();
        pacer.returned.erase(pacer.returned.begin());
    } else {
        pacer.nextAt = next + turn;
    }
    pacer.reserved[holder] = at;
    return at;
}

} // namespace

Span reservePermit(PermitPacer &pacer, double perSecond, Instant now, const PermitHolder &holder)
{
    removePast(pacer, now);
    const Span turn = fromSeconds(1 / perSecond);
    const Instant first = pacer.nextAt.micros == 0 ? now + turn : pacer.nextAt;
    return takePermit(pacer, std::max(first, now), turn, holder) - now;
}

Span reserveInBurst(PermitPacer &pacer, double perSecond, double burst, Instant now,
                    const PermitHolder &holder)
{
    removePast(pacer, now);
    const Instant at = takePermit(pacer, std::max(pacer.nextAt, now), fromSeconds(1 / perSecond),
                                  holder);
    return std::max(at - now - fromSeconds(burst / perSecond), Span{});
}

void returnPermit(PermitPacer &pacer, const PermitHolder &holder)
{
    const auto found = pacer.reserved.find(holder);
    if (found == pacer.reserved.end())
        return;
    pacer.returned.insert(found->second);
    pacer.reserved.erase(found);
}

} // namespace azurewell::gateway
