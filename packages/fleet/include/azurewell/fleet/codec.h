#pragma once

#include "azurewell/fleet/messages.h"
#include "azurewell/units/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// A longer frame is refused before any of it is held: tickets are bounded to a megabyte.
inline constexpr std::uint32_t longestFrame = 2U << 20;
inline constexpr std::size_t frameHeadBytes = 4;

/// \a message as one frame: four bytes of length (big-endian), then Thrift's compact protocol.
std::string encodeFrame(const PeerMessage &message);

/// Decodes what follows a frame's length. Errors: MessageInvalid; never throws and never reads
/// beyond \a payload, whatever is in it.
Result<PeerMessage> decodePayload(std::string_view payload);

/// The length in a frame's head (the first frameHeadBytes of \a head). Errors: MessageInvalid above
/// longestFrame.
Result<std::uint32_t> frameLength(std::string_view head);

} // namespace azurewell
