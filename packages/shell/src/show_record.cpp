#include "azurewell/shell/show_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurewell {

namespace {

/// Adds the ticket that set the record; author and reason only if the history still contains it.
nlohmann::json withTicket(const StateInForce &state, nlohmann::json record, TicketNumber ticket)
{
    record["ticket"] = ticket.value;
    const auto isTicket = [ticket](const TicketSummary &entry) {
        return entry.number == ticket;
    };
    const auto entry = std::find_if(state.history.begin(), state.history.end(), isTicket);
    if (entry != state.history.end()) {
        record["by"] = entry->by;
        record["why"] = entry->why;
    }
    return record;
}

std::optional<nlohmann::json> customerJson(const StateInForce &state, const CustomerId &id)
{
    const auto found = state.customers.find(id);
    if (found == state.customers.end())
        return std::nullopt;
    nlohmann::json services = nlohmann::json::array();
    for (const ServiceId &service : found->second.services)
        services.push_back(service.value);
    return withTicket(state,
                      { { "customer", id.value },
                        { "rate", found->second.rate.perSecond },
                        { "burst", found->second.burst.count },
                        { "weight", found->second.weight },
                        { "services", std::move(services) } },
                      found->second.ticket);
}

std::optional<nlohmann::json> keyJson(const StateInForce &state, const KeyHash &hash)
{
    const auto found = state.keys.find(hash);
    if (found == state.keys.end())
        return std::nullopt;
    const bool isIssued = found->second.state == KeyState::Issued;
    return withTicket(state,
                      { { "key", hash.value },
                        { "customer", found->second.customer.value },
                        { "state", isIssued ? "issued" : "withdrawn" } },
                      found->second.ticket);
}

std::optional<nlohmann::json> adapterJson(const StateInForce &state, const AdapterRef &ref)
{
    const std::optional<AdapterView> found = state.adapters.find(ref);
    if (!found)
        return std::nullopt;
    return withTicket(state,
                      { { "adapter", ref.value },
                        { "customer", found->customer->value },
                        { "base", *found->baseModel } },
                      found->ticket);
}

} // namespace

std::optional<std::string> showRecord(const StateInForce &state, const std::string &path)
{
    const std::size_t slash = path.find('/');
    if (slash == std::string::npos)
        return std::nullopt;
    const std::string kind = path.substr(0, slash);
    const std::string name = path.substr(slash + 1);
    std::optional<nlohmann::json> record;
    if (kind == "customer")
        record = customerJson(state, CustomerId{ name });
    else if (kind == "key")
        record = keyJson(state, KeyHash{ name });
    else if (kind == "adapter")
        record = adapterJson(state, AdapterRef{ name });
    if (!record)
        return std::nullopt;
    return record->dump(2) + "\n";
}

} // namespace azurewell
