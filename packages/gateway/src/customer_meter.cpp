#include "azurewell/gateway/customer_meter.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Kept free for the uneven edges of the window's parts and for requests that arrive at several
/// hosts at once.
constexpr double edgePart = 0.04;

/// A customer sends in clumps: between two words more can go through than on average.
constexpr double clumping = 1.5;

/// After a restart nothing is known of what was admitted before. What is admitted since may use a
/// part of the room at once, and more in step with the window.
struct RestartRoom
{
    double atOnce;
    double inWindow;
};

/// Where most hosts went on they know what was admitted, and only the part of the hosts that
/// restarted is missing. A small fleet takes this room also where all hosts start anew, as if the
/// window before had been used evenly: one that begins 1.5 s before and was full holds 0.81 of the
/// room. A customer that used all of its room in the last moments can get up to 1.4 times as much.
constexpr RestartRoom whereUseWasEven{ 0.15, 0.85 };

/// Where most hosts of a large fleet started anew the whole room may have been used just before. A
/// customer that uses half of its rate needs 0.46 of the room in a window and is not refused. One
/// that sent six times its rate has used its room within 2.7 s; with a second between, another
/// 0.02 + 0.46 x 4.3 s / 8 s comes into the same window, which the part that is kept free in a
/// large fleet has room for.
constexpr RestartRoom whereUseIsUnknown{ 0.02, 0.46 };

/// What customers get above rate and burst at the most, as a part. What the limits tolerate beyond
/// is for what hosts cannot know in time: cuts, restarts, and requests that arrive everywhere at
/// once. Handed out to a customer that sends many times its rate, it takes engines from the others.
constexpr double mostAbove = 0.05;

/// The room over all hosts, in tokens for each window.
double roomOf(const Customer &customer, const MeterLimits &limits)
{
    const double burst = static_cast<double>(customer.burst.count);
    const double plain = customer.rate.perSecond * toSeconds(limits.window) + burst;
    const double unheard = clumping * toSeconds(limits.toldEvery) / toSeconds(limits.window);
    const double tolerated = plain * (1 + limits.overshoot) + limits.slack;
    return std::min(plain * (1 + mostAbove), tolerated * (1 - edgePart - unheard));
}

/// The part of the room that may be used of all that was admitted since the start: what is left by
/// an earlier process that may have used the room before it.
double restartPart(const MeterLimits &limits, const MeterStart &start, Instant now)
{
    const double since = toSeconds(now - start.startedAt) / toSeconds(limits.window);
    if (start.isFirst || since >= 1)
        return 1;
    const RestartRoom &part = start.isUseUnknown ? whereUseIsUnknown : whereUseWasEven;
    return part.atOnce + part.inWindow * since;
}

/// Whether \a used since the start leaves what an earlier process may have used before it.
bool isInRestartRoom(double used, double room, const MeterLimits &limits, const MeterStart &start,
                     Instant now)
{
    const double part = restartPart(limits, start, now);
    return part >= 1 || used <= room * part;
}

struct Used
{
    double byAll = 0;
    double byHeard = 0; ///< This host and those that are heard.
};

Used usedIn(CustomerMeter &meter, const Members &members, Span window, Instant now)
{
    slide(meter.own.window, window, now);
    Used used{ meter.own.window.sum, meter.own.window.sum };
    for (auto &[id, use] : meter.others) {
        slide(use.window, window, now);
        used.byAll += use.window.sum;
        if (isAlive(members, id, now))
            used.byHeard += use.window.sum;
    }
    return used;
}

} // namespace

void slide(WindowSum &window, Span length, Instant now)
{
    const Span part = length / WindowSum::parts;
    if (now - window.newestEnds >= length) {
        window = {};
        window.newestEnds = now + part;
        return;
    }
    while (now >= window.newestEnds) {
        window.newest = (window.newest + 1) % window.used.size();
        window.sum -= window.used[window.newest];
        window.used[window.newest] = 0;
        window.newestEnds = window.newestEnds + part;
    }
}

void addTo(WindowSum &window, double tokens, Span length, Instant now)
{
    slide(window, length, now);
    window.used[window.newest] += tokens;
    window.sum += tokens;
}

std::optional<Span> admit(CustomerMeter &meter, const Customer &customer, double cost,
                          const MeterLimits &limits, const MeterStart &start,
                          const Members &members, Instant now)
{
    if (customer.rate.perSecond <= 0)
        return std::nullopt;
    const double room = roomOf(customer, limits);
    const double heard = static_cast<double>(countHeard(members, now) + 1);
    const double known = static_cast<double>(countKnown(members) + 1);
    const Used used = usedIn(meter, members, limits.window, now);
    const bool isInRoom = used.byAll + cost <= room && used.byHeard + cost <= room * heard / known
            && isInRestartRoom(meter.sinceStart + cost, room, limits, start, now);
    if (!isInRoom) {
        // Room comes back as the window slides, on average at the rate.
        return fromSeconds(cost / customer.rate.perSecond);
    }
    addTo(meter.own.window, cost, limits.window, now);
    meter.own.admitted += cost;
    meter.sinceStart += cost;
    return std::nullopt;
}

bool isNearLimit(const CustomerMeter &meter, const Customer &customer, const MeterLimits &limits,
                 const MeterStart &start, Instant now)
{
    double used = meter.own.window.sum;
    for (const auto &[id, use] : meter.others)
        used += use.window.sum;
    const double room = roomOf(customer, limits) * restartPart(limits, start, now);
    return customer.rate.perSecond > 0 && used > room / 2;
}

void noteAdmittedElsewhere(CustomerMeter &meter, const HostId &host, Incarnation incarnation,
                           double admitted, double inWindow, const MeterLimits &limits, Instant now)
{
    const auto [known, isNew] = meter.others.try_emplace(host);
    HostUse &use = known->second;
    if (incarnation < use.incarnation)
        return;
    if (incarnation > use.incarnation) {
        // What its earlier life admitted stays in the window. Of this life, all that is in the
        // window counts as just admitted, since its age is not known.
        use.incarnation = incarnation;
        use.admitted = admitted;
        addTo(use.window, inWindow, limits.window, now);
        if (!isNew)
            meter.sinceStart += inWindow;
        return;
    }
    if (admitted <= use.admitted)
        return;
    addTo(use.window, admitted - use.admitted, limits.window, now);
    meter.sinceStart += admitted - use.admitted;
    use.admitted = admitted;
}

double costOf(const Customer &customer, std::optional<Tokens> stated)
{
    if (!customer.countsTokens)
        return 1;
    return static_cast<double>(stated.value_or(customer.tokensWithoutWord).count);
}

} // namespace azurewell::gateway
