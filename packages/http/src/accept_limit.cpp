#include "azurewell/http/accept_limit.h"

#include <algorithm>
#include <utility>

namespace azurewell {

namespace {

/// A request is read up to two passes after its caller has connected.
constexpr Span maxPass = std::chrono::milliseconds(200);

constexpr std::uint32_t minLongPasses = 2;

/// A limit above this has no effect, since fewer connections wait to be accepted.
constexpr std::uint32_t maxUsefulLimit = 1024;

constexpr std::uint32_t growthDivisor = 4;

void raise(AcceptLimit &limit)
{
    if (!isLimited(limit))
        return;
    limit.maxInPass += limit.maxInPass / growthDivisor + 1;
    if (limit.maxInPass > maxUsefulLimit)
        limit.maxInPass = AcceptLimit::unlimited;
}

void lower(AcceptLimit &limit, std::uint32_t accepted, Span pass)
{
    const double share = toSeconds(maxPass) / toSeconds(pass);
    const double fitting = std::min(limit.maxInPass, accepted) * share;
    limit.maxInPass = std::max(static_cast<std::uint32_t>(fitting), 1U);
}

} // namespace

void beginPass(AcceptLimit &limit, Instant now)
{
    const Span pass = now - std::exchange(limit.passBeganAt, now);
    const std::uint32_t accepted = std::exchange(limit.acceptedInPass, 0);
    if (pass <= maxPass) {
        limit.longPasses = 0;
        raise(limit);
        return;
    }
    ++limit.longPasses;
    if (limit.longPasses >= minLongPasses && accepted > 0)
        lower(limit, accepted, pass);
}

bool takeAccept(AcceptLimit &limit)
{
    if (limit.acceptedInPass >= limit.maxInPass)
        return false;
    ++limit.acceptedInPass;
    return true;
}

} // namespace azurewell
