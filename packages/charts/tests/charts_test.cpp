#include "azurewell/charts/known_charts.h"

#include <gtest/gtest.h>

using namespace azurewell;

namespace {

constexpr std::array<std::string_view, 2> states{ "off", "on" };
constexpr std::array<std::string_view, 1> events{ "press" };

} // namespace

TEST(Charts, ShippedChartsLoad)
{
    const Result<KnownCharts> charts = loadKnownCharts(AZUREWELL_CHARTS_DIR);
    ASSERT_TRUE(charts) << charts.error().detail;
    const Chart &process = charts.value().process;
    EXPECT_EQ(advance(process, ProcessState::Serving, ProcessEvent::StopAsked),
              ProcessState::Draining);
    EXPECT_EQ(advance(process, ProcessState::Draining, ProcessEvent::StateInForce),
              ProcessState::Draining);
}

TEST(Charts, TransitionsComeFromTheFile)
{
    const char *toggles
            = R"(<scxml initial="off"><state id="off"><transition event="press" target="on"/></state>
        <state id="on"><transition event="press" target="off"/></state></scxml>)";
    const char *sticks
            = R"(<scxml initial="off"><state id="off"><transition event="press" target="on"/></state>
        <state id="on"/></scxml>)";
    const Result<Chart> toggling = parseChart(toggles, states, events);
    const Result<Chart> sticking = parseChart(sticks, states, events);
    ASSERT_TRUE(toggling);
    ASSERT_TRUE(sticking);
    EXPECT_EQ(advance(toggling.value(), 1, 0), 0);
    EXPECT_EQ(advance(sticking.value(), 1, 0), 1);
}

TEST(Charts, MissingStateIsRejectedWithItsName)
{
    const Result<Chart> chart = parseChart(R"(<scxml initial="off"><state id="off"/></scxml>)",
                                           states, events);
    ASSERT_FALSE(chart);
    EXPECT_EQ(chart.error().code, ResultCode::ChartInvalid);
    EXPECT_NE(chart.error().detail.find("'on'"), std::string::npos);
}
