#pragma once

#include "azurewell/tickets/records.h"
#include "azurewell/units/result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// A numbered change of the configuration, with the complete new state of each changed record.
struct Ticket
{
    TicketNumber number;
    std::string by;  ///< Who requested the change.
    std::string why; ///< The reason for the change.
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

/// Parses a ticket from JSON with comments (format: docs/TICKETS.md). Errors: TicketInvalid with
/// the line or the key, the reason and what is allowed.
Result<Ticket> parseTicket(std::string_view text);

} // namespace azurewell
