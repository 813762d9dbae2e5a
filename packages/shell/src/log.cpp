#include "azurewell/shell/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace azurewell {

namespace {

LogLevel lowestLevel = LogLevel::Info;
std::string hostName = "-";

std::string_view nameOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

/// A value with blanks, quotes or line ends is quoted, so that a caller's text cannot forge a field
/// or a line.
std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string::npos)
        return value;
    std::string out = "\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            out += '\\';
        out += (letter == '\n' || letter == '\r') ? ' ' : letter;
    }
    return out + "\"";
}

} // namespace

void setUpLog(LogLevel level, const std::string &host)
{
    lowestLevel = level;
    hostName = host;
}

void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < lowestLevel)
        return;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} host={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                                   nameOf(level), event, hostName);
    for (const LogField &field : fields)
        line += fmt::format(" {}={}", field.key, quoted(field.value));
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace azurewell
