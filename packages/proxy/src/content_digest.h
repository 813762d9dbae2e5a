#pragma once

#include "azurewell/units/ids.h"

#include <string_view>

namespace azurewell {

/// The digest of a request's \a target and whole \a body.
ContentDigest contentDigest(std::string_view target, std::string_view body);

} // namespace azurewell
