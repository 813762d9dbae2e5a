#include "azurewell/shell/peer_frame.h"

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // Under a valid seal, too: a host of another version may send what this one does not know.
    const QByteArray bytes(reinterpret_cast<const char *>(data), static_cast<qsizetype>(size));
    azurewell::openFrame("key", azurewell::HostId{ "h1" }, bytes);
    azurewell::decodePayload(std::string_view(bytes.constData(), size));
    return 0;
}
