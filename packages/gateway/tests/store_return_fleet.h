#pragma once

#include "azurewell/units/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// The platform's store is away for a while and comes back from an older copy.
struct StoreReturn
{
    Instant awayAt;
    Instant backAt;
    Span copyAge{};                ///< Of the copy, at `awayAt`.
    bool isRefusing = false;       ///< Refuses calls while it is away; otherwise it never answers.
    bool hasExpiredLeases = false; ///< Some entries of servers that are alive expired meanwhile.
};

/// A host starts, or starts again with a new incarnation.
struct HostStart
{
    std::size_t host = 0;
    Instant at;
};

/// Messages between the hosts of one zone and all others are lost.
struct ZoneCut
{
    std::size_t zone = 0;
    Instant from;
    Instant until;
};

/// A fleet whose store returns from older copies while its contents change, on a simulated clock.
struct StoreReturnPlan
{
    static constexpr Instant begins{ 100'000'000 };

    std::size_t zones = 3;
    std::size_t hostsPerZone = 2;
    Span inForceWithin{};
    std::uint64_t seed = 1;
    bool isEraIgnored = false; ///< The hosts order all changes by revision alone.
    std::vector<StoreReturn> returns;
    /// Around a return the operator changes the configuration at this interval; 0: as seldom as
    /// always.
    Span denseInterval{};
    std::vector<HostStart> starts; ///< Hosts that are not running before, and restarts.
    std::vector<std::size_t> absentFirst;
    std::size_t rejectedEach = 0; ///< The store rejects each host with such an index; 0: none.
    Instant rejectsFrom;
    Instant rejectsUntil;
    std::vector<ZoneCut> cuts;
};

/// What a play has shown.
struct StoreReturnResult
{
    std::map<std::string, std::size_t> violations; ///< By kind.
    std::vector<std::string> details;              ///< Of the first ones.
    std::vector<std::size_t> callsAfterReturn;     ///< In the second after each return.
};

StoreReturnResult playStoreReturns(const StoreReturnPlan &plan);

} // namespace azurewell::gateway
