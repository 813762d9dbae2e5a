#pragma once

#include "azurewell/units/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// A state chart as a flat table: `next[state * events.size() + event]`.
///
/// The table is read once at start-up from an SCXML file, which is authoritative. A look-up costs
/// two array reads, whereas QScxmlStateMachine queues an event through the Qt event loop, which the
/// core does not have (measurements: docs/design/state-charts.md).
struct Chart
{
    static constexpr std::uint16_t none = 0xffff;

    std::vector<std::string> states;
    std::vector<std::string> events;
    std::vector<std::uint16_t> next; ///< Index of a state, or none if there is no transition.
    std::uint16_t initial = 0;
};

/// Parses the flat subset of SCXML that the charts use: `<scxml initial>`, `<state id>`, `<final
/// id>` and `<transition event target>`. States and events are numbered by their position in
/// \a states and \a events. Errors: ChartInvalid with the line, also if the file lacks one of
/// \a states or has an unknown state or event.
Result<Chart> parseChart(std::string_view scxml, std::span<const std::string_view> states,
                         std::span<const std::string_view> events);

/// parseChart() for the content of the file \a path. Errors: ChartInvalid, FileUnreadable.
Result<Chart> loadChart(const std::string &path, std::span<const std::string_view> states,
                        std::span<const std::string_view> events);

/// The state after \a event in \a state; the same state if the chart has no transition.
template <typename State, typename Event>
State advance(const Chart &chart, State state, Event event)
{
    const std::size_t row = static_cast<std::size_t>(state) * chart.events.size();
    const std::uint16_t target = chart.next[row + static_cast<std::size_t>(event)];
    return target == Chart::none ? state : static_cast<State>(target);
}

/// Whether the chart has a transition for \a event in \a state.
template <typename State, typename Event>
bool accepts(const Chart &chart, State state, Event event)
{
    const std::size_t row = static_cast<std::size_t>(state) * chart.events.size();
    return chart.next[row + static_cast<std::size_t>(event)] != Chart::none;
}

} // namespace azurewell
