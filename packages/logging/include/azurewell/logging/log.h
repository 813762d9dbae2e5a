#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurewell {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One `key=value` of a log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Sets the minimum level to write, and the host name that each line carries.
void setUpLog(LogLevel level, const std::string &host);

/// Writes one line to standard output: `time level event host=... key=value ...`. Values with
/// blanks are quoted. Never pass a caller's API key; the program keeps only its hash.
///
/// Never blocks: if standard output is not read, or lines exceed the byte budget, lines are dropped
/// and counted; part of the budget is reserved for warnings and errors.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
void writeLog(LogLevel level, std::string_view event, const std::vector<LogField> &fields);

/// Writes buffered lines as far as standard output accepts them without blocking. To be called
/// periodically.
void flushLog();

/// The number of lines dropped since the start of the process.
std::uint64_t droppedLogLines();

} // namespace azurewell
