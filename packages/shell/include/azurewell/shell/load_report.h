#pragma once

#include "azurewell/host/events.h"

#include <string_view>

namespace azurewell {

/// Decodes the load report of \a engine, a JSON object with `running`, `queued`, `start` and
/// `adapters`. A field that is missing or of another type counts as 0 or empty; a text that is no
/// object as an engine that is not reachable.
LoadReported parseLoadReport(const UpstreamId &engine, std::string_view text);

} // namespace azurewell
