#include "azurewell/gateway/configuration.h"

#include <algorithm>
#include <set>

namespace azurewell::gateway {

void indexKeys(Configuration &configuration)
{
    configuration.customerOfKey.clear();
    for (std::size_t index = 0; index < configuration.customers.size(); ++index) {
        for (const KeyHash &key : configuration.customers[index].keys)
            configuration.customerOfKey[key] = index;
    }
}

void indexPriorities(Configuration &configuration)
{
    std::set<Priority> ofCustomers;
    for (const Customer &customer : configuration.customers)
        ofCustomers.insert(customer.priority.value_or(defaultPriority));
    std::map<ServiceId, std::set<StatedUrgency>> urgencies;
    for (const Route &route : configuration.routes) {
        const Priority ofRoute = route.priority.value_or(defaultPriority);
        for (const WeightedService &weighted : route.services) {
            std::set<StatedUrgency> &ofService = urgencies[weighted.service];
            if (route.isPublic || ofCustomers.empty())
                ofService.insert({ defaultPriority, ofRoute });
            for (const Priority &ofCustomer : ofCustomers)
                ofService.insert({ ofCustomer, ofRoute });
        }
    }
    configuration.urgencies.clear();
    for (const auto &[service, ofService] : urgencies) {
        if (ofService.size() > 1)
            configuration.urgencies[service] = { ofService.begin(), ofService.end() };
    }
}

std::optional<Priority> priorityOf(const Configuration &configuration, const Route &route,
                                   const Customer *customer, const ServiceId &service)
{
    const auto found = configuration.urgencies.find(service);
    if (found == configuration.urgencies.end())
        return std::nullopt;
    const std::optional<Priority> ofCustomer = customer ? customer->priority : std::nullopt;
    const StatedUrgency urgency{ ofCustomer.value_or(defaultPriority),
                                 route.priority.value_or(defaultPriority) };
    const std::vector<StatedUrgency> &ranked = found->second;
    const auto rank = std::lower_bound(ranked.begin(), ranked.end(), urgency) - ranked.begin();
    return priorityOfRank(static_cast<std::uint32_t>(rank));
}

const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view path)
{
    const Route *best = nullptr;
    for (const Route &route : configuration.routes) {
        if (route.host != host || !path.starts_with(route.prefix))
            continue;
        if (!best || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

const Service *findService(const Configuration &configuration, const ServiceId &id)
{
    for (const Service &service : configuration.services) {
        if (service.id == id)
            return &service;
    }
    return nullptr;
}

const Customer *findCustomer(const Configuration &configuration, const KeyHash &key)
{
    const auto found = configuration.customerOfKey.find(key);
    return found == configuration.customerOfKey.end() ? nullptr
                                                      : &configuration.customers[found->second];
}

const Customer *findCustomer(const Configuration &configuration, const CustomerId &id)
{
    for (const Customer &customer : configuration.customers) {
        if (customer.id == id)
            return &customer;
    }
    return nullptr;
}

const ServiceId *pickService(const Route &route, double draw)
{
    double total = 0;
    for (const WeightedService &weighted : route.services)
        total += weighted.weight;
    double remaining = draw * total;
    const ServiceId *last = nullptr;
    for (const WeightedService &weighted : route.services) {
        if (weighted.weight <= 0)
            continue;
        last = &weighted.service;
        remaining -= weighted.weight;
        if (remaining < 0)
            break;
    }
    return last;
}

} // namespace azurewell::gateway
