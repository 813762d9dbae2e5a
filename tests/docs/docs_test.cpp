#include "azurewell/host/host.h"
#include "azurewell/shell/metrics.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace azurewell;

namespace {

std::string pageText(const std::string &name)
{
    std::ifstream file(std::string(AZUREWELL_SOURCE_DIR) + "/docs/" + name);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

TEST(ResultCodes, ThePageListsEachCodeWithItsNameStatusAndMessage)
{
    const std::string page = pageText("RESULT-CODES.md");
    for (const ResultCodeInfo &info : resultCodeTable()) {
        const std::string row = "| " + std::to_string(static_cast<int>(info.code)) + " | `"
                + std::string(info.name) + "` | " + std::to_string(info.httpStatus) + " | "
                + std::string(info.message) + " |";
        EXPECT_NE(page.find(row), std::string::npos) << "missing or wrong: " << row;
    }
    const std::regex row("\n\\| [0-9]+ \\| `");
    const auto rows = std::distance(std::sregex_iterator(page.begin(), page.end(), row),
                                    std::sregex_iterator());
    EXPECT_EQ(static_cast<std::size_t>(rows), resultCodeTable().size());
}

TEST(MetricsPage, ListsEachMetricThatTheHostPublishes)
{
    const HostState state = makeHost(HostIdentity{}, loadKnownCharts(AZUREWELL_CHARTS_DIR).value());
    const std::string published = metricsText(state, Metrics{});
    const std::string page = pageText("METRICS.md");
    const std::regex type("# TYPE (azurewell_[a-z_]+)");
    std::set<std::string> names;
    for (auto match = std::sregex_iterator(published.begin(), published.end(), type);
         match != std::sregex_iterator(); ++match)
        names.insert((*match)[1]);
    EXPECT_GT(names.size(), 10U);
    for (const std::string &name : names)
        EXPECT_NE(page.find("`" + name + "`"), std::string::npos)
                << name << " is not listed in METRICS.md";
}
