#include "azurewell/gateway/customer_meter.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Fraction of the capacity reserved for the granularity of the buckets and for requests that
/// arrive at several hosts at once.
constexpr double bucketMargin = 0.04;

/// Ratio of the peak to the average use between two updates: customers send in bursts.
constexpr double burstFactor = 1.5;

/// After a restart, what was admitted before is unknown. Fractions of the capacity that may be used
/// at once, and in addition over the course of one window.
struct RestartAllowance
{
    double immediate;
    double overWindow;
};

/// Applies if most hosts kept running: they know what was admitted, and only the share of the
/// restarted hosts is unknown. Small fleets use it also if all hosts restart, as if the window
/// before had been used evenly: a full window that began 1.5 s earlier holds 0.81 of the capacity.
/// A customer that used all of its capacity in the last moments can get up to 1.4 times as much.
constexpr RestartAllowance evenUseAllowance{ 0.15, 0.85 };

/// Applies if most hosts of a large fleet restarted: the whole capacity may have been used just
/// before. A customer that uses half of its rate needs 0.46 of the capacity in a window and is not
/// refused. One that sent six times its rate has used its capacity within 2.7 s; with a second
/// between, another 0.02 + 0.46 x 4.3 s / 8 s falls into the same window, which fits into the
/// reserve of a large fleet.
constexpr RestartAllowance unknownUseAllowance{ 0.02, 0.46 };

/// Maximum use above rate and burst, as a fraction of them. What the limits tolerate beyond that
/// covers what hosts cannot know in time: partitions, restarts, and requests that arrive everywhere
/// at once. If customers that send many times their rate got it too, it would take engine capacity
/// from the others.
constexpr double maxExcess = 0.05;

/// Returns the capacity over all hosts, in tokens per window.
double capacityOf(const Customer &customer, const MeterLimits &limits)
{
    const double burst = static_cast<double>(customer.burst.count);
    const double nominal = customer.rate.perSecond * toSeconds(limits.window) + burst;
    const double unreported = burstFactor * toSeconds(limits.updateInterval)
            / toSeconds(limits.window);
    const double tolerated = nominal * (1 + limits.overshoot) + limits.slack;
    return std::min(nominal * (1 + maxExcess), tolerated * (1 - bucketMargin - unreported));
}

/// Returns the fraction of the capacity that may be used by what was admitted since the start. The
/// rest may have been used by an earlier process.
double restartFraction(const MeterLimits &limits, const MeterStart &start, Instant now)
{
    const double since = toSeconds(now - start.startedAt) / toSeconds(limits.window);
    if (start.isFirstStart || since >= 1)
        return 1;
    const RestartAllowance &allowance = start.isPriorUseUnknown ? unknownUseAllowance
                                                                : evenUseAllowance;
    return allowance.immediate + allowance.overWindow * since;
}

/// Whether \a used tokens since the start leave what an earlier process may have used.
bool isWithinRestartAllowance(double used, double capacity, const MeterLimits &limits,
                              const MeterStart &start, Instant now)
{
    const double fraction = restartFraction(limits, start, now);
    return fraction >= 1 || used <= capacity * fraction;
}

struct Used
{
    double byAll = 0;
    double byLinked = 0; ///< By this host and those linked with it.
};

Used usedIn(CustomerMeter &meter, const Members &members, Span window, Instant now)
{
    slide(meter.own.window, window, now);
    Used used{ meter.own.window.sum, meter.own.window.sum };
    for (auto &[id, use] : meter.others) {
        slide(use.window, window, now);
        used.byAll += use.window.sum;
        const auto member = members.others.find(id);
        if (member != members.others.end() && !member->second.isLeaving
            && isMemberLinked(members, member->second, now))
            used.byLinked += use.window.sum;
    }
    return used;
}

} // namespace

void slide(WindowSum &window, Span length, Instant now)
{
    const Span bucket = length / WindowSum::bucketCount;
    if (now - window.newestBucketEndsAt >= length) {
        window = {};
        window.newestBucketEndsAt = now + bucket;
        return;
    }
    while (now >= window.newestBucketEndsAt) {
        window.newestBucket = (window.newestBucket + 1) % window.buckets.size();
        window.sum -= window.buckets[window.newestBucket];
        window.buckets[window.newestBucket] = 0;
        window.newestBucketEndsAt = window.newestBucketEndsAt + bucket;
    }
}

void addTo(WindowSum &window, double tokens, Span length, Instant now)
{
    slide(window, length, now);
    window.buckets[window.newestBucket] += tokens;
    window.sum += tokens;
}

std::optional<Span> admit(CustomerMeter &meter, const Customer &customer, double cost,
                          const MeterLimits &limits, const MeterStart &start,
                          const Members &members, Instant now)
{
    if (customer.rate.perSecond <= 0)
        return std::nullopt;
    const double capacity = capacityOf(customer, limits);
    const ReachCounts hosts = countReach(members, now);
    const double linkedShare = static_cast<double>(hosts.linked) / static_cast<double>(hosts.known);
    const Used used = usedIn(meter, members, limits.window, now);
    const bool isWithinCapacity = used.byAll + cost <= capacity
            && used.byLinked + cost <= capacity * linkedShare
            && isWithinRestartAllowance(meter.admittedSinceStart + cost, capacity, limits, start,
                                        now);
    if (!isWithinCapacity) {
        // Capacity is freed as the window slides, on average at the rate.
        return fromSeconds(cost / customer.rate.perSecond);
    }
    addTo(meter.own.window, cost, limits.window, now);
    meter.own.admitted += cost;
    meter.admittedSinceStart += cost;
    return std::nullopt;
}

bool isNearLimit(const CustomerMeter &meter, const Customer &customer, const MeterLimits &limits,
                 const MeterStart &start, Instant now)
{
    double used = meter.own.window.sum;
    for (const auto &[id, use] : meter.others)
        used += use.window.sum;
    const double capacity = capacityOf(customer, limits) * restartFraction(limits, start, now);
    return customer.rate.perSecond > 0 && used > capacity / 2;
}

void recordAdmittedElsewhere(CustomerMeter &meter, const HostId &host, Incarnation incarnation,
                             double admitted, double inWindow, const MeterLimits &limits,
                             Instant now)
{
    const auto [known, isNew] = meter.others.try_emplace(host);
    HostUse &use = known->second;
    if (incarnation < use.incarnation)
        return;
    if (incarnation > use.incarnation) {
        // What the earlier incarnation admitted stays in the window. What the new one has within
        // the window counts as admitted now, since its age is unknown.
        use.incarnation = incarnation;
        use.admitted = admitted;
        addTo(use.window, inWindow, limits.window, now);
        if (!isNew)
            meter.admittedSinceStart += inWindow;
        return;
    }
    if (admitted <= use.admitted)
        return;
    addTo(use.window, admitted - use.admitted, limits.window, now);
    meter.admittedSinceStart += admitted - use.admitted;
    use.admitted = admitted;
}

double costOf(const Customer &customer, std::optional<Tokens> stated)
{
    if (!customer.countsTokens)
        return 1;
    return static_cast<double>(stated.value_or(customer.defaultRequestTokens).count);
}

} // namespace azurewell::gateway
