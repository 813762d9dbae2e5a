#pragma once

#include "azurewell/units/result.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <string_view>

namespace azurewell::gateway {

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

/// Errors: MessageInvalid.
template <typename Message>
Result<Message> decodeCompact(std::string_view bytes)
{
    // Thrift takes a mutable buffer to read from, but does not write to it.
    std::string copy(bytes);
    try {
        const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> buffer
                = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
                        reinterpret_cast<std::uint8_t *>(copy.data()),
                        static_cast<std::uint32_t>(copy.size()));
        apache::thrift::protocol::TCompactProtocol protocol(buffer);
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception &failure) {
        return Error{ ResultCode::MessageInvalid, failure.what() };
    }
}

} // namespace azurewell::gateway
