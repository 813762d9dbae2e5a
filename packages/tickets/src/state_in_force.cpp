#include "azurewell/tickets/state_in_force.h"

#include <algorithm>
#include <set>

namespace azurewell {

namespace {

Error invalid(const std::string &what)
{
    return Error{ ResultCode::TicketInvalid, what };
}

bool hasCustomer(const StateInForce &state, const Ticket &ticket, const CustomerId &id)
{
    const auto matches = [&id](const Customer &customer) {
        return customer.id == id;
    };
    return state.customers.contains(id)
            || std::any_of(ticket.customers.begin(), ticket.customers.end(), matches);
}

bool hasZone(const StateInForce &state, const Ticket &ticket, const ZoneId &id)
{
    const auto matches = [&id](const Zone &zone) {
        return zone.id == id;
    };
    return state.zones.contains(id)
            || std::any_of(ticket.zones.begin(), ticket.zones.end(), matches);
}

Result<TicketNumber> checkReferences(const StateInForce &state, const Ticket &ticket)
{
    for (const Key &key : ticket.keys) {
        if (!hasCustomer(state, ticket, key.customer))
            return invalid("a key names customer '" + key.customer.value
                           + "', which does not exist");
    }
    for (const Adapter &adapter : ticket.adapters) {
        if (!hasCustomer(state, ticket, adapter.customer))
            return invalid("adapter '" + adapter.ref.value + "' names customer '"
                           + adapter.customer.value + "', which does not exist");
    }
    std::set<std::string> models;
    for (const Adapter &adapter : ticket.adapters)
        models.insert(adapter.baseModel);
    if (state.adapters.baseModelCount() + models.size() > maxBaseModels)
        return invalid("more than " + std::to_string(maxBaseModels) + " base models");
    for (const Upstream &upstream : ticket.upstreams) {
        if (!hasZone(state, ticket, upstream.zone))
            return invalid("upstream '" + upstream.id.value + "' names zone '" + upstream.zone.value
                           + "', which does not exist");
    }
    return ticket.number;
}

} // namespace

Result<TicketNumber> applyTicket(StateInForce &state, const Ticket &ticket)
{
    if (ticket.number.value != state.ticket.value + 1) {
        return Error{ ResultCode::TicketOutOfOrder,
                      "ticket " + std::to_string(ticket.number.value) + " does not follow ticket "
                              + std::to_string(state.ticket.value) };
    }
    Result<TicketNumber> checked = checkReferences(state, ticket);
    if (!checked)
        return checked;

    for (const Customer &customer : ticket.customers)
        state.customers[customer.id] = customer;
    for (const Key &key : ticket.keys)
        state.keys[key.hash] = key;
    for (const Adapter &adapter : ticket.adapters)
        state.adapters.set(adapter);
    for (const Upstream &upstream : ticket.upstreams)
        state.upstreams[upstream.id] = upstream;
    for (const Service &service : ticket.services)
        state.services[service.id] = service;
    for (const Zone &zone : ticket.zones)
        state.zones[zone.id] = zone;
    if (ticket.fleet)
        state.fleet = *ticket.fleet;
    for (const AdapterRef &ref : ticket.removedAdapters)
        state.adapters.erase(ref);
    for (const CustomerId &id : ticket.removedCustomers)
        state.customers.erase(id);
    for (const UpstreamId &id : ticket.removedUpstreams)
        state.upstreams.erase(id);

    state.ticket = ticket.number;
    state.history.push_back(TicketSummary{ ticket.number, ticket.by, ticket.why });
    if (state.history.size() > StateInForce::historyLimit)
        state.history.erase(state.history.begin());
    return ticket.number;
}

Result<const Customer *> customerOf(const StateInForce &state, const KeyHash &key)
{
    const auto found = state.keys.find(key);
    if (found == state.keys.end())
        return Error{ ResultCode::KeyUnknown, {} };
    if (found->second.state == KeyState::Withdrawn)
        return Error{ ResultCode::KeyWithdrawn, {} };
    const auto customer = state.customers.find(found->second.customer);
    if (customer == state.customers.end())
        return Error{ ResultCode::KeyUnknown, {} };
    return &customer->second;
}

Result<AdapterView> adapterFor(const StateInForce &state, const CustomerId &customer,
                               const AdapterRef &ref)
{
    const std::optional<AdapterView> found = state.adapters.find(ref);
    if (!found || *found->customer != customer)
        return Error{ ResultCode::AdapterUnknown, ref.value };
    return *found;
}

Result<const Service *> serviceFor(const StateInForce &state, const Customer &customer,
                                   const ServiceId &id)
{
    const auto found = state.services.find(id);
    if (found == state.services.end())
        return Error{ ResultCode::ServiceUnknown, id.value };
    if (std::find(customer.services.begin(), customer.services.end(), id)
        == customer.services.end())
        return Error{ ResultCode::ServiceNotAllowed, id.value };
    return &found->second;
}

} // namespace azurewell
