#include "world.h"

#include <nlohmann/json.hpp>
#include <QtCore/QCryptographicHash>

#include <array>

namespace azurewell::soak {

namespace {

constexpr std::array<const char *, 3> zones{ "centro", "norte", "sur" };
constexpr double loadsPerSecond = 20;

nlohmann::json tenantsJson()
{
    nlohmann::json set;
    for (const Tenant &tenant : tenants()) {
        const std::string name = tenant.name.toStdString();
        const QByteArray hash = QCryptographicHash::hash(tenant.key, QCryptographicHash::Sha256);
        set["customers"].push_back({ { "id", name },
                                     { "rate", customerRate },
                                     { "burst", customerBurst },
                                     { "weight", 1 },
                                     { "services", { "filings" } } });
        set["keys"].push_back({ { "sha256", hash.toHex().toStdString() },
                                { "customer", name },
                                { "state", "issued" } });
        for (const QByteArray &adapter : tenant.adapters)
            set["adapters"].push_back({ { "adapter", adapter.toStdString() },
                                        { "customer", name },
                                        { "base", "drafting-8b" } });
    }
    return set;
}

} // namespace

const std::vector<Tenant> &tenants()
{
    static const std::vector<Tenant> all{
        { "gruas", "soak-key-of-gruas", { "routes@3", "permits@1", "escorts@2" } },
        { "rival", "soak-key-of-rival", { "quotes@7", "bends@4" } },
    };
    return all;
}

World::World()
    : store(std::make_shared<standins::WeightStore>(loadsPerSecond))
{
    this->platform.listen(0);
    this->service.listen(0);
    nlohmann::json set = tenantsJson();
    nlohmann::json list;
    set["services"] = { { { "id", "filings" }, { "idempotent", false } } };
    const auto addUpstream = [&set](nlohmann::json upstream) {
        set["upstreams"].push_back(std::move(upstream));
    };
    addUpstream({ { "id", "filing-1" },
                  { "kind", "service" },
                  { "zone", zones[0] },
                  { "address", this->service.address() },
                  { "service", "filings" },
                  { "batch_slots", 64 } });
    for (const char *zone : zones) {
        standins::EngineOptions options;
        options.checksFencing = this->engines.size() != 1;
        this->engines.push_back(std::make_unique<standins::Engine>(options, this->store));
        this->engines.back()->listen(0);
        addUpstream({ { "id", std::string("engine-") + zone },
                      { "kind", "engine" },
                      { "zone", zone },
                      { "address", this->engines.back()->address() },
                      { "base", "drafting-8b" },
                      { "batch_slots", options.batchSlots },
                      { "adapter_slots", options.adapterSlots },
                      { "checks_fencing", options.checksFencing } });
        const std::string id = std::string("host-") + zone;
        set["zones"].push_back({ { "id", zone }, { "seats", 1 } });
        this->hosts.push_back(std::make_unique<tests::HostProcess>(
                tests::makeHostConfig(id, zone, "http://" + this->platform.address())));
        const std::string address = "127.0.0.1:"
                + std::to_string(this->hosts.back()->config.peerPort);
        list["hosts"].push_back({ { "id", id }, { "zone", zone }, { "address", address } });
    }
    this->platform.publish("azurewell/hosts", QByteArray::fromStdString(list.dump()));
    const nlohmann::json ticket{ { "ticket", 1 },
                                 { "by", "soak" },
                                 { "why", "configuration of the soak test" },
                                 { "set", set } };
    this->platform.publishTicket(1, QByteArray::fromStdString(ticket.dump()));
}

bool World::start()
{
    for (const std::unique_ptr<tests::HostProcess> &host : this->hosts) {
        if (!host->start())
            return false;
    }
    return true;
}

std::uint64_t World::tokensGeneratedFor(const Tenant &tenant) const
{
    std::uint64_t generated = 0;
    for (const std::unique_ptr<standins::Engine> &engine : this->engines) {
        for (const QByteArray &adapter : tenant.adapters) {
            const auto found = engine->tokensByAdapter.find(adapter.toStdString());
            generated += found == engine->tokensByAdapter.end() ? 0 : found->second;
        }
    }
    return generated;
}

} // namespace azurewell::soak
