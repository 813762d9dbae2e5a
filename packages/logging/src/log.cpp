#include "azurewell/logging/log.h"

#include "azurewell/logging/log_buffer.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <mutex>

namespace azurewell {

namespace {

LogLevel lowestLevel = LogLevel::Info;
std::string hostName = "-";
std::mutex bufferGuard; ///< Of `buffer`: traffic threads write lines, too.
LogBuffer buffer;

/// A pipe that poll() calls writable takes this much without blocking (PIPE_BUF on Linux).
constexpr std::size_t writeBytes = 4096;

Instant bufferNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Instant{ std::chrono::duration_cast<Span>(sinceStart).count() };
}

/// Writes what standard output takes now.
void writeHeld()
{
    while (!buffer.bytes.empty()) {
        pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
        if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
            return;
        const std::size_t size = std::min(writeBytes, buffer.bytes.size());
        const ssize_t written = ::write(STDOUT_FILENO, buffer.bytes.data(), size);
        if (written <= 0)
            return; // Nobody can be told that the log cannot be written; lines wait and are
                    // counted.
        buffer.bytes.erase(0, static_cast<std::size_t>(written));
    }
}

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

namespace {

std::string lineOf(LogLevel level, std::string_view event, const LogField *first, std::size_t count)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} host={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                                   nameOf(level), event, hostName);
    for (std::size_t i = 0; i < count; ++i)
        line += fmt::format(" {}={}", first[i].key, quoted(first[i].value));
    return line + '\n';
}

void writeFields(LogLevel level, std::string_view event, const LogField *first, std::size_t count)
{
    if (level < lowestLevel)
        return;
    const std::string line = lineOf(level, event, first, count);
    const std::lock_guard<std::mutex> lock(bufferGuard);
    const Instant now = bufferNow();
    if (!addLine(buffer, line, level >= LogLevel::Warning, now))
        return;
    const std::uint64_t untold = takeUntold(buffer);
    if (untold > 0) {
        const LogField lines{ "lines", std::to_string(untold) };
        addLine(buffer, lineOf(LogLevel::Warning, "log_lines_left_out", &lines, 1), true, now);
    }
    writeHeld();
}

} // namespace

void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    writeFields(level, event, fields.begin(), fields.size());
}

void writeLog(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    writeFields(level, event, fields.data(), fields.size());
}

void flushLog()
{
    const std::lock_guard<std::mutex> lock(bufferGuard);
    writeHeld();
}

std::uint64_t linesLeftOut()
{
    const std::lock_guard<std::mutex> lock(bufferGuard);
    return buffer.leftOut;
}

} // namespace azurewell
