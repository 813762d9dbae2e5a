#pragma once

#include "azurewell/tickets/records.h"
#include "azurewell/units/result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// A change ticket: numbered, with the whole new state of each record it touches.
struct Ticket
{
    TicketNumber number;
    std::string by;  ///< Who asked for the change.
    std::string why; ///< The reason, for whoever reads it later.
    std::vector<Customer> customers;
    std::vector<Key> keys;
    std::vector<Adapter> adapters;
    std::vector<Upstream> upstreams;
    std::vector<Service> services;
    std::vector<Zone> zones;
    std::optional<FleetSettings> fleet;
    std::vector<AdapterRef> removedAdapters;
    std::vector<CustomerId> removedCustomers;
    std::vector<UpstreamId> removedUpstreams;
};

/// Reads a ticket from JSON with comments (docs/TICKETS.md has the format). Errors: TicketInvalid
/// with the line or the key, what is wrong and what is allowed.
Result<Ticket> parseTicket(std::string_view text);

} // namespace azurewell
