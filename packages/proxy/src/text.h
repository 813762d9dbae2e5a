#pragma once

#include "azurewell/units/result_code.h"
#include "azurewell/units/time.h"

#include <string>

namespace azurewell {

/// \a span in whole milliseconds as text, for the log.
std::string inMillis(Span span);

/// \a span in seconds with three decimals, for a Retry-After header.
std::string inSeconds(Span span);

/// The JSON body of a refusal: code, message, and whether the request may have run.
std::string refusalBody(ResultCode code, bool isNotRun);

} // namespace azurewell
