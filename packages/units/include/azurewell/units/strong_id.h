#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace azurewell {

/// An identifier that can't be confused with one of another kind. \a Tag is an empty type that
/// identifies the kind; \a Value is the representation (a string for names, an integer for
/// numbers).
template <typename Tag, typename Value>
struct StrongId
{
    Value value{};

    StrongId() = default;
    explicit StrongId(Value v)
        : value(std::move(v))
    {
    }

    auto operator<=>(const StrongId &) const = default;
};

} // namespace azurewell

template <typename Tag, typename Value>
struct std::hash<azurewell::StrongId<Tag, Value>>
{
    std::size_t operator()(const azurewell::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};
