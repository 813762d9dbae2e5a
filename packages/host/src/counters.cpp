#include "azurewell/host/counters.h"

namespace azurewell {

void countRefusal(Counters &counters, ResultCode code)
{
    ++counters.refusals[code];
}

void countRetry(Counters &counters, RetryReason reason)
{
    ++counters.retries[static_cast<std::size_t>(reason)];
}

} // namespace azurewell
