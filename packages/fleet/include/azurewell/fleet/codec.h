#pragma once

#include "azurewell/fleet/messages.h"
#include "azurewell/units/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// Maximum payload length in bytes; a longer frame is rejected before any of it is buffered.
/// Tickets are limited to one megabyte.
inline constexpr std::uint32_t maxFrameBytes = 2U << 20;
inline constexpr std::size_t frameHeaderBytes = 4;

/// Encodes \a message as one frame: four bytes of length (big-endian), then the payload in Thrift's
/// compact protocol.
std::string encodeFrame(const PeerMessage &message);

/// Decodes the payload of a frame. Errors: MessageInvalid. Never throws and never reads beyond \a
/// payload, for any input.
Result<PeerMessage> decodePayload(std::string_view payload);

/// Payload length from the frame header (the first frameHeaderBytes of \a head). Errors:
/// MessageInvalid above maxFrameBytes.
Result<std::uint32_t> frameLength(std::string_view head);

} // namespace azurewell
