#pragma once

#include "azurewell/gateway/gossip.h"
#include "azurewell/units/result.h"

#include <string>
#include <string_view>

namespace azurewell::gateway {

/// Encodes \a message as one datagram. Times are encoded as ages relative to \a now.
std::string encodeGossip(const Gossip &message, Instant now);

/// Decodes a datagram received at \a now. Errors: MessageInvalid.
Result<Gossip> decodeGossip(std::string_view bytes, Instant now);

} // namespace azurewell::gateway
