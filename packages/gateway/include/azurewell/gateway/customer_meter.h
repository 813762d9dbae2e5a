#pragma once

#include "azurewell/gateway/configuration.h"
#include "azurewell/units/ids.h"

#include <map>
#include <optional>

namespace azurewell::gateway {

/// Rate and burst of one customer over all hosts.
///
/// Load pattern: one customer sends many times its rate, through all hosts at once, and the
/// balancer spreads its connections unevenly. A fixed part of the rate for each host refuses
/// callers at the crowded host while the others have room. Here each host keeps a replica of the
/// customer's one token bucket: it takes what it admits itself at once, and what the others
/// admitted as soon as they tell, so that any host can use the whole room.
///
/// What the others admitted since their last word is not known, so the bucket can go below zero;
/// the debt is paid before anything more is admitted. With words every 250 ms, a customer at 7
/// times its rate goes over its burst once by 7 x 0.25 s of its rate, which is under a fifth of
/// what it may use in 8 s.
struct CustomerMeter
{
    double level = 0; ///< Tokens that may be admitted now; negative: debt.
    Instant refilledAt;
    double admittedHere = 0; ///< By this host since its start; what it tells the others.
    struct Heard
    {
        Incarnation incarnation;
        double admitted = 0;
    };
    std::map<HostId, Heard> others;
};

/// The part of the rate that this host may use, with the others that it hears.
///
/// Behind a cut both sides serve the same customer and neither hears what the other admits. A host
/// that is silent without having said that it leaves may be there, so its part is left to it.
/// \a heard and \a known count other hosts.
double usablePart(std::size_t heard, std::size_t known);

/// A start with \a isFull has the whole burst; otherwise the bucket is empty, since a process that
/// ran here before may have used it.
void startMeter(CustomerMeter &meter, const Customer &customer, bool isFull, Instant now);

/// Brings the level up to \a now.
void refill(CustomerMeter &meter, const Customer &customer, double part, Instant now);

/// Takes \a cost if there is room. Otherwise returns the time after which there is likely room.
std::optional<Span> admit(CustomerMeter &meter, const Customer &customer, double cost, double part,
                          Instant now);

/// \a host says that it has admitted \a admitted tokens since its start.
void noteAdmittedElsewhere(CustomerMeter &meter, const HostId &host, Incarnation incarnation,
                           double admitted);

/// What a request of \a customer counts as; \a stated are its tokens, where it says them.
double costOf(const Customer &customer, std::optional<Tokens> stated);

} // namespace azurewell::gateway
