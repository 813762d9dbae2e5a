#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace azurewell {

/// A length of time in microseconds. Used in arithmetic and as a configured limit; state keeps an
/// Instant (the deadline) instead, so that a late reader cannot restart a period by mistake.
using Span = std::chrono::duration<std::int64_t, std::micro>;

/// A point on the monotonic clock of one host, in microseconds from an arbitrary zero. Instants of
/// different hosts must never be compared: a message carries spans, and each side counts from its
/// own clock.
struct Instant
{
    std::int64_t micros = 0;

    constexpr auto operator<=>(const Instant &) const = default;

    friend constexpr Instant operator+(Instant at, Span span)
    {
        return Instant{ at.micros + span.count() };
    }
    friend constexpr Instant operator-(Instant at, Span span)
    {
        return Instant{ at.micros - span.count() };
    }
    friend constexpr Span operator-(Instant later, Instant earlier)
    {
        return Span{ later.micros - earlier.micros };
    }
};

/// \a span in seconds.
constexpr double toSeconds(Span span)
{
    return static_cast<double>(span.count()) / 1e6;
}

/// \a seconds as a span, rounded towards zero to a microsecond.
constexpr Span fromSeconds(double seconds)
{
    return Span{ static_cast<std::int64_t>(seconds * 1e6) };
}

} // namespace azurewell
