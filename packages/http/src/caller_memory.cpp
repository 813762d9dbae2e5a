#include "azurewell/http/caller_memory.h"

#include <algorithm>
#include <utility>

namespace azurewell {

namespace {

/// Used if the settings don't state the machine's memory.
constexpr std::uint64_t defaultMachineBytes = 256ULL * 1000 * 1000;

/// Share of a machine's memory that is held for callers; the rest is for the process's state,
/// answers of servers that are held until they are whole, and what the allocator can't give back.
constexpr std::uint64_t shareOfMachine = 4;

/// A request of the greatest length has its body twice while it is sent to a server. Room for it is
/// made with this many bodies, as far as half of the machine goes.
constexpr std::uint64_t leastBodies = 3;
constexpr std::uint64_t mostShareOfMachine = 2;

/// Requests from this length on may take three quarters of the memory, shorter ones seven eighths,
/// and ones without a body worth mentioning all of it.
constexpr std::size_t longRequestBytes = 128ULL * 1024;
constexpr std::size_t shortRequestBytes = 32ULL * 1024;

std::size_t shareFor(std::size_t limit, std::size_t bytes)
{
    if (bytes >= longRequestBytes)
        return limit / 4 * 3;
    return bytes >= shortRequestBytes ? limit / 8 * 7 : limit;
}

} // namespace

std::size_t callerMemoryLimit(std::uint64_t machineBytes, std::uint64_t maxBodyBytes)
{
    const std::uint64_t machine = machineBytes > 0 ? machineBytes : defaultMachineBytes;
    const std::uint64_t half = machine / mostShareOfMachine;
    const std::uint64_t bodies = std::min(maxBodyBytes, half) * leastBodies;
    return std::min(std::max(machine / shareOfMachine, bodies), half);
}

bool mayBegin(const CallerMemory &memory, std::size_t bytes)
{
    const bool isOnlyOne = memory.begun < memory.limit / 8;
    return isOnlyOne || memory.begun + bytes <= shareFor(memory.limit, bytes);
}

MemoryShare::~MemoryShare()
{
    this->set(0, false);
}

MemoryShare::MemoryShare(MemoryShare &&other) noexcept
    : memory(std::exchange(other.memory, nullptr))
    , held(std::exchange(other.held, 0))
    , begun(std::exchange(other.begun, 0))
{
}

MemoryShare &MemoryShare::operator=(MemoryShare &&other) noexcept
{
    std::swap(this->memory, other.memory);
    std::swap(this->held, other.held);
    std::swap(this->begun, other.begun);
    return *this;
}

void MemoryShare::set(std::size_t bytes, bool isBegun)
{
    if (!this->memory)
        return;
    const std::size_t newBegun = isBegun ? bytes : 0;
    this->memory->held += bytes - this->held;
    this->memory->begun += newBegun - this->begun;
    this->held = bytes;
    this->begun = newBegun;
}

} // namespace azurewell
