#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace azurewell {

/// How urgent a request is; 0 comes first.
struct Priority
{
    std::uint8_t level = 0;

    auto operator<=>(const Priority &) const = default;
};

/// The least urgent priority that upstreams distinguish.
inline constexpr Priority leastUrgent{ 9 };

/// What upstreams assume of a request without a priority.
inline constexpr Priority defaultPriority{ 5 };

/// The priority of a configured \a rank. Higher ranks than leastUrgent are treated as that.
constexpr Priority priorityOfRank(std::uint32_t rank)
{
    return { static_cast<std::uint8_t>(std::min<std::uint32_t>(rank, leastUrgent.level)) };
}

} // namespace azurewell
