#pragma once

#include "azurewell/units/ids.h"

#include <string>

namespace azurewell::gateway {

/// Identifies all sends of one request, whichever host receives them. The digest includes the
/// customer, so that a customer cannot affect another customer's request by sending an equal one.
RequestDigest digestOf(const CustomerId &customer, const ContentDigest &content);

/// Identifies all requests whose prompts have \a part, whoever sends them.
RequestDigest digestOf(const PromptPartId &part);

/// \a digest as hexadecimal text, as used in the log.
std::string inHex(const RequestDigest &digest);

} // namespace azurewell::gateway
