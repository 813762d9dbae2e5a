#include "azurewell/routing/rendezvous.h"

namespace azurewell {

namespace {

/// The finalizer of splitmix64: every input bit changes about half of the output bits.
std::uint64_t mix(std::uint64_t bits)
{
    bits ^= bits >> 30;
    bits *= 0xbf58476d1ce4e5b9ULL;
    bits ^= bits >> 27;
    bits *= 0x94d049bb133111ebULL;
    bits ^= bits >> 31;
    return bits;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL; // FNV-1a
    for (const char letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return rendezvousMix(stableHash(key), stableHash(node));
}

std::uint64_t rendezvousMix(std::uint64_t keyHash, std::uint64_t nodeHash)
{
    return mix(keyHash ^ (nodeHash * 0x9e3779b97f4a7c15ULL));
}

} // namespace azurewell
