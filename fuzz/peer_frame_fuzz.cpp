#include "azurewell/shell/peer_frame.h"

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // Decodes the payload without authentication as well, because a host of another version may
    // send an authentic frame with unknown content.
    const QByteArray bytes(reinterpret_cast<const char *>(data), static_cast<qsizetype>(size));
    azurewell::openFrame("key", azurewell::HostId{ "h1" }, bytes);
    azurewell::decodePayload(std::string_view(bytes.constData(), size));
    return 0;
}
