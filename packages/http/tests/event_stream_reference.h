#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurewell {

struct EventStreamEnds
{
    std::uint64_t events = 0;
    bool isBetweenEvents = false;

    bool operator==(const EventStreamEnds &) const = default;
};

/// The lines of \a body that have ended; \a rest gets what follows them.
inline std::vector<std::string> linesOf(std::string_view body, std::string &rest)
{
    std::vector<std::string> lines;
    std::string line;
    for (std::size_t at = 0; at < body.size(); ++at) {
        if (body[at] != '\r' && body[at] != '\n') {
            line += body[at];
            continue;
        }
        lines.push_back(std::exchange(line, {}));
        if (body.substr(at, 2) == "\r\n")
            ++at;
    }
    rest = line;
    return lines;
}

/// What EventStreamScanner must find in \a body, by a parser that needs all of it.
inline EventStreamEnds referenceEndsOf(std::string_view body)
{
    constexpr std::string_view mark = "\xEF\xBB\xBF";
    const bool isCutMark = !body.empty() && body.size() < mark.size() && mark.starts_with(body);
    if (body.starts_with(mark))
        body.remove_prefix(mark.size());
    std::string rest;
    EventStreamEnds ends;
    bool isOpen = false;
    for (const std::string &line : linesOf(body, rest)) {
        if (line.empty() && std::exchange(isOpen, false))
            ++ends.events;
        else if (!line.empty() && line.front() != ':')
            isOpen = true;
    }
    ends.isBetweenEvents = !isOpen && rest.empty() && !isCutMark;
    return ends;
}

} // namespace azurewell
