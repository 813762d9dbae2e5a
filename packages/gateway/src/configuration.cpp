#include "azurewell/gateway/configuration.h"

#include <map>

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
    for (const Customer &customer : configuration.customers) {
        if (customer.priority)
            ofCustomers.insert(*customer.priority);
    }
    std::map<ServiceId, std::set<Priority>> priorities;
    for (const Route &route : configuration.routes) {
        for (const WeightedService &weighted : route.services) {
            std::set<Priority> &ofService = priorities[weighted.service];
            ofService.insert(route.priority.value_or(defaultPriority));
            ofService.insert(ofCustomers.begin(), ofCustomers.end());
        }
    }
    configuration.rankedServices.clear();
    for (const auto &[service, ofService] : priorities) {
        if (ofService.size() > 1)
            configuration.rankedServices.insert(service);
    }
}

std::optional<Priority> priorityOf(const Configuration &configuration, const Route &route,
                                   const Customer *customer, const ServiceId &service)
{
    if (!configuration.rankedServices.contains(service))
        return std::nullopt;
    return customer && customer->priority ? customer->priority : route.priority;
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
