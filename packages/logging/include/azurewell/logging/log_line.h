#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace azurewell {

/// A parsed line as written by writeLog().
struct LogLine
{
    std::string level;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;
};

/// Parses \a text; empty if it is not a log line. Skips everything before the level: the time, and
/// any prefix that a log collector added.
std::optional<LogLine> readLogLine(std::string_view text);

/// The value of a field; empty if the line does not have it.
std::string_view fieldOf(const LogLine &line, std::string_view key);

/// The value of a field as a number; 0 if it is missing or not a number.
long numberOf(const LogLine &line, std::string_view key);

} // namespace azurewell
