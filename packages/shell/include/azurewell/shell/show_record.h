#pragma once

#include "azurewell/tickets/state_in_force.h"

#include <optional>
#include <string>

namespace azurewell {

/// Returns a record in force as JSON, with number, author and reason of the ticket that set it, or
/// nothing if it does not exist. \a path is `customer/NAME`, `key/SHA256` or
/// `adapter/NAME@VERSION`.
std::optional<std::string> showRecord(const StateInForce &state, const std::string &path);

} // namespace azurewell
