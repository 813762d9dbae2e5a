#pragma once

#include "azurewell/fleet/codec.h"
#include "azurewell/units/ids.h"

#include <QtCore/QByteArray>

#include <cstdint>

namespace azurewell {

/// A frame between hosts: four bytes of length, then what sealFrame() adds to a message's payload:
/// eight bytes of serial and an HMAC-SHA256 over receiver, serial and payload. Without it whoever
/// reaches the peer port could grant itself slots or put tickets in force; without receiver and
/// serial under the seal a recorded frame could be sent again, or to another host.
inline constexpr std::size_t sealBytes = 8 + 32;

/// What a frame held.
struct OpenedFrame
{
    std::uint64_t serial = 0;
    QByteArray payload;
};

/// \a message as one sealed frame for \a receiver.
QByteArray sealFrame(const QByteArray &key, const HostId &receiver, std::uint64_t serial,
                     const PeerMessage &message);

/// Checks the seal of \a content, a frame without its length. Errors: MessageInvalid. The
/// comparison takes the same time wherever the first wrong byte is.
Result<OpenedFrame> openFrame(const QByteArray &key, const HostId &receiver,
                              const QByteArray &content);

} // namespace azurewell
