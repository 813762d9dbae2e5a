#pragma once

#include "azurewell/tickets/state_in_force.h"

#include <optional>
#include <string>

namespace azurewell {

/// One record in force as JSON, with the ticket that set it, by whom and why: \a path is
/// `customer/NAME`, `key/SHA256` or `adapter/NAME@VERSION`. Nothing where there is no such record.
std::optional<std::string> showRecord(const StateInForce &state, const std::string &path);

} // namespace azurewell
