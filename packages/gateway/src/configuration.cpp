#include "azurewell/gateway/configuration.h"

namespace azurewell::gateway {

void indexKeys(Configuration &configuration)
{
    configuration.customerOfKey.clear();
    for (std::size_t index = 0; index < configuration.customers.size(); ++index) {
        for (const KeyHash &key : configuration.customers[index].keys)
            configuration.customerOfKey[key] = index;
    }
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
