#include "azurewell/logging/log_buffer.h"

#include <algorithm>
#include <utility>

namespace azurewell {

bool addLine(LogBuffer &buffer, std::string_view line, bool isUrgent, Instant now)
{
    const double gained = buffer.budgetAt.micros == 0
            ? mostSavedBytes
            : toSeconds(now - buffer.budgetAt) * bytesPerSecond;
    buffer.budget = std::min(buffer.budget + gained, mostSavedBytes);
    buffer.budgetAt = now;
    const double size = static_cast<double>(line.size());
    const double kept = isUrgent ? 0 : keptForUrgent;
    if (buffer.budget - size < kept || buffer.bytes.size() + line.size() > mostHeldBytes) {
        ++buffer.leftOut;
        ++buffer.untold;
        return false;
    }
    buffer.budget -= size;
    buffer.bytes += line;
    return true;
}

std::uint64_t takeUntold(LogBuffer &buffer)
{
    return std::exchange(buffer.untold, 0);
}

} // namespace azurewell
