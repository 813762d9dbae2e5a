#include "azurewell/shell/event_stream.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // The events must not depend on how the bytes are split into chunks.
    const QByteArray bytes(reinterpret_cast<const char *>(data), static_cast<qsizetype>(size));
    azurewell::EventStream whole;
    azurewell::EventStream cut;
    const qsizetype middle = size == 0 ? 0 : data[0] % static_cast<qsizetype>(size);
    const auto all = azurewell::extractEvents(whole, bytes);
    const auto first = azurewell::extractEvents(cut, bytes.left(middle));
    const auto second = azurewell::extractEvents(cut, bytes.mid(middle));
    const bool isEqual = all && first && second
            && all.value().bytes == first.value().bytes + second.value().bytes
            && all.value().tokens == first.value().tokens + second.value().tokens
            && whole.isDone == cut.isDone;
    if (!isEqual)
        std::abort();
    return 0;
}
