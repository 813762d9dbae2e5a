#include "azurewell/tickets/ticket.h"

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    azurewell::parseTicket(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
