#pragma once

#include <cstddef>
#include <cstdint>

namespace azurewell {

/// The memory that a process holds for its callers, in bytes of allocated capacity: what it has
/// read of their requests, requests that wait for their answers, and answers that are unsent.
///
/// Load pattern: clients that nobody controls open thousands of connections, each within the limits
/// of one request, and stop short of the ends of their bodies or don't read their answers. Without
/// a bound on the sum they end the process, which runs out of memory. What is furthest from being
/// served goes first: parts of requests that are unfinished, the longest first. Requests that have
/// begun keep what they have, so new ones begin only while there is room for them.
struct CallerMemory
{
    std::size_t limit = 0;
    std::size_t held = 0;  ///< All of it.
    std::size_t begun = 0; ///< Of requests that wait for their answers.
};

/// The part of \a machineBytes that is held for callers, where a body may have \a maxBodyBytes.
/// \a machineBytes 0: not known.
std::size_t callerMemoryLimit(std::uint64_t machineBytes, std::uint64_t maxBodyBytes);

/// Whether a request that holds \a bytes, which are counted as held already, may begin. Short ones
/// may take the room that long ones leave. A long one may always begin if it is the only one.
bool mayBegin(const CallerMemory &memory, std::size_t bytes);

/// What one connection holds of a CallerMemory, which must outlive it.
class MemoryShare
{
public:
    MemoryShare() = default;
    explicit MemoryShare(CallerMemory &total)
        : memory(&total)
    {
    }
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;
    MemoryShare(MemoryShare &&other) noexcept;
    MemoryShare &operator=(MemoryShare &&other) noexcept;

    /// Replaces what is held; \a isBegun: by a request that waits for its answer.
    void set(std::size_t bytes, bool isBegun);
    std::size_t bytes() const
    {
        return this->held;
    }
    /// Whether more is held for all callers than may be.
    bool isOver() const
    {
        return this->memory && this->memory->held > this->memory->limit;
    }

private:
    CallerMemory *memory = nullptr;
    std::size_t held = 0;
    std::size_t begun = 0;
};

} // namespace azurewell
