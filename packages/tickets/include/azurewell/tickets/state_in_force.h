#pragma once

#include "azurewell/tickets/adapter_table.h"
#include "azurewell/tickets/ticket.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// A line of the history that operators read.
struct TicketSummary
{
    TicketNumber number;
    std::string by;
    std::string why;
};

/// What all tickets up to `ticket` put in force. A host never goes back to a lower number.
struct StateInForce
{
    TicketNumber ticket;
    std::unordered_map<CustomerId, Customer> customers;
    std::unordered_map<KeyHash, Key> keys;
    AdapterTable adapters;
    std::unordered_map<UpstreamId, Upstream> upstreams;
    std::unordered_map<ServiceId, Service> services;
    std::unordered_map<ZoneId, Zone> zones;
    FleetSettings fleet;
    std::vector<TicketSummary>
            history; ///< The newest last; the oldest are dropped beyond historyLimit.

    static constexpr std::size_t historyLimit = 1000;
};

/// Puts \a ticket in force: whole, or not at all. Errors: TicketOutOfOrder unless its number is the
/// next one; TicketInvalid where it names a customer or zone that does not exist.
Result<TicketNumber> applyTicket(StateInForce &state, const Ticket &ticket);

/// The customer of \a key. Errors: KeyUnknown, KeyWithdrawn.
Result<const Customer *> customerOf(const StateInForce &state, const KeyHash &key);

/// The adapter \a ref if it is \a customer's. Errors: AdapterUnknown, also for another customer's
/// adapter, so that names cannot be probed.
Result<AdapterView> adapterFor(const StateInForce &state, const CustomerId &customer,
                               const AdapterRef &ref);

/// The service \a id if \a customer may call it. Errors: ServiceUnknown, ServiceNotAllowed.
Result<const Service *> serviceFor(const StateInForce &state, const Customer &customer,
                                   const ServiceId &id);

} // namespace azurewell
