#pragma once

#include <compare>
#include <cstdint>

namespace azurewell::gateway {

/// A position in the history of the platform's store. When the store comes back from an older copy,
/// its revisions go back and are given out again; its era rises then. Within an era the revision
/// orders changes; across eras only the content of an item tells which one is newer.
struct StorePosition
{
    std::uint64_t era = 0;      ///< 0: the store states no era.
    std::uint64_t revision = 0; ///< 0: before the first change.

    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

/// Whether anything is known of the store at all.
constexpr bool isKnown(const StorePosition &position)
{
    return position != StorePosition{};
}

} // namespace azurewell::gateway
