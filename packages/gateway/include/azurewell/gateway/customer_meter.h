#pragma once

#include "azurewell/gateway/configuration.h"
#include "azurewell/gateway/members.h"
#include "azurewell/units/ids.h"

#include <array>
#include <map>
#include <optional>

namespace azurewell::gateway {

/// How a customer's rate and burst are enforced.
struct MeterLimits
{
    Span window = std::chrono::seconds(8); ///< Length of the sliding window.
    double overshoot = 0;  ///< Tolerated use above rate and burst, as a fraction of them.
    double slack = 0;      ///< Tolerated use beyond that, in tokens.
    Span updateInterval{}; ///< How often hosts send each other what they admitted.
};

/// Tokens used within a sliding window, summed in buckets of equal length.
struct WindowSum
{
    static constexpr std::size_t bucketCount = 32;

    std::array<double, bucketCount + 1> buckets{}; ///< Tokens of each bucket; a ring.
    std::size_t newestBucket = 0;
    Instant newestBucketEndsAt;
    double sum = 0;
};

/// Drops the buckets that are older than \a length.
void slide(WindowSum &window, Span length, Instant now);

void addTo(WindowSum &window, double tokens, Span length, Instant now);

/// What one host admitted of a customer's requests, as that host reports.
struct HostUse
{
    Incarnation incarnation;
    double admitted = 0; ///< Tokens since the host's process started.
    WindowSum window;
};

/// Enforces the rate and burst of one customer over all hosts.
///
/// Load pattern: one customer sends many times its rate through all hosts at once, and the balancer
/// spreads its connections unevenly. A fixed share of the rate for each host refuses callers at the
/// crowded host while the others have capacity left. Here each host counts what all hosts admitted
/// within the window: its own requests at once, those of the others as soon as their updates
/// arrive, so that any host can use the whole capacity.
///
/// What the others have admitted since their last update is unknown. Some capacity is reserved for
/// it: the average use between two updates, and a margin for the granularity of the window's
/// buckets.
struct CustomerMeter
{
    HostUse own;
    std::map<HostId, HostUse> others;
    /// Tokens known to be admitted by any host since this process started.
    double admittedSinceStart = 0;
};

/// Whether an earlier process of this host may have admitted requests within the current window.
struct MeterStart
{
    bool isFirstStart = false; ///< The whole system starts for the first time, so nothing was
                               ///< admitted before.
    Instant startedAt;
    bool isPriorUseUnknown = false; ///< Most hosts of a large fleet restarted as well.
};

/// Whether more than half of the capacity is used, so that the other hosts need an update at once.
/// After a restart it is half of what may be used by then: all hosts may have restarted, and each
/// would use that capacity for itself.
bool isNearLimit(const CustomerMeter &meter, const Customer &customer, const MeterLimits &limits,
                 const MeterStart &start, Instant now);

/// Admits \a cost tokens if there is capacity and returns nothing. Otherwise returns the time after
/// which capacity is likely.
///
/// In a network partition both sides serve the same customer, and neither receives what the other
/// admits. A host that became unreachable without announcing that it leaves may be on the other
/// side, so its even share of the capacity is reserved for it.
std::optional<Span> admit(CustomerMeter &meter, const Customer &customer, double cost,
                          const MeterLimits &limits, const MeterStart &start,
                          const Members &members, Instant now);

/// Records that \a host has admitted \a admitted tokens since its start, \a inWindow of them within
/// the window.
void recordAdmittedElsewhere(CustomerMeter &meter, const HostId &host, Incarnation incarnation,
                             double admitted, double inWindow, const MeterLimits &limits,
                             Instant now);

/// Returns the tokens that a request of \a customer is charged. \a stated is the count in the
/// request, if any.
double costOf(const Customer &customer, std::optional<Tokens> stated);

} // namespace azurewell::gateway
