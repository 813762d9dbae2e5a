#pragma once

#include <compare>
#include <cstdint>

namespace azurewell {

/// A count of prompt or generated tokens.
struct Tokens
{
    std::int64_t count = 0;

    auto operator<=>(const Tokens &) const = default;

    friend Tokens operator+(Tokens a, Tokens b)
    {
        return Tokens{ a.count + b.count };
    }
    friend Tokens operator-(Tokens a, Tokens b)
    {
        return Tokens{ a.count - b.count };
    }
    Tokens &operator+=(Tokens other)
    {
        this->count += other.count;
        return *this;
    }
    Tokens &operator-=(Tokens other)
    {
        this->count -= other.count;
        return *this;
    }
};

/// Tokens per second.
struct TokenRate
{
    double perSecond = 0;

    auto operator<=>(const TokenRate &) const = default;
};

} // namespace azurewell
