#include "azurewell/logging/log_buffer.h"

#include <algorithm>
#include <utility>

namespace azurewell {

bool addLine(LogBuffer &buffer, std::string_view line, bool isUrgent, Instant now)
{
    const double refill = buffer.budgetAt.micros == 0
            ? maxBurstBytes
            : toSeconds(now - buffer.budgetAt) * sustainedBytesPerSecond;
    buffer.budget = std::min(buffer.budget + refill, maxBurstBytes);
    buffer.budgetAt = now;
    const double size = static_cast<double>(line.size());
    const double reserved = isUrgent ? 0 : reservedForUrgentBytes;
    if (buffer.budget - size < reserved || buffer.bytes.size() + line.size() > maxBufferedBytes) {
        ++buffer.droppedLines;
        ++buffer.unreportedLines;
        return false;
    }
    buffer.budget -= size;
    buffer.bytes += line;
    return true;
}

std::uint64_t takeUnreportedLines(LogBuffer &buffer)
{
    return std::exchange(buffer.unreportedLines, 0);
}

} // namespace azurewell
