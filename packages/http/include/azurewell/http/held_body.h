#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// A body that is held until it is whole, and the memory that it takes.
///
/// Load pattern: a server in trouble sends bodies without end to many requests at once. A single
/// string doubles its capacity as it grows, so a bound on the bytes of all bodies lets them take up
/// to twice as much memory, and three times while one is copied. Blocks are never copied, and
/// exceed the bytes by one block at most.
class HeldBody
{
public:
    /// Returns the bytes that were allocated for it.
    std::size_t append(std::string_view bytes);

    std::size_t size() const
    {
        return this->length;
    }
    std::size_t allocatedBytes() const
    {
        return this->allocated;
    }
    void clear();

    /// The whole body; this one is empty then.
    std::string take();

private:
    void addBlock(std::size_t needed);

    std::vector<std::string> blocks; ///< All but the last are full.
    std::size_t length = 0;
    std::size_t allocated = 0;
};

} // namespace azurewell
