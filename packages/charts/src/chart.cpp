#include "azurewell/charts/chart.h"

#include <QtCore/QByteArray>
#include <QtCore/QFile>
#include <QtCore/QXmlStreamReader>

#include <algorithm>
#include <optional>

namespace azurewell {

namespace {

struct Transition
{
    std::string source;
    std::string event;
    std::string target;
    std::int64_t line = 0;
};

struct RawChart
{
    std::string initial;
    std::vector<std::string> states;
    std::vector<Transition> transitions;
};

Error invalid(std::int64_t line, const std::string &what)
{
    return Error{ ResultCode::ChartInvalid, "line " + std::to_string(line) + ": " + what };
}

std::string attribute(const QXmlStreamReader &reader, const char *name)
{
    return reader.attributes().value(QLatin1String(name)).toString().toStdString();
}

void readElement(const QXmlStreamReader &reader, RawChart &raw)
{
    const QStringView name = reader.name();
    if (name == QLatin1String("scxml")) {
        raw.initial = attribute(reader, "initial");
    } else if (name == QLatin1String("state") || name == QLatin1String("final")) {
        raw.states.push_back(attribute(reader, "id"));
    } else if (name == QLatin1String("transition")) {
        const std::string source = raw.states.empty() ? std::string() : raw.states.back();
        raw.transitions.push_back(Transition{ source, attribute(reader, "event"),
                                              attribute(reader, "target"), reader.lineNumber() });
    }
}

Result<RawChart> readXml(std::string_view scxml)
{
    RawChart raw;
    QXmlStreamReader reader(QByteArray(scxml.data(), static_cast<qsizetype>(scxml.size())));
    while (!reader.atEnd()) {
        if (reader.readNext() == QXmlStreamReader::StartElement)
            readElement(reader, raw);
    }
    if (reader.hasError())
        return invalid(reader.lineNumber(), reader.errorString().toStdString());
    return raw;
}

template <typename Names>
std::optional<std::uint16_t> indexOf(const Names &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<std::uint16_t>(found - names.begin());
}

} // namespace

Result<Chart> parseChart(std::string_view scxml, std::span<const std::string_view> states,
                         std::span<const std::string_view> events)
{
    const Result<RawChart> read = readXml(scxml);
    if (!read)
        return read.error();
    const RawChart &raw = read.value();

    Chart chart;
    chart.states.assign(states.begin(), states.end());
    chart.events.assign(events.begin(), events.end());
    chart.next.assign(states.size() * events.size(), Chart::none);

    for (const std::string &state : raw.states) {
        if (!indexOf(states, state))
            return invalid(
                    0, "the file declares state '" + state + "', which the program does not have");
    }
    for (const std::string_view state : states) {
        if (!indexOf(raw.states, state))
            return invalid(0,
                           "the file lacks state '" + std::string(state)
                                   + "', which the program needs");
    }
    const std::optional<std::uint16_t> initial = indexOf(states, raw.initial);
    if (!initial)
        return invalid(0,
                       "the initial attribute of the scxml element names no state: '" + raw.initial
                               + "'");
    chart.initial = *initial;

    for (const Transition &transition : raw.transitions) {
        const std::optional<std::uint16_t> source = indexOf(states, transition.source);
        const std::optional<std::uint16_t> event = indexOf(events, transition.event);
        const std::optional<std::uint16_t> target = indexOf(states, transition.target);
        if (!source || !event || !target)
            return invalid(transition.line,
                           "transition before the first state, or with an unknown or absent event "
                           "or target");
        chart.next[*source * events.size() + *event] = *target;
    }
    return chart;
}

Result<Chart> loadChart(const std::string &path, std::span<const std::string_view> states,
                        std::span<const std::string_view> events)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
        return Error{ ResultCode::FileUnreadable, path + ": " + file.errorString().toStdString() };
    const QByteArray content = file.readAll();
    Result<Chart> chart = parseChart(
            std::string_view(content.data(), static_cast<std::size_t>(content.size())), states,
            events);
    if (!chart)
        return Error{ chart.error().code, path + ": " + chart.error().detail };
    return chart;
}

} // namespace azurewell
