#include "azurewell/gateway/forwarding.h"
#include "azurewell/gateway/gossip_codec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace azurewell;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    (void)gateway::decodeGossip(bytes, Instant{ 1'000'000'000 });
    (void)gateway::decodeForwardedRequest(bytes);
    (void)gateway::decodeForwardRefusal(bytes);
    return 0;
}
