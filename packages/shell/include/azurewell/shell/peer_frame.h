#pragma once

#include "azurewell/fleet/codec.h"
#include "azurewell/units/ids.h"

#include <QtCore/QByteArray>

#include <cstdint>

namespace azurewell {

/// Bytes of serial and HMAC in a frame. A frame between hosts is a length of four bytes, a
/// serial of eight bytes, an HMAC-SHA256 over receiver, serial and payload, and the payload.
/// Without the HMAC, anyone who reaches the peer port could grant itself slots or put tickets in
/// force; receiver and serial are covered so that a recorded frame cannot be replayed or
/// redirected.
inline constexpr std::size_t sealBytes = 8 + 32;

/// Content of an authenticated frame.
struct OpenedFrame
{
    std::uint64_t serial = 0;
    QByteArray payload;
};

/// Returns \a message as one authenticated frame for \a receiver.
QByteArray sealFrame(const QByteArray &key, const HostId &receiver, std::uint64_t serial,
                     const PeerMessage &message);

/// Verifies the HMAC of \a content, a frame without its length. Errors: MessageInvalid. The HMAC is
/// compared in constant time.
Result<OpenedFrame> openFrame(const QByteArray &key, const HostId &receiver,
                              const QByteArray &content);

} // namespace azurewell
