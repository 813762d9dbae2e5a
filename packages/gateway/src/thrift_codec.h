#pragma once

#include "azurewell/units/result.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace azurewell::gateway {

/// The largest message that is decoded: more than a datagram, or the head of a request, holds.
inline constexpr std::size_t maxMessageBytes = 1ULL << 20U;

/// \a message in Thrift's compact protocol.
template <typename Message>
std::string encodeCompact(const Message &message)
{
    const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer
            = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a message. No element and no character of it takes less than a byte, so that a stated
/// length beyond its size is refused before memory is reserved. Errors: MessageInvalid.
template <typename Message>
Result<Message> decodeCompact(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > maxMessageBytes)
        return Error{ ResultCode::MessageInvalid, "the message is empty or too large" };
    // Thrift takes a mutable buffer to read from, but does not write to it.
    std::string copy(bytes);
    try {
        const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer
                = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
                        reinterpret_cast<std::uint8_t *>(copy.data()),
                        static_cast<std::uint32_t>(copy.size()));
        const std::int32_t limit = static_cast<std::int32_t>(bytes.size());
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>
                protocol(buffer, limit, limit);
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception &failure) {
        return Error{ ResultCode::MessageInvalid, failure.what() };
    }
}

} // namespace azurewell::gateway
