#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace azurewell {

/// A duration in microseconds, for arithmetic and configured limits. State stores deadlines as
/// Instant, so that a late reader can't restart a period by mistake.
using Span = std::chrono::duration<std::int64_t, std::micro>;

/// A point in time on one host's monotonic clock, in microseconds from an arbitrary zero. Instants
/// of different hosts must not be compared: messages carry spans, which each side applies to its
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

/// \a span in whole milliseconds.
constexpr std::int64_t inMilliseconds(Span span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// \a seconds as a span, truncated to microseconds.
constexpr Span fromSeconds(double seconds)
{
    return Span{ static_cast<std::int64_t>(seconds * 1e6) };
}

} // namespace azurewell
