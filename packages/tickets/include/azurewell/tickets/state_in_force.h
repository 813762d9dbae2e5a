#pragma once

#include "azurewell/tickets/adapter_table.h"
#include "azurewell/tickets/ticket.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace azurewell {

/// An entry of the ticket history for operators.
struct TicketSummary
{
    TicketNumber number;
    std::string by;
    std::string why;
};

/// The state after applying all tickets up to `ticket`, which never decreases at a host.
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
            history; ///< Newest last, limited to the newest historyLimit entries.

    static constexpr std::size_t historyLimit = 1000;
};

/// Applies \a ticket completely or not at all. Errors: TicketOutOfOrder unless its number is the
/// next one; TicketInvalid if it refers to an unknown customer or zone, or exceeds maxBaseModels.
Result<TicketNumber> applyTicket(StateInForce &state, const Ticket &ticket);

/// The customer of \a key. Errors: KeyUnknown, KeyWithdrawn.
Result<const Customer *> customerOf(const StateInForce &state, const KeyHash &key);

/// The adapter \a ref of \a customer. Errors: AdapterUnknown, also for another customer's adapter,
/// so that callers can't probe for names.
Result<AdapterView> adapterFor(const StateInForce &state, const CustomerId &customer,
                               const AdapterRef &ref);

/// The service \a id if \a customer may call it. Errors: ServiceUnknown, ServiceNotAllowed.
Result<const Service *> serviceFor(const StateInForce &state, const Customer &customer,
                                   const ServiceId &id);

} // namespace azurewell
