#pragma once

#include "azurewell/shell/settings.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace azurewell {

/// One `key=value` of a log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Lines below \a level are not written from here on. \a host stands in every line.
void setUpLog(LogLevel level, const std::string &host);

/// Writes one line to standard error: `time level event host=... key=value ...`. Values with blanks
/// are quoted. A key of a caller must never be passed here; only its hash exists in this program.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace azurewell
