#include "azurewell/http/message_readers.h"
#include "azurewell/platform/wire.h"

#include <cstddef>
#include <cstdint>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace azurewell;
    std::string buffer(reinterpret_cast<const char *>(data), size);
    RequestReader reader{ RequestLimits{} };
    if (!reader.read(buffer) || !reader.isHeadRead())
        return 0;
    const Result<gateway::RequestArrived> request = platform::wireFormat().readRequest(
            reader.head());
    if (!request)
        return 0;
    gateway::OrderEngine order;
    order.model = request.value().model;
    (void)platform::wireFormat().orderRequest(order, HostId{ "h" });
    return 0;
}
