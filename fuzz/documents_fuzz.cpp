#include "azurewell/platform/documents.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace azurewell::platform;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    (void)readUpstream("i-1", bytes);
    (void)readEngineReport(bytes);
    (void)readConfiguration(bytes);
    (void)readVersion(bytes);
    (void)readEvacuation("op/evacuation/z", bytes);
    return 0;
}
