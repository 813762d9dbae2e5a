#include "azurewell/http/event_stream_scanner.h"
#include "event_stream_reference.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const std::size_t middle = size == 0 ? 0 : data[size - 1] % size;
    azurewell::EventStreamScanner scanner;
    scanner.read(bytes.substr(0, middle));
    scanner.read(bytes.substr(middle));
    const azurewell::EventStreamEnds ends{ scanner.eventCount(), scanner.isBetweenEvents() };
    if (!(ends == azurewell::referenceEndsOf(bytes)))
        std::abort();
    return 0;
}
