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

LogLevel minLevel = LogLevel::Info;
std::string hostName = "-";
std::mutex bufferMutex; ///< Protects `buffer`: traffic threads write log lines as well.
LogBuffer buffer;

/// A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF on
/// Linux).
constexpr std::size_t writeBytes = 4096;

Instant bufferNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Instant{ std::chrono::duration_cast<Span>(sinceStart).count() };
}

/// Writes as many buffered bytes as standard output accepts without blocking.
void writeBuffered()
{
    while (!buffer.bytes.empty()) {
        pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
        if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
            return;
        const std::size_t size = std::min(writeBytes, buffer.bytes.size());
        const ssize_t written = ::write(STDOUT_FILENO, buffer.bytes.data(), size);
        if (written <= 0)
            return; // A failure to write the log cannot be logged; lines stay buffered, and those
                    // that no longer fit are counted.
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

/// Quotes a value with blanks, quotes or line ends, so that a caller's text cannot forge a field or
/// a line.
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
    minLevel = level;
    hostName = host;
}

namespace {

std::string formatLine(LogLevel level, std::string_view event, const LogField *first,
                       std::size_t count)
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
    if (level < minLevel)
        return;
    const std::string line = formatLine(level, event, first, count);
    const std::lock_guard<std::mutex> lock(bufferMutex);
    const Instant now = bufferNow();
    if (!addLine(buffer, line, level >= LogLevel::Warning, now))
        return;
    const std::uint64_t unreportedLines = takeUnreportedLines(buffer);
    if (unreportedLines > 0) {
        const LogField lines{ "lines", std::to_string(unreportedLines) };
        addLine(buffer, formatLine(LogLevel::Warning, "log_lines_dropped", &lines, 1), true, now);
    }
    writeBuffered();
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
    const std::lock_guard<std::mutex> lock(bufferMutex);
    writeBuffered();
}

std::uint64_t droppedLogLines()
{
    const std::lock_guard<std::mutex> lock(bufferMutex);
    return buffer.droppedLines;
}

} // namespace azurewell
