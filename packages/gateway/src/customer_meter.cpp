#include "azurewell/gateway/customer_meter.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Debt beyond this many seconds of the rate is forgotten: a host that returns from a cut may tell
/// of so much at once that a customer would be refused long after the use has left any window.
constexpr double mostDebtSeconds = 4;

/// A host alone among many known ones still uses this much more than its even part: the room that
/// an uneven balancer needs. Both sides of a cut together stay within a fifth above the rate.
constexpr double unevenness = 1.2;

} // namespace

double usablePart(std::size_t heard, std::size_t known)
{
    const double part = static_cast<double>(heard + 1) / static_cast<double>(known + 1);
    return std::min(1.0, part * unevenness);
}

void startMeter(CustomerMeter &meter, const Customer &customer, bool isFull, Instant now)
{
    meter.level = isFull ? static_cast<double>(customer.burst.count) : 0;
    meter.refilledAt = now;
}

void refill(CustomerMeter &meter, const Customer &customer, double part, Instant now)
{
    const double gained = customer.rate.perSecond * part * toSeconds(now - meter.refilledAt);
    meter.refilledAt = now;
    meter.level = std::clamp(meter.level + gained, -customer.rate.perSecond * mostDebtSeconds,
                             static_cast<double>(customer.burst.count));
}

std::optional<Span> admit(CustomerMeter &meter, const Customer &customer, double cost, double part,
                          Instant now)
{
    if (customer.rate.perSecond <= 0)
        return std::nullopt;
    refill(meter, customer, part, now);
    // A request larger than the burst is admitted by a full bucket, and paid back.
    const double needed = std::min(cost, static_cast<double>(customer.burst.count));
    if (meter.level < needed)
        return fromSeconds((needed - meter.level) / (customer.rate.perSecond * part));
    meter.level -= cost;
    meter.admittedHere += cost;
    return std::nullopt;
}

void noteAdmittedElsewhere(CustomerMeter &meter, const HostId &host, Incarnation incarnation,
                           double admitted)
{
    CustomerMeter::Heard &heard = meter.others[host];
    if (incarnation < heard.incarnation)
        return;
    if (incarnation > heard.incarnation)
        heard = { incarnation, 0 };
    if (admitted <= heard.admitted)
        return;
    meter.level -= admitted - heard.admitted;
    heard.admitted = admitted;
}

double costOf(const Customer &customer, std::optional<Tokens> stated)
{
    if (!customer.countsTokens)
        return 1;
    return static_cast<double>(stated.value_or(customer.tokensWithoutWord).count);
}

} // namespace azurewell::gateway
