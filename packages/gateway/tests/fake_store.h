#pragma once

#include "azurewell/gateway/platform_reader.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace azurewell::gateway {

/// The platform's store on a simulated clock. While it is unresponsive it accepts calls and never
/// answers them, not even later; nor does it answer a call that it holds when the outage begins.
struct FakeStore
{
    std::vector<Instant> changes; ///< Ascending confirmation times; revision n + 1 was confirmed at
                                  ///< `changes[n]`.
    Instant outageFrom;
    Instant outageUntil;
    std::size_t valueBytes = 1; ///< Size of the value of each change.
    /// Every host whose index is a multiple of this is rejected from `rejectsFrom` to
    /// `rejectsUntil`; 0: none.
    std::size_t rejectedEach = 0;
    Instant rejectsFrom;
    Instant rejectsUntil;
    /// Earlier changes are no longer available: hosts that lack any of them have to read a listing.
    Instant historyDroppedAt;

    bool rejects(std::size_t host, Instant when) const
    {
        return this->rejectedEach != 0 && host % this->rejectedEach == 0
                && when >= this->rejectsFrom && when < this->rejectsUntil;
    }

    bool hasHistoryAfter(std::uint64_t known, Instant when) const
    {
        return when < this->historyDroppedAt || known >= this->revisionAt(this->historyDroppedAt);
    }

    static constexpr Span oneWay = std::chrono::milliseconds(2);
    static constexpr Instant never{ std::numeric_limits<std::int64_t>::max() };

    std::uint64_t revisionAt(Instant when) const
    {
        const auto later = std::upper_bound(this->changes.begin(), this->changes.end(), when);
        return static_cast<std::uint64_t>(later - this->changes.begin());
    }

    /// Returns when a watch that begins at \a now and knows \a known is answered; `never` if it is
    /// not.
    Instant answerAt(Instant now, Span wait, std::uint64_t known) const
    {
        const Instant arrives = now + oneWay;
        Instant answered = arrives + wait;
        if (this->revisionAt(arrives) > known)
            answered = arrives;
        else if (known < this->changes.size())
            answered = std::min(answered, this->changes[known]);
        const bool isUnanswered = arrives < this->outageUntil && answered >= this->outageFrom;
        return isUnanswered ? never : answered + oneWay;
    }
};

} // namespace azurewell::gateway
