#include "azurewell/http/held_body.h"

#include <algorithm>
#include <utility>

namespace azurewell {

namespace {

/// Most bodies are small and arrive in one piece: their only block is as long as they are.
constexpr std::size_t shortestBlock = 512;
constexpr std::size_t longestBlock = 64ULL * 1024;

} // namespace

std::size_t HeldBody::append(std::string_view bytes)
{
    const std::size_t allocatedBefore = this->allocated;
    while (!bytes.empty()) {
        if (this->blocks.empty() || this->blocks.back().size() == this->blocks.back().capacity())
            this->addBlock(bytes.size());
        std::string &block = this->blocks.back();
        const std::string_view fitting = bytes.substr(0, block.capacity() - block.size());
        block += fitting;
        bytes.remove_prefix(fitting.size());
        this->length += fitting.size();
    }
    return this->allocated - allocatedBefore;
}

/// Each block is as long as all before it, so that small bodies take little and long ones few
/// blocks.
void HeldBody::addBlock(std::size_t needed)
{
    const std::size_t wanted = std::max(needed, this->allocated);
    this->blocks.emplace_back().reserve(std::clamp(wanted, shortestBlock, longestBlock));
    this->allocated += this->blocks.back().capacity();
}

void HeldBody::clear()
{
    *this = HeldBody();
}

std::string HeldBody::take()
{
    HeldBody taken = std::exchange(*this, HeldBody());
    if (taken.blocks.size() == 1)
        return std::move(taken.blocks.front());
    std::string whole;
    whole.reserve(taken.length);
    for (std::string &block : taken.blocks) {
        whole += block;
        std::string().swap(block);
    }
    return whole;
}

} // namespace azurewell
