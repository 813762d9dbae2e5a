#pragma once

#include "azurewell/gateway/configuration.h"
#include "azurewell/gateway/members.h"
#include "azurewell/units/ids.h"

#include <array>
#include <map>
#include <optional>

namespace azurewell::gateway {

/// How a customer's rate and burst are read.
struct MeterLimits
{
    Span window = std::chrono::seconds(8); ///< Any span of this length counts.
    double overshoot = 0;                  ///< What may be used above rate and burst, as a part.
    double slack = 0;                      ///< And beyond that, in tokens.
    Span toldEvery{};                      ///< How often hosts tell each other what they admitted.
};

/// Tokens used within a sliding window.
struct WindowSum
{
    static constexpr std::size_t parts = 32;

    std::array<double, parts + 1> used{}; ///< The newest part is at `newest`.
    std::size_t newest = 0;
    Instant newestEnds;
    double sum = 0;
};

/// Drops what has left a window of \a length.
void slide(WindowSum &window, Span length, Instant now);

void addTo(WindowSum &window, double tokens, Span length, Instant now);

/// What one host admitted of a customer's requests, as it tells.
struct HostUse
{
    Incarnation incarnation;
    double admitted = 0; ///< Since its start.
    WindowSum window;
};

/// Rate and burst of one customer over all hosts.
///
/// Load pattern: one customer sends many times its rate, through all hosts at once, and the
/// balancer spreads its connections unevenly. A fixed part of the rate for each host refuses
/// callers at the crowded host while the others have room. Here each host keeps count of what all
/// of them admitted within the window: its own at once, that of the others as soon as they tell, so
/// that any host can use the whole room.
///
/// What the others admitted since their last word is not known, and some of the room is kept for
/// it: as much as goes through between two words, and a little for the uneven edges of the window's
/// parts.
struct CustomerMeter
{
    HostUse own;
    std::map<HostId, HostUse> others;
    double sinceStart = 0; ///< Admitted anywhere, as far as known, since this process started.
};

/// Whether a process that ran here before may have admitted requests of the present window.
struct MeterStart
{
    bool isFirst = false; ///< The whole system starts for the first time: nobody has.
    Instant startedAt;
    bool isUseUnknown = false; ///< Most hosts of a large fleet have started anew as well.
};

/// Whether more than half of the room is used, so that the others have to know at once. After a
/// restart that is half of what may be used by then: all hosts may have started anew, and each
/// would use that room for itself.
bool isNearLimit(const CustomerMeter &meter, const Customer &customer, const MeterLimits &limits,
                 const MeterStart &start, Instant now);

/// Takes \a cost if there is room. Otherwise returns the time after which there is likely room.
///
/// Behind a cut both sides serve the same customer and neither hears what the other admits. A host
/// that is silent without having said that it leaves may be there, so its even part of the room is
/// left to it.
std::optional<Span> admit(CustomerMeter &meter, const Customer &customer, double cost,
                          const MeterLimits &limits, const MeterStart &start,
                          const Members &members, Instant now);

/// \a host has admitted \a admitted tokens since its start, \a inWindow of them within the window.
void noteAdmittedElsewhere(CustomerMeter &meter, const HostId &host, Incarnation incarnation,
                           double admitted, double inWindow, const MeterLimits &limits,
                           Instant now);

/// What a request of \a customer counts as; \a stated are its tokens, where it says them.
double costOf(const Customer &customer, std::optional<Tokens> stated);

} // namespace azurewell::gateway
