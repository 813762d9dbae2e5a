#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace azurewell {

/// A line of the log as writeLog() writes it.
struct LogLine
{
    std::string level;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;
};

/// Empty where \a text is no line of the log. What stands before the level is passed over: the
/// time, and what a collector of logs may have put before it.
std::optional<LogLine> readLogLine(std::string_view text);

/// A field's value; empty where the line does not have it.
std::string_view fieldOf(const LogLine &line, std::string_view key);

/// The same as a number; 0 where it is none.
long numberOf(const LogLine &line, std::string_view key);

} // namespace azurewell
