#include "azurewell/gateway/permit_pacer.h"

#include <algorithm>

namespace azurewell::gateway {

Span reservePermit(PermitPacer &pacer, double perSecond, Instant now)
{
    const Span turn = fromSeconds(1 / perSecond);
    const Instant first = pacer.nextAt.micros == 0 ? now + turn : pacer.nextAt;
    const Instant at = std::max(first, now);
    pacer.nextAt = at + turn;
    return at - now;
}

Span reserveInBurst(PermitPacer &pacer, double perSecond, double burst, Instant now)
{
    const Span turn = fromSeconds(1 / perSecond);
    const Instant next = std::max(pacer.nextAt, now);
    pacer.nextAt = next + turn;
    return std::max(next - now - fromSeconds(burst / perSecond), Span{});
}

void returnPermit(PermitPacer &pacer, double perSecond)
{
    pacer.nextAt = pacer.nextAt - fromSeconds(1 / perSecond);
}

} // namespace azurewell::gateway
