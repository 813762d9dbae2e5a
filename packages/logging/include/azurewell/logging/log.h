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

/// Lines below \a level are not written from here on. \a host stands in every line.
void setUpLog(LogLevel level, const std::string &host);

/// Writes one line to standard output: `time level event host=... key=value ...`. Values with
/// blanks are quoted. A key of a caller must never be passed here; only its hash exists in this
/// program.
///
/// Never blocks: where nobody reads standard output, or lines come faster than the budget, lines
/// are left out and counted, those of the lowest level first.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
void writeLog(LogLevel level, std::string_view event, const std::vector<LogField> &fields);

/// Writes what has been held back, as far as standard output takes it. To be called now and then.
void flushLog();

/// Lines that were left out since the start.
std::uint64_t linesLeftOut();

} // namespace azurewell
