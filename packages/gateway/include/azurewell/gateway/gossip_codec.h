#pragma once

#include "azurewell/gateway/gossip.h"
#include "azurewell/units/result.h"

#include <string>
#include <string_view>

namespace azurewell::gateway {

/// The bytes of one datagram. \a now turns the points in time of \a message into ages.
std::string encodeGossip(const Gossip &message, Instant now);

/// Reads a datagram that arrived at \a now. Errors: MessageInvalid.
Result<Gossip> decodeGossip(std::string_view bytes, Instant now);

} // namespace azurewell::gateway
