#include "azurewell/shell/platform_watcher.h"
#include "azurewell/shell/settings.h"
#include "azurewell/tickets/state_in_force.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace azurewell;

namespace {

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

class Deployment : public testing::TestWithParam<const char *>
{
protected:
    std::filesystem::path directory() const
    {
        return std::filesystem::path(AZUREWELL_SOURCE_DIR) / "examples" / GetParam();
    }
};

} // namespace

TEST_P(Deployment, TicketCanBeApplied)
{
    const Result<Ticket> ticket = parseTicket(contentOf(this->directory() / "ticket-1.json"));
    ASSERT_TRUE(ticket) << ticket.error().detail;
    StateInForce state;
    const Result<TicketNumber> applied = applyTicket(state, ticket.value());
    ASSERT_TRUE(applied) << applied.error().detail;
    EXPECT_FALSE(state.customers.empty());
    EXPECT_FALSE(state.upstreams.empty());
}

TEST_P(Deployment, EachHostHasAUniqueZoneAndOrdinal)
{
    const Result<HostListRead> list = parseHostList(contentOf(this->directory() / "hosts.json"));
    ASSERT_TRUE(list) << list.error().detail;
    std::set<std::pair<ZoneId, SeatNumber>> ordinals;
    std::size_t hosts = 0;
    for (const auto &entry : std::filesystem::directory_iterator(this->directory())) {
        const std::string name = entry.path().filename().string();
        if (!name.starts_with("h") && !name.starts_with("entry"))
            continue;
        if (name.starts_with("hosts"))
            continue;
        const Result<Settings> settings = loadSettings(entry.path().string());
        ASSERT_TRUE(settings) << settings.error().detail;
        EXPECT_TRUE(
                ordinals.insert({ settings.value().self.zone, settings.value().self.seat }).second)
                << name;
        ++hosts;
    }
    EXPECT_EQ(hosts, list.value().hosts.size());
}

INSTANTIATE_TEST_SUITE_P(Examples, Deployment,
                         testing::Values("quickstart", "vigia-andina", "cintrage-tubes"),
                         [](const testing::TestParamInfo<const char *> &parameter) {
                             std::string name = parameter.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });
